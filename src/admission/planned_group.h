#ifndef SRC_ADMISSION_PLANNED_GROUP_H_
#define SRC_ADMISSION_PLANNED_GROUP_H_

#include <cstdint>
#include <vector>

#include "include/base/ids.h"
#include "include/routing/routing_snapshot.h"

namespace papaya {

class UpstreamTable;

// The upstreams of one group and the routers that use them, by numbers: worked
// out once for all plans that are made under one snapshot.
struct PlannedGroup {
  // A router that uses an upstream.
  struct User {
    // Position in `routers`.
    size_t position = 0;
    // Of the routers that could take a free slot there, the one with the
    // largest weight does.
    uint64_t weight = 0;
  };

  struct Upstream {
    // In the UpstreamTable.
    int32_t number = -1;
    double slots = 0.0;
    // Of the slots of the whole group.
    double part = 0.0;
    std::vector<User> users;
  };

  std::vector<Upstream> upstreams;
  // All that use some of the upstreams.
  std::vector<RouterId> routers;
  // The position of the own router; -1 if it uses none.
  int64_t self = -1;
};

// The `group` of `snapshot`, whose upstreams `upstreams` must know.
PlannedGroup MakePlannedGroup(const RoutingSnapshot& snapshot,
                              const VersionGroup& group,
                              const UpstreamTable& upstreams);

}  // namespace papaya

#endif  // SRC_ADMISSION_PLANNED_GROUP_H_
