#include "src/admission/known_routers.h"

#include <utility>

namespace papaya {

namespace {

// Longer than partitions and restarts that a fleet recovers from by itself. A
// router that is gone for good leaves its part of the rate unused until then.
constexpr Duration kRouterMemory = std::chrono::minutes(10);

}  // namespace

KnownRouters::KnownRouters(RouterLocation self) : self_(std::move(self)) {
  routers_[self_.id] = {.zone = self_.zone, .last_live = {}, .is_live = true};
  Rebuild();
}

void KnownRouters::SetPreference(ZonePreference preference) {
  if (preference != preference_) {
    preference_ = preference;
    Rebuild();
  }
}

void KnownRouters::Set(const std::vector<RouterLocation>& live, TimePoint now) {
  bool has_changed = false;
  for (auto& [id, known] : routers_) {
    known.is_live = id == self_.id;
  }
  for (const RouterLocation& router : live) {
    const auto [found, is_new] = routers_.try_emplace(router.id);
    Known& known = found->second;
    if (is_new) {
      last_added_ = now;
    }
    has_changed = has_changed || is_new || known.zone != router.zone;
    known = {.zone = router.zone, .last_live = now, .is_live = true};
  }
  if (has_changed) {
    Rebuild();
  }
}

void KnownRouters::OnTick(TimePoint now) {
  const size_t forgotten = std::erase_if(routers_, [now](const auto& item) {
    const Known& known = item.second;
    return !known.is_live && now - known.last_live >= kRouterMemory;
  });
  if (forgotten > 0) {
    Rebuild();
  }
}

void KnownRouters::Rebuild() {
  ++version_;
  std::vector<RouterLocation> locations;
  locations.reserve(routers_.size());
  for (const auto& [id, known] : routers_) {
    locations.push_back({id, known.zone});
  }
  subset_ = std::make_unique<RouterSubset>(locations, self_, preference_);
}

}  // namespace papaya
