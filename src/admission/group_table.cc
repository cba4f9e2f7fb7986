#include "src/admission/group_table.h"

#include <algorithm>

namespace papaya {

int32_t GroupTable::Add(const PoolVersion& name) {
  int32_t number = static_cast<int32_t>(groups_.size());
  if (unused_.empty()) {
    groups_.push_back(std::make_unique<GroupState>());
  } else {
    number = unused_.back();
    unused_.pop_back();
    *groups_[static_cast<size_t>(number)] = GroupState();
  }
  at(number).name = name;
  numbers_[name] = number;
  return number;
}

int32_t GroupTable::Find(const PoolVersion& name) const {
  auto found = numbers_.find(name);
  return found == numbers_.end() ? -1 : found->second;
}

void GroupTable::Apply(const RoutingSnapshot& snapshot,
                       const UpstreamTable& upstreams) {
  for (const auto& [name, number] : numbers_) {
    at(number).is_usable = false;
    at(number).upstreams.clear();
    at(number).planned = PlannedGroup();
  }
  for (const VersionGroup& group : snapshot.groups()) {
    int32_t number = Find(group.name);
    if (number < 0) {
      number = Add(group.name);
    }
    GroupState& state = at(number);
    state.is_usable = group.usable;
    for (UpstreamIndex index : group.upstreams) {
      state.upstreams.push_back(
          upstreams.Find(snapshot.upstream(index).spec.id));
    }
    state.planned = MakePlannedGroup(snapshot, group, upstreams);
  }
  std::erase_if(numbers_, [this](const auto& item) {
    GroupState& state = at(item.second);
    if (state.is_usable || !state.upstreams.empty() || !state.IsIdle()) {
      return false;
    }
    unused_.push_back(item.second);
    return true;
  });
}

void GroupTable::AddPeerDemand(const DemandReport& report) {
  for (const GroupDemand& demand : report.groups) {
    const int32_t number = Find(demand.group);
    if (number < 0) {
      continue;
    }
    GroupState& state = at(number);
    for (size_t tier = 0; tier < kTierCount; ++tier) {
      state.peer_running[tier] += demand.tiers[tier].running;
      state.peer_waiting[tier] += demand.tiers[tier].waiting;
    }
    if (!demand.short_tier.has_value()) {
      continue;
    }
    if (!state.peer_short.has_value() ||
        *demand.short_tier < *state.peer_short) {
      state.peer_short = demand.short_tier;
      state.peer_short_waiting = 0;
    }
    if (*demand.short_tier == *state.peer_short) {
      state.peer_short_waiting +=
          demand.tiers[TierIndex(*demand.short_tier)].waiting;
    }
  }
}

void GroupTable::ApplyPeers(const PeerTable& peers, TimePoint now) {
  for (const auto& [name, number] : numbers_) {
    GroupState& state = at(number);
    state.peer_running.fill(0);
    state.peer_waiting.fill(0);
    state.peer_short.reset();
    state.peer_short_waiting = 0;
    state.is_plan_stale = true;
  }
  peers.ForEach(now,
                [this](const DemandReport& report) { AddPeerDemand(report); });
}

}  // namespace papaya
