#include "include/admission/demand_name_resolver.h"

namespace papaya {

DemandNameResolver::DemandNameResolver(const RoutingSnapshot& snapshot) {
  for (const RoutedUpstream& upstream : snapshot.upstreams()) {
    upstreams_[HashName(upstream.spec.id)].push_back(upstream.spec.id);
  }
  for (const VersionGroup& group : snapshot.groups()) {
    groups_[HashName(group.name)].push_back(group.name);
  }
}

DemandReport DemandNameResolver::Resolve(const RouterId& from,
                                         const DemandNotice& notice) const {
  DemandReport report{.router = from,
                      .incarnation = notice.incarnation,
                      .sequence = notice.sequence};
  for (const GroupNotice& entry : notice.groups) {
    const auto names = groups_.find(entry.group);
    if (names == groups_.end()) {
      continue;
    }
    for (const PoolVersion& name : names->second) {
      report.groups.push_back({.group = name,
                               .tiers = entry.tiers,
                               .short_tier = entry.short_tier});
    }
  }
  for (const UpstreamNotice& entry : notice.upstreams) {
    const auto names = upstreams_.find(entry.upstream);
    if (names == upstreams_.end()) {
      continue;
    }
    for (const UpstreamId& name : names->second) {
      report.upstreams.push_back({.upstream = name,
                                  .running = entry.running,
                                  .pending_prefill = entry.pending_prefill,
                                  .ejected = entry.ejected,
                                  .leaving = entry.leaving});
    }
  }
  return report;
}

}  // namespace papaya
