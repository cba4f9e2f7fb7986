#include "src/config/reader_choice.h"

#include <vector>

#include "absl/algorithm/container.h"
#include "absl/strings/str_cat.h"
#include "include/config/fleet_view.h"
#include "include/config/rendezvous.h"

namespace papaya {

namespace {

std::vector<RouterId> RoutersOfZone(const FleetView& view,
                                    const AvailabilityZoneId& zone) {
  std::vector<RouterId> routers;
  for (const RouterView& router : view.routers) {
    if (router.zone == zone && router.state != RouterState::kDraining) {
      routers.push_back(router.id);
    }
  }
  return routers;
}

}  // namespace

bool IsPickedReader(const FleetView& view, size_t readers_per_zone) {
  const RouterView* self = FindRouter(view, view.self);
  if (self == nullptr) {
    return false;
  }
  const std::vector<RouterId> readers =
      PickByRendezvous(absl::StrCat("config_reader ", self->zone.value()),
                       RoutersOfZone(view, self->zone), readers_per_zone);
  return absl::c_linear_search(readers, view.self);
}

}  // namespace papaya
