#ifndef INCLUDE_GATEWAY_ZONE_EVACUATIONS_H_
#define INCLUDE_GATEWAY_ZONE_EVACUATIONS_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "include/base/ids.h"
#include "include/base/units.h"
#include "include/gateway/platform_store.h"
#include "include/telemetry/event.h"

namespace papaya {

// Knows which availability zones the operators have evacuated, from the entries
// in the platform's store. It handles the loss of a whole zone by plan: all of
// a zone's upstreams cease to get new work at once, and later return at once.
//
// The entry of a zone evacuates it from when it is received until it is
// removed, that is, until a deletion or a complete list without it arrives. No
// other condition ends an evacuation, so it stays in force while the store is
// unavailable. Which zones are evacuated depends on the current entries alone,
// so that all routers agree whatever they received before: an entry that
// becomes invalid ends the evacuation, because a router that starts afterwards
// could not know of it.
//
// Errors: invalid entries are logged once per version and have no other effect.
// Does no I/O and reads no clock; single-threaded. `now` must not decrease.
class ZoneEvacuations {
 public:
  // A zone without upstreams and settings is reported as unknown after this
  // time. Entries may arrive before the registrations of the same start.
  static constexpr Duration kUnknownDelay = std::chrono::seconds(5);
  // How long the end of an evacuation is remembered. Longer than any warm-up of
  // upstreams.
  static constexpr Duration kLiftedMemory = std::chrono::minutes(10);

  struct Evacuation {
    // Of the entry.
    ObjectVersion version;
    // When this router received the entry first.
    TimePoint since;
    // Set until it was checked that the zone is known.
    std::optional<TimePoint> check_at;
  };

  struct Hooks {
    // Returns the zone that an entry evacuates, or an error if it is invalid.
    std::function<absl::StatusOr<AvailabilityZoneId>(const PlatformObject&)>
        decode;
    // Returns true if the settings or a registration have the zone.
    std::function<bool(const AvailabilityZoneId&)> is_known;
    // The result of `zones` has changed.
    std::function<void()> changed;
    // The evacuation of the zone has ended. Called before `changed`, so that
    // the zone's upstreams can be presumed cold before they get work.
    std::function<void(const AvailabilityZoneId&)> lifted;
    EventHook event;
  };

  explicit ZoneEvacuations(Hooks hooks) : hooks_(std::move(hooks)) {}

  // Receives all entries.
  void Replace(const std::vector<PlatformObject>& objects, TimePoint now);
  // Receives an entry that was created, changed or deleted.
  void Apply(const PlatformObject& object, TimePoint now);
  // Call at least every second.
  void OnTick(TimePoint now);

  bool IsEvacuated(const AvailabilityZoneId& zone) const {
    return zones_.contains(zone);
  }
  // The evacuated zones.
  const std::map<AvailabilityZoneId, Evacuation>& zones() const {
    return zones_;
  }
  // Returns when the last evacuation of the zone ended. std::nullopt if there
  // was none within kLiftedMemory, or the zone is evacuated now.
  std::optional<TimePoint> LiftedAt(const AvailabilityZoneId& zone) const;

 private:
  // Both return true if the evacuated zones have changed.
  bool Upsert(const PlatformObject& object, TimePoint now);
  bool Lift(const AvailabilityZoneId& zone, const char* cause, TimePoint now);

  const Hooks hooks_;
  std::map<AvailabilityZoneId, Evacuation> zones_;
  std::map<AvailabilityZoneId, TimePoint> lifted_;
  // The versions of invalid entries by name.
  std::map<std::string, ObjectVersion> invalid_;
};

}  // namespace papaya

#endif  // INCLUDE_GATEWAY_ZONE_EVACUATIONS_H_
