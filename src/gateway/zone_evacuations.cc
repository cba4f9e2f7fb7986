#include "include/gateway/zone_evacuations.h"

#include <set>
#include <utility>

#include "absl/strings/str_cat.h"

namespace papaya {

namespace {

constexpr char kRemoved[] = "removed";
constexpr char kInvalid[] = "invalid";

}  // namespace

void ZoneEvacuations::Replace(const std::vector<PlatformObject>& objects,
                              TimePoint now) {
  bool has_changed = false;
  std::set<std::string> present;
  for (const PlatformObject& object : objects) {
    present.insert(object.name);
    has_changed |= Upsert(object, now);
  }
  std::vector<AvailabilityZoneId> missing;
  for (const auto& [zone, evacuation] : zones_) {
    if (!present.contains(zone.value())) {
      missing.push_back(zone);
    }
  }
  for (const AvailabilityZoneId& zone : missing) {
    has_changed |= Lift(zone, kRemoved, now);
  }
  std::erase_if(invalid_, [&present](const auto& entry) {
    return !present.contains(entry.first);
  });
  if (has_changed) {
    hooks_.changed();
  }
}

void ZoneEvacuations::Apply(const PlatformObject& object, TimePoint now) {
  bool has_changed = false;
  if (object.is_deleted) {
    invalid_.erase(object.name);
    has_changed = Lift(AvailabilityZoneId(object.name), kRemoved, now);
  } else {
    has_changed = Upsert(object, now);
  }
  if (has_changed) {
    hooks_.changed();
  }
}

void ZoneEvacuations::OnTick(TimePoint now) {
  for (auto& [zone, evacuation] : zones_) {
    if (!evacuation.check_at.has_value() || now < *evacuation.check_at) {
      continue;
    }
    evacuation.check_at.reset();
    if (!hooks_.is_known(zone)) {
      hooks_.event({EventId::kEvacuatedZoneUnknown,
                    {{"zone", zone.value()},
                     {"version", absl::StrCat(evacuation.version.value())}}});
    }
  }
  std::erase_if(lifted_, [now](const auto& lifted) {
    return now - lifted.second >= kLiftedMemory;
  });
}

std::optional<TimePoint> ZoneEvacuations::LiftedAt(
    const AvailabilityZoneId& zone) const {
  const auto found = lifted_.find(zone);
  if (found == lifted_.end()) {
    return std::nullopt;
  }
  return found->second;
}

bool ZoneEvacuations::Upsert(const PlatformObject& object, TimePoint now) {
  const absl::StatusOr<AvailabilityZoneId> zone = hooks_.decode(object);
  if (!zone.ok()) {
    const auto [entry, is_new] =
        invalid_.try_emplace(object.name, object.version);
    if (is_new || entry->second != object.version) {
      entry->second = object.version;
      hooks_.event({EventId::kEvacuationRefused,
                    {{"entry", object.name},
                     {"error", std::string(zone.status().message())}}});
    }
    return Lift(AvailabilityZoneId(object.name), kInvalid, now);
  }
  invalid_.erase(object.name);
  const auto [found, is_new] = zones_.try_emplace(*zone);
  found->second.version = object.version;
  if (!is_new) {
    return false;
  }
  found->second.since = now;
  found->second.check_at = now + kUnknownDelay;
  lifted_.erase(*zone);
  hooks_.event({EventId::kZoneEvacuated,
                {{"zone", zone->value()},
                 {"version", absl::StrCat(object.version.value())}}});
  return true;
}

bool ZoneEvacuations::Lift(const AvailabilityZoneId& zone,
                           const char* cause,
                           TimePoint now) {
  const auto found = zones_.find(zone);
  if (found == zones_.end()) {
    return false;
  }
  const Duration lasted = now - found->second.since;
  zones_.erase(found);
  lifted_[zone] = now;
  hooks_.event(
      {EventId::kEvacuationLifted,
       {{"zone", zone.value()},
        {"cause", cause},
        {"lasted_ms", absl::StrCat(lasted / std::chrono::milliseconds(1))}}});
  hooks_.lifted(zone);
  return true;
}

}  // namespace papaya
