#ifndef SRC_ROUTING_ROUTER_SUBSET_H_
#define SRC_ROUTING_ROUTER_SUBSET_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "include/base/ids.h"
#include "include/routing/routing_snapshot.h"

namespace papaya {

// Assigns upstreams to routers by rendezvous hashing. Each pair of router and
// upstream has a weight that all routers compute alike; an upstream is used by
// the routers with the greatest weights.
class RouterSubset {
 public:
  // The live routers are `routers` and `self`; `routers` may contain `self`.
  RouterSubset(const std::vector<RouterLocation>& routers,
               const RouterLocation& self);

  // Returns the `count` routers that use `upstream`, or all if there are fewer,
  // sorted by id. Routers in the upstream's availability zone are preferred.
  std::vector<RouterId> RoutersOf(const UpstreamSpec& upstream,
                                  size_t count) const;

  // Returns the weight of the pair of this router and `upstream`. Upstreams in
  // the router's own availability zone have greater weights than all others.
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
