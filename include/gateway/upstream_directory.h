#ifndef INCLUDE_GATEWAY_UPSTREAM_DIRECTORY_H_
#define INCLUDE_GATEWAY_UPSTREAM_DIRECTORY_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "include/base/units.h"
#include "include/gateway/platform_store.h"
#include "include/gateway/upstream_record.h"
#include "include/telemetry/event.h"

namespace papaya {

// The upstreams that are registered in the platform's store. While the store
// is away what was known holds. Registrations may lapse meanwhile though their
// upstreams live: for kReregistrationGrace after the store's return, one that
// is gone from it is still used.
class UpstreamDirectory {
 public:
  // A living upstream registers again within two seconds of the store's
  // return, as the platform promises; the rest is for its call.
  static constexpr Duration kReregistrationGrace =
      std::chrono::milliseconds(2100);

  struct Hooks {
    // Reads a registration. An error says why it names no upstream.
    std::function<absl::StatusOr<UpstreamRecord>(const PlatformObject&)> decode;
    // The records have changed.
    std::function<void()> changed;
    EventHook event;
  };

  explicit UpstreamDirectory(Hooks hooks) : hooks_(std::move(hooks)) {}

  void Replace(const std::vector<PlatformObject>& objects, TimePoint now);
  void Apply(const PlatformObject& object, TimePoint now);
  void OnStoreRecovered(TimePoint now);
  // Drops what the store did not show again in time.
  void OnTick(TimePoint now);

  // All upstreams that may be used or are draining, by name.
  std::vector<UpstreamRecord> Records() const;

 private:
  struct Entry {
    UpstreamRecord record;
    // Missing from the store; dropped at this time unless it comes back.
    std::optional<TimePoint> drop_at;
  };
  using Entries = std::map<std::string, Entry>;

  // Each is true if the records have changed.
  bool Upsert(const PlatformObject& object);
  bool Remove(const std::string& name, TimePoint now);
  Entries::iterator Drop(Entries::iterator entry);

  Hooks hooks_;
  Entries entries_;
  TimePoint grace_until_;
};

}  // namespace papaya

#endif  // INCLUDE_GATEWAY_UPSTREAM_DIRECTORY_H_
