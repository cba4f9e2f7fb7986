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

// A router and its availability zone.
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

// Which upstreams are assigned to a router first in a large fleet.
enum class ZonePreference : uint8_t {
  kOwnZone,  // those of its own availability zone
  // Upstreams of all zones alike, so that routers of a zone with more demand
  // than the others also use the upstreams of the others.
  kNone,
};

// The input of RoutingSnapshot::Build().
struct RoutingInput {
  // Must not be null.
  std::shared_ptr<const FleetConfig> config;
  // Upstreams that must get no new work.
  std::vector<UpstreamId> leaving;
  // Those of `leaving` that are expected to get work again later.
  std::vector<UpstreamId> returning;
  // Some requests may reach only certain regions, so this router has to use
  // upstreams of every region.
  bool has_region_limits = false;
  // Versions that were judged bad; they get no new work.
  std::vector<PoolVersion> stopped;
  // The router that the snapshot is for.
  RouterLocation self;
  // The live routers; `self` may be among them.
  std::vector<RouterLocation> routers;
  ZonePreference zone_preference = ZonePreference::kOwnZone;
};

// An upstream that this router uses.
struct RoutedUpstream {
  UpstreamSpec spec;
  GroupIndex group;
  // The routers that use the upstream and divide its slots, sorted by id.
  std::vector<RouterId> routers;
};

// The upstreams of one version of one pool.
struct VersionGroup {
  PoolVersion name;
  PoolIndex pool;
  // Weight of the group in its pool's traffic, relative to the other groups of
  // the pool and before stopped and empty groups are left out.
  double share = 0.0;
  // False if the group gets no new work because its version is stopped, its
  // share is zero or all its upstreams are leaving.
  bool usable = false;
  // The upstreams that this router uses, without leaving ones.
  std::vector<UpstreamIndex> upstreams;
};

// The upstreams that one router may route to under one configuration, grouped
// by pool and version. Immutable, and shared by all threads as
// std::shared_ptr<const RoutingSnapshot>. A request keeps the snapshot that it
// took at its arrival.
//
// In a large fleet a router uses a stable subset of the upstreams. Each
// upstream is assigned to kRoutersPerUpstream routers, those of its own
// availability zone first if RoutingInput::zone_preference says so. In
// addition, each router uses at least kMinUpstreamsPerGroup upstreams of every
// group, or all of a smaller group, and the same of every region in a group if
// requests are limited to regions. Adding or removing a router or an upstream
// changes few of the assignments.
class RoutingSnapshot {
 public:
  static constexpr size_t kRoutersPerUpstream = 8;
  static constexpr size_t kMinUpstreamsPerGroup = 3;

  static std::shared_ptr<const RoutingSnapshot> Build(
      const RoutingInput& input);

  const std::shared_ptr<const FleetConfig>& config() const { return config_; }
  const RouterLocation& self() const { return self_; }
  ZonePreference zone_preference() const { return zone_preference_; }

  // The upstreams that this router uses, without leaving ones.
  const std::vector<RoutedUpstream>& upstreams() const { return upstreams_; }
  const std::vector<VersionGroup>& groups() const { return groups_; }

  // The upstreams that get no work now but are expected to get some later.
  // Valid as long as the snapshot.
  const std::vector<const UpstreamSpec*>& returning() const {
    return returning_;
  }

  const RoutedUpstream& upstream(UpstreamIndex index) const {
    return upstreams_[static_cast<size_t>(index.value())];
  }
  const VersionGroup& group(GroupIndex index) const {
    return groups_[static_cast<size_t>(index.value())];
  }

  // Returns std::nullopt if the configuration has no upstream of `pool`.
  std::optional<PoolIndex> FindPool(const PoolId& pool) const;

  // Returns std::nullopt if this router does not use the upstream or the
  // upstream is leaving.
  std::optional<UpstreamIndex> FindUpstream(const UpstreamId& id) const;

  // Returns the group for a request with the RequestSpec::share_hash
  // `share_hash`. Routers with the same configuration, stopped versions and
  // leaving upstreams return the same group. Requests that fall to an unusable
  // group are spread over the usable groups by their shares. Returns
  // std::nullopt if the pool has no usable group.
  std::optional<GroupIndex> ChooseGroup(PoolIndex pool,
                                        uint64_t share_hash) const;

  // Returns the usable group with the largest share, or std::nullopt if the
  // pool has no usable group.
  std::optional<GroupIndex> LargestGroup(PoolIndex pool) const;

 private:
  friend class RoutingSnapshotBuilder;

  RoutingSnapshot() = default;

  std::shared_ptr<const FleetConfig> config_;
  RouterLocation self_;
  ZonePreference zone_preference_ = ZonePreference::kOwnZone;
  std::vector<RoutedUpstream> upstreams_;
  std::vector<VersionGroup> groups_;
  // In `config_`.
  std::vector<const UpstreamSpec*> returning_;
  // The groups of each pool, in the order of their versions.
  std::vector<std::vector<GroupIndex>> pool_groups_;
  absl::flat_hash_map<PoolId, PoolIndex> pools_;
  absl::flat_hash_map<UpstreamId, UpstreamIndex> upstream_indexes_;
};

}  // namespace papaya

#endif  // INCLUDE_ROUTING_ROUTING_SNAPSHOT_H_
