#include "include/admission/demand_share.h"

#include <optional>
#include <set>

#include "include/routing/routing_snapshot.h"

namespace papaya {

namespace {

// Returns the groups in which each other router uses an upstream of `snapshot`.
std::map<RouterId, std::set<GroupIndex>> FindSharedGroups(
    const RoutingSnapshot& snapshot) {
  std::map<RouterId, std::set<GroupIndex>> shared;
  for (const RoutedUpstream& upstream : snapshot.upstreams()) {
    for (const RouterId& router : upstream.routers) {
      if (router != snapshot.self().id) {
        shared[router].insert(upstream.group);
      }
    }
  }
  return shared;
}

std::map<PoolVersion, const GroupDemand*> IndexGroups(
    const DemandReport& report) {
  std::map<PoolVersion, const GroupDemand*> groups;
  for (const GroupDemand& group : report.groups) {
    groups[group.group] = &group;
  }
  return groups;
}

}  // namespace

DemandParts SplitDemandReport(const DemandReport& report,
                              const RoutingSnapshot& snapshot) {
  const std::map<PoolVersion, const GroupDemand*> groups = IndexGroups(report);
  DemandParts parts;
  for (const auto& [router, indexes] : FindSharedGroups(snapshot)) {
    DemandReport& part = parts[router];
    part.router = report.router;
    part.incarnation = report.incarnation;
    part.sequence = report.sequence;
    for (const GroupIndex index : indexes) {
      const auto group = groups.find(snapshot.group(index).name);
      if (group != groups.end()) {
        part.groups.push_back(*group->second);
      }
    }
  }
  for (const UpstreamUse& use : report.upstreams) {
    const std::optional<UpstreamIndex> index =
        snapshot.FindUpstream(use.upstream);
    if (!index.has_value()) {
      // Not in the snapshot, for instance because it is leaving: all routers
      // need to know.
      for (auto& [router, part] : parts) {
        part.upstreams.push_back(use);
      }
      continue;
    }
    for (const RouterId& router : snapshot.upstream(*index).routers) {
      const auto part = parts.find(router);
      if (part != parts.end()) {
        part->second.upstreams.push_back(use);
      }
    }
  }
  return parts;
}

}  // namespace papaya
