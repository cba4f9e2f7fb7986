#include "include/routing/routing_snapshot.h"

#include <algorithm>
#include <map>
#include <utility>

#include "absl/container/flat_hash_set.h"
#include "include/base/stable_hash.h"
#include "src/routing/router_subset.h"

namespace papaya {

namespace {

// Makes the draw that replaces an unusable group independent of the first draw.
constexpr uint64_t kFallbackSalt = 0x5ec0d;

size_t PositionOf(GroupIndex index) {
  return static_cast<size_t>(index.value());
}

}  // namespace

// Builds one RoutingSnapshot.
class RoutingSnapshotBuilder {
 public:
  explicit RoutingSnapshotBuilder(const RoutingInput& input)
      : input_(input),
        leaving_(input.leaving.begin(), input.leaving.end()),
        returning_(input.returning.begin(), input.returning.end()),
        subset_(input.routers, input.self, input.zone_preference) {
    snapshot_.config_ = input.config;
    snapshot_.self_ = input.self;
    snapshot_.zone_preference_ = input.zone_preference;
  }

  RoutingSnapshot Build() {
    AddGroups();
    SetShares();
    AddUpstreams();
    return std::move(snapshot_);
  }

 private:
  void AddGroups() {
    std::map<PoolVersion, std::vector<const UpstreamSpec*>> by_name;
    for (const UpstreamSpec& spec : input_.config->upstreams) {
      by_name[{spec.pool, spec.version}].push_back(&spec);
    }
    for (auto& [name, members] : by_name) {
      AddGroup(name);
      members_.push_back(std::move(members));
    }
  }

  void AddGroup(const PoolVersion& name) {
    const GroupIndex index(static_cast<int32_t>(snapshot_.groups_.size()));
    const PoolIndex next(static_cast<int32_t>(snapshot_.pool_groups_.size()));
    const PoolIndex pool =
        snapshot_.pools_.try_emplace(name.pool, next).first->second;
    if (pool == next) {
      snapshot_.pool_groups_.emplace_back();
    }
    snapshot_.pool_groups_[static_cast<size_t>(pool.value())].push_back(index);
    VersionGroup group;
    group.name = name;
    group.pool = pool;
    snapshot_.groups_.push_back(std::move(group));
  }

  // Sets the configured shares. In pools without configured shares, the share
  // of a group is its number of upstreams.
  void SetShares() {
    std::map<PoolVersion, double> configured;
    absl::flat_hash_set<PoolId> pools_with_shares;
    for (const VersionShare& entry : input_.config->shares) {
      configured[{entry.pool, entry.version}] = entry.share.value() / 1000.0;
      pools_with_shares.insert(entry.pool);
    }
    for (size_t i = 0; i < snapshot_.groups_.size(); ++i) {
      VersionGroup& group = snapshot_.groups_[i];
      const bool is_configured = pools_with_shares.contains(group.name.pool);
      group.share = is_configured ? configured[group.name]
                                  : static_cast<double>(members_[i].size());
    }
  }

  void AddUpstreams() {
    for (size_t i = 0; i < snapshot_.groups_.size(); ++i) {
      AddUpstreamsOfGroup(i);
    }
  }

  void AddUpstreamsOfGroup(size_t position) {
    // With the weights for this router.
    std::vector<std::pair<uint64_t, const UpstreamSpec*>> live;
    for (const UpstreamSpec* spec : members_[position]) {
      if (!leaving_.contains(spec->id)) {
        live.emplace_back(subset_.OwnWeight(*spec), spec);
      } else if (returning_.contains(spec->id)) {
        snapshot_.returning_.push_back(spec);
      }
    }
    VersionGroup& group = snapshot_.groups_[position];
    const bool is_stopped =
        std::find(input_.stopped.begin(), input_.stopped.end(), group.name) !=
        input_.stopped.end();
    group.usable = !is_stopped && group.share > 0.0 && !live.empty();
    // The upstreams with the greatest weights for this router come first and
    // fill the required minimum.
    std::sort(live.begin(), live.end(),
              [](const auto& a, const auto& b) { return a.first > b.first; });
    std::map<RegionId, size_t> used_by_region;
    for (size_t rank = 0; rank < live.size(); ++rank) {
      const UpstreamSpec& spec = *live[rank].second;
      const bool is_required = rank < RoutingSnapshot::kMinUpstreamsPerGroup ||
                               (input_.has_region_limits &&
                                used_by_region[spec.region] <
                                    RoutingSnapshot::kMinUpstreamsPerGroup);
      if (input_.has_region_limits) {
        ++used_by_region[spec.region];
      }
      AddIfUsed(position, spec, is_required);
    }
  }

  void AddIfUsed(size_t group, const UpstreamSpec& spec, bool is_required) {
    const bool is_chosen =
        subset_.IsSelfAmong(spec, RoutingSnapshot::kRoutersPerUpstream);
    if (!is_chosen && !is_required) {
      return;
    }
    std::vector<RouterId> routers =
        subset_.RoutersOf(spec, RoutingSnapshot::kRoutersPerUpstream);
    if (!is_chosen) {
      routers.insert(
          std::lower_bound(routers.begin(), routers.end(), input_.self.id),
          input_.self.id);
    }
    const UpstreamIndex index(
        static_cast<int32_t>(snapshot_.upstreams_.size()));
    snapshot_.upstream_indexes_[spec.id] = index;
    snapshot_.groups_[group].upstreams.push_back(index);
    snapshot_.upstreams_.push_back(
        {spec, GroupIndex(static_cast<int32_t>(group)), std::move(routers)});
  }

  const RoutingInput& input_;
  absl::flat_hash_set<UpstreamId> leaving_;
  absl::flat_hash_set<UpstreamId> returning_;
  RouterSubset subset_;
  // The configured upstreams of each group, including leaving ones.
  std::vector<std::vector<const UpstreamSpec*>> members_;
  RoutingSnapshot snapshot_;
};

std::shared_ptr<const RoutingSnapshot> RoutingSnapshot::Build(
    const RoutingInput& input) {
  return std::make_shared<const RoutingSnapshot>(
      RoutingSnapshotBuilder(input).Build());
}

std::optional<PoolIndex> RoutingSnapshot::FindPool(const PoolId& pool) const {
  auto found = pools_.find(pool);
  if (found == pools_.end()) {
    return std::nullopt;
  }
  return found->second;
}

std::optional<UpstreamIndex> RoutingSnapshot::FindUpstream(
    const UpstreamId& id) const {
  auto found = upstream_indexes_.find(id);
  if (found == upstream_indexes_.end()) {
    return std::nullopt;
  }
  return found->second;
}

std::optional<GroupIndex> RoutingSnapshot::ChooseGroup(
    PoolIndex pool,
    uint64_t share_hash) const {
  const std::vector<GroupIndex>& groups =
      pool_groups_[static_cast<size_t>(pool.value())];
  double total = 0.0;
  double usable_total = 0.0;
  for (GroupIndex index : groups) {
    total += groups_[PositionOf(index)].share;
    usable_total += groups_[PositionOf(index)].usable
                        ? groups_[PositionOf(index)].share
                        : 0.0;
  }
  if (usable_total <= 0.0) {
    return std::nullopt;
  }
  double point = HashToUnit(share_hash) * total;
  for (GroupIndex index : groups) {
    const VersionGroup& group = groups_[PositionOf(index)];
    if (point < group.share && group.usable) {
      return index;
    }
    if (point < group.share) {
      break;
    }
    point -= group.share;
  }
  point = HashToUnit(CombineHashes(share_hash, kFallbackSalt)) * usable_total;
  std::optional<GroupIndex> chosen;
  for (GroupIndex index : groups) {
    if (!groups_[PositionOf(index)].usable) {
      continue;
    }
    chosen = index;
    if (point < groups_[PositionOf(index)].share) {
      break;
    }
    point -= groups_[PositionOf(index)].share;
  }
  return chosen;
}

std::optional<GroupIndex> RoutingSnapshot::LargestGroup(PoolIndex pool) const {
  std::optional<GroupIndex> main;
  for (GroupIndex index : pool_groups_[static_cast<size_t>(pool.value())]) {
    const VersionGroup& group = groups_[PositionOf(index)];
    if (group.usable &&
        (!main.has_value() || group.share > groups_[PositionOf(*main)].share)) {
      main = index;
    }
  }
  return main;
}

}  // namespace papaya
