#ifndef INCLUDE_ROUTING_ROUTING_SNAPSHOT_H_
#define INCLUDE_ROUTING_ROUTING_SNAPSHOT_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "include/base/ids.h"
#include "include/base/strong_number.h"
#include "include/config/fleet_config.h"

namespace papaya {

// Positions in the tables of one RoutingSnapshot.
using UpstreamIndex = StrongNumber<struct UpstreamIndexTag, int32_t>;
using PoolIndex = StrongNumber<struct PoolIndexTag, int32_t>;
using GroupIndex = StrongNumber<struct GroupIndexTag, int32_t>;

// A router and where it stands.
struct RouterLocation {
  RouterId id;
  AvailabilityZoneId zone;
};

// One version of the back end of one pool.
struct PoolVersion {
  PoolId pool;
  VersionId version;

  auto operator<=>(const PoolVersion&) const = default;
};

// What a RoutingSnapshot is built from.
struct RoutingInput {
  // Must not be null.
  std::shared_ptr<const FleetConfig> config;
  // Upstreams that must get no new work.
  std::vector<UpstreamId> leaving;
  // Versions that were found bad; they get no new work.
  std::vector<PoolVersion> stopped;
  // The router that the snapshot is for.
  RouterLocation self;
  // The live routers; `self` may be among them.
  std::vector<RouterLocation> routers;
};

// An upstream that this router uses.
struct RoutedUpstream {
  UpstreamSpec spec;
  // The group it belongs to.
  GroupIndex group;
  // The routers that use it, sorted; they divide its slots.
  std::vector<RouterId> routers;
};

// The upstreams of one version of one pool.
struct VersionGroup {
  PoolVersion name;
  PoolIndex pool;
  // Share of the pool's traffic, before stopped and empty groups are left out.
  double share = 0.0;
  // False if it gets no new work: stopped, without share, or all its upstreams
  // are leaving.
  bool usable = false;
  // Those that this router uses and that aren't leaving.
  std::vector<UpstreamIndex> upstreams;
};

// The routes that one router may take, at one moment: immutable, shared by all
// threads as std::shared_ptr<const RoutingSnapshot>. Traffic keeps the one
// that it took at a request's arrival.
//
// In a large fleet a router uses a stable subset of the upstreams: each
// upstream is used by kRoutersPerUpstream routers, those of its own
// availability zone first, and each router uses at least
// kMinUpstreamsPerGroup upstreams of every group. A router or upstream that
// comes or goes changes few of the pairs.
class RoutingSnapshot {
 public:
  static constexpr size_t kRoutersPerUpstream = 8;
  static constexpr size_t kMinUpstreamsPerGroup = 3;

  static std::shared_ptr<const RoutingSnapshot> Build(
      const RoutingInput& input);

  const std::shared_ptr<const FleetConfig>& config() const { return config_; }
  const RouterLocation& self() const { return self_; }

  // The upstreams that this router uses, leaving ones left out.
  const std::vector<RoutedUpstream>& upstreams() const { return upstreams_; }
  const std::vector<VersionGroup>& groups() const { return groups_; }

  const RoutedUpstream& upstream(UpstreamIndex index) const {
    return upstreams_[static_cast<size_t>(index.value())];
  }
  const VersionGroup& group(GroupIndex index) const {
    return groups_[static_cast<size_t>(index.value())];
  }

  // Empty if the configuration has no upstream of that pool.
  std::optional<PoolIndex> FindPool(const PoolId& pool) const;

  // Empty if this router does not use it, or it is leaving.
  std::optional<UpstreamIndex> FindUpstream(const UpstreamId& id) const;

  // The group that a request with that RequestSpec::share_hash goes to. All
  // routers with the same configuration and stopped versions choose alike. A
  // request whose own version can't be used is spread over the usable ones.
  // Empty if the pool has none.
  std::optional<GroupIndex> ChooseGroup(PoolIndex pool,
                                        uint64_t share_hash) const;

  // The usable group with the largest share; empty if the pool has none.
  std::optional<GroupIndex> LargestGroup(PoolIndex pool) const;

 private:
  friend class RoutingSnapshotBuilder;

  RoutingSnapshot() = default;

  std::shared_ptr<const FleetConfig> config_;
  RouterLocation self_;
  std::vector<RoutedUpstream> upstreams_;
  std::vector<VersionGroup> groups_;
  // The groups of each pool, by version.
  std::vector<std::vector<GroupIndex>> pool_groups_;
  absl::flat_hash_map<PoolId, PoolIndex> pools_;
  absl::flat_hash_map<UpstreamId, UpstreamIndex> upstream_indexes_;
};

}  // namespace papaya

#endif  // INCLUDE_ROUTING_ROUTING_SNAPSHOT_H_
