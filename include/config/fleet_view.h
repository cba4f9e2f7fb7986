#ifndef INCLUDE_CONFIG_FLEET_VIEW_H_
#define INCLUDE_CONFIG_FLEET_VIEW_H_

#include <cstdint>
#include <string>
#include <vector>

#include "include/base/ids.h"

namespace papaya {

// What one router believes of another. Of two beliefs about one incarnation
// with equal refutation counts the larger one wins.
enum class RouterState : uint8_t {
  kAlive = 0,
  kDraining = 1,  // finishes what it has, takes nothing new
  kSuspect = 2,   // did not answer; may still refute
  kDead = 3,
};

// `alive`, `draining`, `suspect` or `dead`.
const char* RouterStateName(RouterState state);

// One router of the fleet, as seen from another.
struct RouterView {
  RouterId id;
  Incarnation incarnation;
  RouterState state = RouterState::kAlive;
  // Where other routers reach it, IP:PORT.
  std::string address;
  RegionId region;
  AvailabilityZoneId zone;

  bool operator==(const RouterView&) const = default;
};

// The routers that one router believes to run, itself among them.
struct FleetView {
  RouterId self;
  // Alive, draining and suspect ones, sorted by id.
  std::vector<RouterView> routers;
  // Those it exchanges gossip with: a few of its availability zone, one of
  // another zone of its region and one of another region, and all that chose
  // it in the same way. Sorted; without itself.
  std::vector<RouterId> neighbours;

  bool operator==(const FleetView&) const = default;
};

// The router of that id; null if the view has none.
const RouterView* FindRouter(const FleetView& view, const RouterId& id);

}  // namespace papaya

#endif  // INCLUDE_CONFIG_FLEET_VIEW_H_
