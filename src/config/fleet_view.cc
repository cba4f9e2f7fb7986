#include "include/config/fleet_view.h"

#include <algorithm>

namespace papaya {

const char* RouterStateName(RouterState state) {
  switch (state) {
    case RouterState::kAlive:
      return "alive";
    case RouterState::kDraining:
      return "draining";
    case RouterState::kSuspect:
      return "suspect";
    case RouterState::kDead:
      return "dead";
  }
  return "dead";
}

const RouterView* FindRouter(const FleetView& view, const RouterId& id) {
  const auto found =
      std::lower_bound(view.routers.begin(), view.routers.end(), id,
                       [](const RouterView& router, const RouterId& key) {
                         return router.id < key;
                       });
  if (found == view.routers.end() || found->id != id) {
    return nullptr;
  }
  return &*found;
}

}  // namespace papaya
