#ifndef SRC_ROUTING_ROUTER_SUBSET_H_
#define SRC_ROUTING_ROUTER_SUBSET_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "include/base/ids.h"
#include "include/routing/routing_snapshot.h"

namespace papaya {

// Chooses which routers use which upstream by rendezvous hashing: each pair
// has a weight that all routers work out alike, and the greatest ones win.
class RouterSubset {
 public:
  // `routers` and `self` are the live routers; `self` may stand in both.
  RouterSubset(const std::vector<RouterLocation>& routers,
               const RouterLocation& self);

  // The `count` routers that use `upstream`, sorted by id; those in its own
  // availability zone go first.
  std::vector<RouterId> RoutersOf(const UpstreamSpec& upstream,
                                  size_t count) const;

  // The weight of the pair of this router and `upstream`; an upstream in the
  // router's own availability zone has a greater one than any other.
  uint64_t OwnWeight(const UpstreamSpec& upstream) const;

 private:
  struct Candidate {
    RouterLocation location;
    uint64_t hash = 0;
  };

  std::vector<Candidate> routers_;
  RouterLocation self_;
};

}  // namespace papaya

#endif  // SRC_ROUTING_ROUTER_SUBSET_H_
