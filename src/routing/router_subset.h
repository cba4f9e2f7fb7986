#ifndef SRC_ROUTING_ROUTER_SUBSET_H_
#define SRC_ROUTING_ROUTER_SUBSET_H_

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
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
               const RouterLocation& self,
               ZonePreference preference);

  // Returns the `count` routers that use `upstream`, or all if there are fewer,
  // sorted by id. Routers in the upstream's availability zone are preferred
  // if `preference` says so.
  std::vector<RouterId> RoutersOf(const UpstreamSpec& upstream,
                                  size_t count) const;

  // True if this router is one of RoutersOf(upstream, count). Much cheaper than
  // that, because most upstreams of a large fleet are not used by this router.
  bool IsSelfAmong(const UpstreamSpec& upstream, size_t count) const;

  // Returns the weight of the pair of this router and `upstream`. Upstreams in
  // the router's own availability zone have greater weights than all others if
  // `preference` says so.
  uint64_t OwnWeight(const UpstreamSpec& upstream) const;

 private:
  struct Candidate {
    RouterLocation location;
    uint64_t hash = 0;
  };

  // Returns how many of the routers at `positions` have a greater weight with
  // an upstream than `own`, this router's weight and position.
  size_t CountPreferred(const std::vector<size_t>& positions,
                        uint64_t upstream_hash,
                        bool same_zone,
                        const std::pair<uint64_t, size_t>& own) const;

  // True if a router in `router_zone` is preferred for an upstream in
  // `upstream_zone`.
  bool IsNear(const AvailabilityZoneId& router_zone,
              const AvailabilityZoneId& upstream_zone) const {
    return preference_ == ZonePreference::kNone || router_zone == upstream_zone;
  }

  const ZonePreference preference_;
  // Sorted by id.
  std::vector<Candidate> routers_;
  // Positions in `routers_`, in increasing order. Without a preference all are
  // under the empty zone.
  absl::flat_hash_map<AvailabilityZoneId, std::vector<size_t>> by_zone_;
  RouterLocation self_;
  uint64_t self_hash_ = 0;
  // Position of this router in `routers_`.
  size_t self_position_ = 0;
};

}  // namespace papaya

#endif  // SRC_ROUTING_ROUTER_SUBSET_H_
