#ifndef INCLUDE_STANDIN_PLATFORM_MODEL_H_
#define INCLUDE_STANDIN_PLATFORM_MODEL_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "include/base/ids.h"
#include "include/base/units.h"
#include "include/config/object_store.h"
#include "include/standin/lagged_value.h"

namespace papaya {

struct PlatformOptions {
  // Rate limits, with bursts of up to one second's worth of calls. Starting a
  // watch counts as a read.
  double reads_per_second = 2000;
  double writes_per_second = 400;
  // A watch ends after this time if the object does not change.
  Duration max_watch = std::chrono::seconds(30);
  Bytes max_value_bytes{1'000'000};
};

// One VM in the VM list of the platform.
struct ListedVm {
  VmId id;
  bool leaving = false;

  bool operator==(const ListedVm&) const = default;
};

// Simulates the Object API and the VM list of the platform. All object versions
// come from one counter, so that a key that is removed and created again never
// gets an old version. Not thread-safe.
class PlatformModel {
 public:
  // Receives the changed object, or nullopt if the watch timed out. Called from
  // within Watch, Put or Advance.
  using WatchCallback = std::function<void(std::optional<StoredObject>)>;

  explicit PlatformModel(const PlatformOptions& options);

  // Fails with kNotFound if the key does not exist. Like all calls below, fails
  // with kResourceExhausted above the rate limit.
  absl::StatusOr<StoredObject> Get(const std::string& key, TimePoint now);

  // Returns the objects whose keys start with `prefix`, ordered by key.
  absl::StatusOr<std::vector<StoredObject>> List(const std::string& prefix,
                                                 TimePoint now);

  // Writes or deletes an object and returns the new version. Fails with
  // kAborted if the current version is not the expected one, and with
  // kInvalidArgument if the value exceeds `max_value_bytes`. Sets
  // `current_version`, unless null, to the version before the write; leaves it
  // unchanged if the write is above the rate limit or too large.
  absl::StatusOr<ObjectVersion> Put(const ConditionalWrite& write,
                                    TimePoint now,
                                    ObjectVersion* current_version = nullptr);

  // Calls `done` with the object once its version is above `after`,
  // immediately if it already is.
  absl::Status Watch(const std::string& key,
                     ObjectVersion after,
                     TimePoint now,
                     WatchCallback done);

  // Ends the watches that time out by `now`.
  void Advance(TimePoint now);

  // Returns the time at which the next watch times out, or nullopt if there is
  // no watch.
  std::optional<TimePoint> NextDue() const;

  // Adds a VM or changes its state.
  void SetVm(const ListedVm& vm, TimePoint now);
  void RemoveVm(const VmId& vm, TimePoint now);

  // Returns the VM list as it was at the time `now` - `lag`. Counts as a read.
  absl::StatusOr<std::vector<ListedVm>> ListVms(TimePoint now, Duration lag);

  uint64_t reads() const { return reads_; }
  uint64_t writes() const { return writes_; }
  size_t watches() const { return watches_.size(); }

 private:
  // A token bucket whose capacity is one second's worth of calls.
  struct TokenBucket {
    double per_second;
    double level;
    TimePoint last_refill;

    bool TryConsume(TimePoint now);
  };

  struct PendingWatch {
    std::string key;
    ObjectVersion after;
    TimePoint due;
    WatchCallback done;
  };

  absl::Status ConsumeRead(TimePoint now);
  void NotifyWatches(const StoredObject& object);

  const PlatformOptions options_;
  TokenBucket read_bucket_;
  TokenBucket write_bucket_;
  std::map<std::string, StoredObject> objects_;
  ObjectVersion last_version_;
  // Ordered by due time.
  std::list<PendingWatch> watches_;
  LaggedValue<std::vector<ListedVm>> vms_;
  uint64_t reads_ = 0;
  uint64_t writes_ = 0;
};

}  // namespace papaya

#endif  // INCLUDE_STANDIN_PLATFORM_MODEL_H_
