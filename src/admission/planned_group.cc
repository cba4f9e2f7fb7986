#include "src/admission/planned_group.h"

#include "absl/container/flat_hash_map.h"
#include "include/base/stable_hash.h"
#include "src/admission/upstream_table.h"

namespace papaya {

PlannedGroup MakePlannedGroup(const RoutingSnapshot& snapshot,
                              const VersionGroup& group,
                              const UpstreamTable& upstreams) {
  PlannedGroup planned;
  double slots = 0.0;
  for (UpstreamIndex index : group.upstreams) {
    slots += snapshot.upstream(index).spec.slots;
  }
  absl::flat_hash_map<RouterId, size_t> positions;
  size_t users = 0;
  bool are_engines = true;
  for (UpstreamIndex index : group.upstreams) {
    const RoutedUpstream& routed = snapshot.upstream(index);
    PlannedGroup::Upstream upstream;
    upstream.number = upstreams.Find(routed.spec.id);
    upstream.slots = routed.spec.slots;
    upstream.fraction = upstream.slots / slots;
    const uint64_t seed = StableHash(routed.spec.id.value());
    for (const RouterId& router : routed.routers) {
      const auto [found, is_new] =
          positions.try_emplace(router, planned.routers.size());
      if (is_new) {
        planned.routers.push_back(router);
      }
      upstream.users.push_back(
          {found->second, StableHash(router.value(), seed)});
    }
    users += upstream.users.size();
    are_engines = are_engines && routed.spec.kind == UpstreamKind::kModelEngine;
    planned.upstreams.push_back(std::move(upstream));
  }
  planned.is_scarce = are_engines && static_cast<double>(users) > slots;
  const auto self = positions.find(snapshot.self().id);
  planned.self =
      self == positions.end() ? -1 : static_cast<int64_t>(self->second);
  return planned;
}

}  // namespace papaya
