#ifndef SRC_ADMISSION_PLANNED_GROUP_H_
#define SRC_ADMISSION_PLANNED_GROUP_H_

#include <cstdint>
#include <vector>

#include "include/base/ids.h"
#include "include/routing/routing_snapshot.h"

namespace papaya {

class UpstreamTable;

// The upstreams of one group and the routers that use them, by index. Computed
// once for all plans under one snapshot.
struct PlannedGroup {
  // A router that uses an upstream.
  struct User {
    // Index in `routers`.
    size_t position = 0;
    // Rendezvous hash. Of the routers that could take a free slot, the one with
    // the largest weight takes it.
    uint64_t weight = 0;
  };

  struct Upstream {
    // Index in the UpstreamTable.
    int32_t number = -1;
    double slots = 0.0;
    // Fraction of the slots of the whole group.
    double fraction = 0.0;
    std::vector<User> users;
  };

  std::vector<Upstream> upstreams;
  // Routers that use any of the upstreams.
  std::vector<RouterId> routers;
  // Index of this router in `routers`; -1 if it uses none of the upstreams.
  int64_t self = -1;
  // The upstreams are engines and together have fewer slots than users, so that
  // a router's share of one is less than a slot.
  bool is_scarce = false;
};

// Builds the plan data of `group` in `snapshot`, whose upstreams must be in
// `upstreams`.
PlannedGroup MakePlannedGroup(const RoutingSnapshot& snapshot,
                              const VersionGroup& group,
                              const UpstreamTable& upstreams);

}  // namespace papaya

#endif  // SRC_ADMISSION_PLANNED_GROUP_H_
