#ifndef INCLUDE_GATEWAY_UPSTREAM_DIRECTORY_H_
#define INCLUDE_GATEWAY_UPSTREAM_DIRECTORY_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "include/base/units.h"
#include "include/gateway/leaving_upstreams.h"
#include "include/gateway/platform_store.h"
#include "include/gateway/upstream_record.h"
#include "include/telemetry/event.h"

namespace papaya {

// Tracks the upstreams that are registered in the platform's store. During an
// outage of the store, the last known upstreams stay in use. Registrations of
// live upstreams may expire during the outage, so for kReregistrationGrace
// after it, an upstream that is missing from the store is still used.
class UpstreamDirectory {
 public:
  // The platform guarantees that a live upstream registers again within two
  // seconds after an outage of the store; the remainder allows for the call.
  static constexpr Duration kReregistrationGrace =
      std::chrono::milliseconds(2100);
  // Registrations that were removed are remembered for this long. An older copy
  // of the store may still have them.
  static constexpr Duration kRemovedMemory = std::chrono::seconds(60);

  struct Hooks {
    // Decodes a registration. Returns an error if it is not a valid upstream.
    std::function<absl::StatusOr<UpstreamRecord>(const PlatformObject&)> decode;
    // The result of Records has changed.
    std::function<void()> changed;
    EventHook event;
    // A new registration says how much longer the upstream stays cold.
    std::function<void(const UpstreamId&, Duration left)> cold =
        [](const UpstreamId&, Duration) {};
  };

  explicit UpstreamDirectory(Hooks hooks) : hooks_(std::move(hooks)) {}

  void Replace(const std::vector<PlatformObject>& objects, TimePoint now);
  void Apply(const PlatformObject& object, TimePoint now);
  void OnStoreRecovered(TimePoint now);
  // The store has come back from an older copy, which is about to replace what
  // is known. Upstreams registered since have to register again, as after an
  // outage. Those known to be draining or gone stay so, whatever the copy says
  // of that start of them.
  void OnStoreRestored(TimePoint now);
  // The upstream said in a response that it is leaving. From now on it is
  // returned as draining, whatever the store says of this start of it.
  void OnLeaving(const UpstreamRecord& upstream);
  // Removes upstreams that did not register again within the grace period.
  void OnTick(TimePoint now);

  // Returns all upstreams, including draining ones, ordered by name.
  std::vector<UpstreamRecord> Records() const;

 private:
  struct Entry {
    UpstreamRecord record;
    // Set if the entry is missing from the store: it is removed at this time
    // unless the upstream registers again.
    std::optional<TimePoint> drop_at;
    // The last version whose cold time was passed on. A list that is seconds
    // old must not extend it.
    ObjectVersion version;
  };
  using Entries = std::map<std::string, Entry>;

  // Passes the cold time of a registration on, and takes it out of `record`.
  void ReportWarmup(bool is_new_version, UpstreamRecord* record);
  // Both return true if the records have changed.
  bool Upsert(const PlatformObject& object, TimePoint now);
  bool Remove(const std::string& name, TimePoint now);
  Entries::iterator Drop(Entries::iterator entry, TimePoint now);

  // A start of an upstream whose registration was removed.
  struct Removed {
    UpstreamId id;
    std::string instance;
    TimePoint time;
  };

  Hooks hooks_;
  Entries entries_;
  // Oldest first.
  std::deque<Removed> removed_;
  LeavingUpstreams leaving_;
  TimePoint grace_until_;
};

}  // namespace papaya

#endif  // INCLUDE_GATEWAY_UPSTREAM_DIRECTORY_H_
