#ifndef INCLUDE_MEMBERSHIP_OVERLAY_H_
#define INCLUDE_MEMBERSHIP_OVERLAY_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "include/base/ids.h"

namespace papaya {

struct RouterView;

// How many routers watch each router, by how near they are. The one of another
// zone and the one of another region join the parts of the fleet to each
// other, and notice the loss of a whole zone.
struct OverlayShape {
  size_t in_zone = 3;
  size_t in_region = 1;
  size_t in_fleet = 1;
};

// Whom one router watches and whom it exchanges gossip with.
struct Overlay {
  // Routers that it probes, sorted.
  std::vector<RouterId> targets;
  // Its targets, and those that probe it, sorted.
  std::vector<RouterId> neighbours;

  bool operator==(const Overlay&) const = default;
};

// The overlay of `self` over `routers`, sorted by id. Each router is watched
// by the routers of the highest rendezvous weight for it of its zone, of other
// zones of its region and of other regions; where one of these has too few,
// the nearest others fill up. All routers with the same view work out the same
// overlay, so nobody has to be elected, and a change of one router moves only
// the links of its few neighbours.
Overlay MakeOverlay(const RouterId& self,
                    const std::vector<RouterView>& routers,
                    const OverlayShape& shape);

}  // namespace papaya

#endif  // INCLUDE_MEMBERSHIP_OVERLAY_H_
