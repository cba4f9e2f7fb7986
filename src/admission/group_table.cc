#include "src/admission/group_table.h"

#include <algorithm>

#include "src/admission/slot_division.h"

namespace papaya {

namespace {

const GroupDemand* FindGroup(const DemandReport& report,
                             const PoolVersion& name) {
  for (const GroupDemand& demand : report.groups) {
    if (demand.group == name) {
      return &demand;
    }
  }
  return nullptr;
}

RouterDemand DemandOf(const DemandReport* report, const PoolVersion& name) {
  RouterDemand demand;
  demand.is_known = report != nullptr;
  const GroupDemand* group =
      demand.is_known ? FindGroup(*report, name) : nullptr;
  if (group == nullptr) {
    return demand;
  }
  for (size_t tier = 0; tier < kTierCount; ++tier) {
    demand.tiers[tier] =
        group->tiers[tier].running + group->tiers[tier].waiting;
  }
  return demand;
}

RouterDemand OwnDemand(const GroupState& state) {
  RouterDemand demand;
  demand.is_known = true;
  for (size_t tier = 0; tier < kTierCount; ++tier) {
    demand.tiers[tier] =
        state.running[tier] + static_cast<double>(state.queues[tier].size());
  }
  return demand;
}

}  // namespace

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

double GroupTable::WorkOutAllotment(const VersionGroup& group,
                                    const GroupState& state,
                                    const RoutingSnapshot& snapshot,
                                    const PeerTable& peers,
                                    TimePoint now) const {
  double total_slots = 0.0;
  for (UpstreamIndex index : group.upstreams) {
    total_slots += snapshot.upstream(index).spec.slots;
  }
  const RouterId& self = snapshot.self().id;
  const RouterDemand own = OwnDemand(state);
  double allotment = 0.0;
  for (UpstreamIndex index : group.upstreams) {
    const RoutedUpstream& upstream = snapshot.upstream(index);
    // A router's demand is spread over its upstreams by their slots; the
    // others are taken to have as many slots in reach as this one.
    const double part = upstream.spec.slots / total_slots;
    std::vector<RouterDemand> demands;
    size_t own_position = 0;
    for (const RouterId& router : upstream.routers) {
      if (router == self) {
        own_position = demands.size();
      }
      RouterDemand demand =
          router == self ? own : DemandOf(peers.Find(router, now), state.name);
      for (double& tier : demand.tiers) {
        tier *= part;
      }
      demands.push_back(demand);
    }
    allotment += DivideSlots(upstream.spec.slots, demands, own_position);
  }
  return allotment;
}

void GroupTable::ApplyPeers(const RoutingSnapshot& snapshot,
                            const PeerTable& peers,
                            TimePoint now) {
  for (const auto& [name, number] : numbers_) {
    GroupState& state = at(number);
    state.peer_running.fill(0);
    state.peer_waiting.fill(0);
    state.peer_short.reset();
    state.peer_short_waiting = 0;
  }
  peers.ForEach(now,
                [this](const DemandReport& report) { AddPeerDemand(report); });
  for (const VersionGroup& group : snapshot.groups()) {
    GroupState& state = at(Find(group.name));
    state.allotment = WorkOutAllotment(group, state, snapshot, peers, now);
  }
}

}  // namespace papaya
