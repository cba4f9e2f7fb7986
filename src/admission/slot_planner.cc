#include "src/admission/slot_planner.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "include/base/stable_hash.h"

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

}  // namespace

size_t SlotPlanner::PositionOf(const RouterId& id, const PoolVersion& group) {
  auto found =
      std::find_if(routers_.begin(), routers_.end(),
                   [&id](const Router& router) { return router.id == id; });
  if (found != routers_.end()) {
    return static_cast<size_t>(found - routers_.begin());
  }
  const bool is_self = id == snapshot_->self().id;
  const DemandReport* report = is_self ? own_ : peers_->Find(id, now_);
  const GroupDemand* demand =
      report != nullptr ? FindGroup(*report, group) : nullptr;
  Router router;
  router.id = id;
  router.demand.is_known = report != nullptr;
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
      positions.push_back(PositionOf(id, state->name));
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

// Gives a free slot of `upstream` to a router that lacks some of its allotment
// for `tier` and has requests of it waiting; `limit` grows if that is this one.
// False if there is no such router. Of several, a rendezvous hash names one:
// it stays the same while reports come in one by one, unlike the router that
// lacks most, and so two routers seldom take one slot.
bool SlotPlanner::GrantOne(const RoutedUpstream& upstream,
                           Tier tier,
                           int* limit) {
  const size_t index = TierIndex(tier);
  const uint64_t seed = StableHash(upstream.spec.id.value());
  Router* most = nullptr;
  uint64_t most_weight = 0;
  for (Router& router : routers_) {
    const double lacking = router.allotment[index] - router.running[index];
    const uint64_t weight = StableHash(router.id.value(), seed);
    if (router.waiting[index] > 0.0 && lacking > 0.0 &&
        (most == nullptr || weight > most_weight) &&
        std::binary_search(upstream.routers.begin(), upstream.routers.end(),
                           router.id)) {
      most = &router;
      most_weight = weight;
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

// A tier is scarce unless some tier below it gets slots too.
void SlotPlanner::MarkScarce(GroupState* state) const {
  TierSlots granted{};
  for (const Router& router : routers_) {
    for (size_t tier = 0; router.demand.is_known && tier < kTierCount; ++tier) {
      granted[tier] += router.allotment[tier];
    }
  }
  double below = 0.0;
  for (size_t tier = kTierCount; tier-- > 0;) {
    state->is_scarce[tier] = below < 1.0;
    below += granted[tier];
  }
}

void SlotPlanner::ApplyOwnReport(const VersionGroup& group) {
  for (UpstreamIndex index : group.upstreams) {
    StateOf(snapshot_->upstream(index)).reported_running = 0;
  }
  for (const UpstreamUse& use : own_->upstreams) {
    const int32_t number = upstreams_->Find(use.upstream);
    if (number >= 0) {
      upstreams_->at(number).reported_running = use.running;
    }
  }
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
    const bool is_over = state.TotalReported() > state.slots;
    state.limit = state.reported_running;
    if (is_over && state.reported_running > state.share) {
      state.limit = state.reported_running - 1;
    }
    if (trust < kLowTrust) {
      state.limit = std::max(state.limit, static_cast<int>(state.share));
    }
  }
}

double SlotPlanner::CountFree(const VersionGroup& group) {
  double free = 0.0;
  for (UpstreamIndex index : group.upstreams) {
    const UpstreamState& state = StateOf(snapshot_->upstream(index));
    if (state.IsOpen(now_) && !state.IsSetAside()) {
      free += std::max(0.0, state.slots - state.TotalRunning());
    }
  }
  return free;
}

void SlotPlanner::GrantFreeSlots(const VersionGroup& group) {
  for (UpstreamIndex index : group.upstreams) {
    const RoutedUpstream& upstream = snapshot_->upstream(index);
    UpstreamState& state = StateOf(upstream);
    double free = state.slots - state.TotalReported();
    for (Tier tier : kAllTiers) {
      while (free >= 1.0 && GrantOne(upstream, tier, &state.limit)) {
        free -= 1.0;
      }
    }
  }
}

void SlotPlanner::Plan(const VersionGroup& group, GroupState* state) {
  routers_.clear();
  ApplyOwnReport(group);
  Divide(group, state);
  MarkScarce(state);
  double trust = 1.0;
  if (state->attempt_seconds > 0.0) {
    trust = std::exp(-ToSeconds(report_interval_) / state->attempt_seconds);
    DiscountPeers(group, trust);
  }
  SetLimits(group, trust);
  state->free_slots = CountFree(group);
  GrantFreeSlots(group);
}

}  // namespace papaya
