#include "src/admission/slot_planner.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace papaya {

namespace {

// Below this the reports of others say too little to be kept out by them.
constexpr double kLowTrust = 0.5;

const GroupDemand* FindGroup(const DemandReport& report,
                             const PoolVersion& name) {
  for (const GroupDemand& demand : report.groups) {
    if (demand.group == name) {
      return &demand;
    }
  }
  return nullptr;
}

GroupDemand OwnDemand(const GroupState& state) {
  GroupDemand demand;
  for (size_t tier = 0; tier < kTierCount; ++tier) {
    demand.tiers[tier] = {state.running[tier],
                          static_cast<int32_t>(state.queues[tier].size())};
  }
  return demand;
}

}  // namespace

size_t SlotPlanner::PositionOf(const RouterId& id, const GroupState& state) {
  auto found =
      std::find_if(routers_.begin(), routers_.end(),
                   [&id](const Router& router) { return router.id == id; });
  if (found != routers_.end()) {
    return static_cast<size_t>(found - routers_.begin());
  }
  const bool is_self = id == snapshot_->self().id;
  const DemandReport* report = is_self ? nullptr : peers_->Find(id, now_);
  const GroupDemand own = OwnDemand(state);
  const GroupDemand* demand = is_self ? &own : nullptr;
  if (report != nullptr) {
    demand = FindGroup(*report, state.name);
  }
  Router router;
  router.id = id;
  router.demand.is_known = is_self || report != nullptr;
  for (size_t i = 0; demand != nullptr && i < kTierCount; ++i) {
    const TierDemand& tier = demand->tiers[i];
    router.demand.tiers[i] = tier.running + tier.waiting;
    router.running[i] = tier.running;
    router.waiting[i] = tier.waiting;
  }
  routers_.push_back(router);
  return routers_.size() - 1;
}

void SlotPlanner::Divide(const VersionGroup& group, GroupState* state) {
  double total_slots = 0.0;
  for (UpstreamIndex index : group.upstreams) {
    total_slots += snapshot_->upstream(index).spec.slots;
  }
  for (UpstreamIndex index : group.upstreams) {
    const RoutedUpstream& upstream = snapshot_->upstream(index);
    // A router's demand is spread over its upstreams by their slots; the
    // others are taken to have as many slots in reach as this one.
    const double part = upstream.spec.slots / total_slots;
    std::vector<size_t> positions;
    std::vector<RouterDemand> demands;
    for (const RouterId& id : upstream.routers) {
      positions.push_back(PositionOf(id, *state));
      demands.push_back(routers_[positions.back()].demand);
      for (double& tier : demands.back().tiers) {
        tier *= part;
      }
    }
    const std::vector<TierSlots> shares =
        DivideSlots(upstream.spec.slots, demands);
    for (size_t i = 0; i < positions.size(); ++i) {
      Router& router = routers_[positions[i]];
      for (size_t tier = 0; tier < kTierCount; ++tier) {
        router.allotment[tier] += shares[i][tier];
      }
      if (router.id == snapshot_->self().id) {
        StateOf(upstream).share =
            std::accumulate(shares[i].begin(), shares[i].end(), 0.0);
        state->allotment = router.allotment;
      }
    }
  }
}

// Gives a free slot of `upstream` to the router that lacks most of its
// allotment for `tier` and has requests of it waiting; `limit` grows if that is
// this one. False if there is no such router.
bool SlotPlanner::GrantOne(const RoutedUpstream& upstream,
                           Tier tier,
                           int* limit) {
  const size_t index = TierIndex(tier);
  Router* most = nullptr;
  double most_lacking = 0.0;
  for (Router& router : routers_) {
    const double lacking = router.allotment[index] - router.running[index];
    if (router.waiting[index] > 0.0 && lacking > most_lacking &&
        std::binary_search(upstream.routers.begin(), upstream.routers.end(),
                           router.id)) {
      most = &router;
      most_lacking = lacking;
    }
  }
  if (most == nullptr) {
    return false;
  }
  most->running[index] += 1.0;
  most->waiting[index] -= 1.0;
  *limit += most->id == snapshot_->self().id ? 1 : 0;
  return true;
}

UpstreamState& SlotPlanner::StateOf(const RoutedUpstream& upstream) {
  return upstreams_->at(upstreams_->Find(upstream.spec.id));
}

// Where attempts are short beside the time between reports, the work that
// others reported has mostly ended; then they are taken to keep within what
// the division leaves them. `trust` is how much of it is left.
void SlotPlanner::DiscountPeers(const VersionGroup& group, double trust) {
  for (UpstreamIndex index : group.upstreams) {
    UpstreamState& state = StateOf(snapshot_->upstream(index));
    const double rest = std::max(0.0, state.slots - state.share);
    state.peer_running = trust * state.peer_running +
                         (1.0 - trust) * std::min(state.peer_running, rest);
  }
}

// A router may go on using the slots that it has; but where an upstream has
// too much, those above their share give some up.
void SlotPlanner::SetLimits(const VersionGroup& group, double trust) {
  for (UpstreamIndex index : group.upstreams) {
    UpstreamState& state = StateOf(snapshot_->upstream(index));
    const bool is_over = state.TotalRunning() > state.slots;
    state.limit = state.running;
    if (is_over && state.running > state.share) {
      state.limit = state.running - 1;
    }
    if (trust < kLowTrust) {
      state.limit = std::max(state.limit, static_cast<int>(state.share));
    }
  }
}

void SlotPlanner::GrantFreeSlots(const VersionGroup& group) {
  for (UpstreamIndex index : group.upstreams) {
    const RoutedUpstream& upstream = snapshot_->upstream(index);
    UpstreamState& state = StateOf(upstream);
    double free = state.slots - state.TotalRunning();
    for (Tier tier : kAllTiers) {
      while (free >= 1.0 && GrantOne(upstream, tier, &state.limit)) {
        free -= 1.0;
      }
    }
  }
}

void SlotPlanner::Plan(const VersionGroup& group, GroupState* state) {
  routers_.clear();
  Divide(group, state);
  double trust = 1.0;
  if (state->attempt_seconds > 0.0) {
    trust = std::exp(-ToSeconds(report_interval_) / state->attempt_seconds);
    DiscountPeers(group, trust);
  }
  SetLimits(group, trust);
  GrantFreeSlots(group);
}

}  // namespace papaya
