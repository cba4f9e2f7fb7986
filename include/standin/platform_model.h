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
  // Calls a second, with bursts of a second's worth. A watch is a read.
  double reads_per_second = 2000;
  double writes_per_second = 400;
  // A watch that saw no change for so long ends.
  Duration max_watch = std::chrono::seconds(30);
  Bytes max_value_bytes{1'000'000};
};

// One VM of the platform's list.
struct ListedVm {
  VmId id;
  bool leaving = false;

  bool operator==(const ListedVm&) const = default;
};

// The platform's Object API and VM list, as decisions about them go. Versions
// are taken from one counter, so that a key that was removed and made anew
// never has an old version again.
class PlatformModel {
 public:
  // Given an object, or nothing if the wait ran out. Called from inside Watch,
  // Put or Advance.
  using WatchCallback = std::function<void(std::optional<StoredObject>)>;

  explicit PlatformModel(const PlatformOptions& options);

  // kNotFound, or kResourceExhausted over the rate, as for all calls here.
  absl::StatusOr<StoredObject> Get(const std::string& key, TimePoint now);

  // Objects whose keys start with `prefix`, by key.
  absl::StatusOr<std::vector<StoredObject>> List(const std::string& prefix,
                                                 TimePoint now);

  // kAborted if the version is not the expected one; `present`, unless null,
  // becomes the version that is there. kInvalidArgument if the value is too
  // long.
  absl::StatusOr<ObjectVersion> Put(const ConditionalWrite& write,
                                    TimePoint now,
                                    ObjectVersion* current_version = nullptr);

  absl::Status Watch(const std::string& key,
                     ObjectVersion after,
                     TimePoint now,
                     WatchCallback done);

  // Ends the watches that are due.
  void Advance(TimePoint now);

  // When the next watch is due; empty if there is none.
  std::optional<TimePoint> NextDue() const;

  // Adds a VM, or changes its state.
  void SetVm(const ListedVm& vm, TimePoint now);
  void RemoveVm(const VmId& vm, TimePoint now);

  // The list as it was `lag` before `now`. Counts as a read.
  absl::StatusOr<std::vector<ListedVm>> ListVms(TimePoint now, Duration lag);

  uint64_t reads() const { return reads_; }
  uint64_t writes() const { return writes_; }
  size_t watches() const { return watches_.size(); }

 private:
  // A token bucket that holds a second's worth of calls.
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
  // In order of due time.
  std::list<PendingWatch> watches_;
  LaggedValue<std::vector<ListedVm>> vms_;
  uint64_t reads_ = 0;
  uint64_t writes_ = 0;
};

}  // namespace papaya

#endif  // INCLUDE_STANDIN_PLATFORM_MODEL_H_
