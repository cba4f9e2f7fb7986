#include "src/admission/slot_planner.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace papaya {

namespace {

// If less than this fraction of the reported work is still running, the limits
// do not fall below this router's share of the slots.
constexpr double kMinRemainingFraction = 0.5;

}  // namespace

void SlotPlanner::CollectDemand(const GroupState& state) {
  const PlannedGroup& group = state.planned;
  routers_.assign(group.routers.size(), Router());
  for (size_t i = 0; i < routers_.size(); ++i) {
    const bool is_self = static_cast<int64_t>(i) == group.self;
    const DemandReport* report =
        is_self ? own_ : peers_->Find(group.routers[i], now_);
    const GroupDemand* demand =
        report != nullptr ? FindGroup(*report, state.name) : nullptr;
    Router& router = routers_[i];
    router.demand.is_known = report != nullptr;
    if (demand != nullptr) {
      router.short_tier = demand->short_tier;
    }
    for (size_t tier = 0; demand != nullptr && tier < kTierCount; ++tier) {
      const TierDemand& known = demand->tiers[tier];
      router.demand.tiers[tier] = known.running + known.waiting;
      router.running[tier] = known.running;
      router.waiting[tier] = known.waiting;
    }
  }
}

void SlotPlanner::Divide(GroupState* state) {
  const PlannedGroup& group = state->planned;
  std::vector<RouterDemand> demands;
  for (const PlannedGroup::Upstream& upstream : group.upstreams) {
    // A router's demand is spread over its upstreams in proportion to their
    // slots. All routers are assumed to use as many slots in total as this one.
    demands.clear();
    for (const PlannedGroup::User& user : upstream.users) {
      demands.push_back(routers_[user.position].demand);
      for (double& tier : demands.back().tiers) {
        tier *= upstream.fraction;
      }
    }
    const std::vector<TierSlots> shares = DivideSlots(upstream.slots, demands);
    for (size_t i = 0; i < shares.size(); ++i) {
      const size_t position = upstream.users[i].position;
      Router& router = routers_[position];
      for (size_t tier = 0; tier < kTierCount; ++tier) {
        router.allotment[tier] += shares[i][tier];
      }
      if (static_cast<int64_t>(position) == group.self) {
        upstreams_->at(upstream.number).share =
            std::accumulate(shares[i].begin(), shares[i].end(), 0.0);
        state->allotment = router.allotment;
      }
    }
  }
}

// A rendezvous hash selects among several routers. Unlike the router with the
// largest deficit, its choice does not change while reports arrive one by one,
// so two routers seldom take the same slot. Routers that lack slots for the
// tier go first; otherwise the hash could pass one over until its requests are
// past their deadlines.
bool SlotPlanner::GrantOne(const PlannedGroup::Upstream& upstream,
                           int64_t self,
                           Tier tier,
                           int* limit) {
  const size_t index = TierIndex(tier);
  const PlannedGroup::User* chosen = nullptr;
  std::pair<bool, uint64_t> chosen_rank;
  for (const PlannedGroup::User& user : upstream.users) {
    const Router& router = routers_[user.position];
    const double lacking = router.allotment[index] - router.running[index];
    if (router.waiting[index] <= 0.0 || lacking <= 0.0) {
      continue;
    }
    const bool is_short =
        router.short_tier.has_value() && *router.short_tier <= tier;
    const std::pair<bool, uint64_t> rank(is_short, user.weight);
    if (chosen == nullptr || rank > chosen_rank) {
      chosen = &user;
      chosen_rank = rank;
    }
  }
  if (chosen == nullptr) {
    return false;
  }
  Router& router = routers_[chosen->position];
  router.running[index] += 1.0;
  router.waiting[index] -= 1.0;
  *limit += static_cast<int64_t>(chosen->position) == self ? 1 : 0;
  return true;
}

// If attempts are short compared with the report interval, most of the work in
// the reports of other routers has ended. These routers are then assumed to
// stay within the share that the division leaves them. `remaining_fraction` is
// the fraction of the reported work that is still running.
void SlotPlanner::DiscountPeers(const PlannedGroup& group,
                                double remaining_fraction) {
  for (const PlannedGroup::Upstream& upstream : group.upstreams) {
    UpstreamState& state = upstreams_->at(upstream.number);
    const double rest = std::max(0.0, state.slots - state.share);
    state.peer_running =
        remaining_fraction * state.peer_running +
        (1.0 - remaining_fraction) * std::min(state.peer_running, rest);
  }
}

// A router keeps the slots that it uses. At an upstream with more work than
// slots, routers above their share give up one slot.
void SlotPlanner::SetLimits(const PlannedGroup& group,
                            double remaining_fraction) {
  for (const PlannedGroup::Upstream& upstream : group.upstreams) {
    UpstreamState& state = upstreams_->at(upstream.number);
    const bool is_over = state.TotalReported() > state.slots;
    state.limit = state.reported_running;
    if (is_over && state.reported_running > state.share) {
      state.limit = state.reported_running - 1;
    }
    if (remaining_fraction < kMinRemainingFraction) {
      state.limit = std::max(state.limit, static_cast<int>(state.share));
    }
  }
}

void SlotPlanner::GrantFreeSlots(const PlannedGroup& group) {
  for (const PlannedGroup::Upstream& upstream : group.upstreams) {
    UpstreamState& state = upstreams_->at(upstream.number);
    double free = state.slots - state.TotalReported();
    for (Tier tier : kAllTiers) {
      while (free >= 1.0 &&
             GrantOne(upstream, group.self, tier, &state.limit)) {
        free -= 1.0;
      }
    }
  }
}

void SlotPlanner::Plan(GroupState* state) {
  const PlannedGroup& group = state->planned;
  CollectDemand(*state);
  Divide(state);
  double remaining_fraction = 1.0;
  if (state->attempt_seconds > 0.0) {
    remaining_fraction =
        std::exp(-ToSeconds(report_interval_) / state->attempt_seconds);
    DiscountPeers(group, remaining_fraction);
  }
  SetLimits(group, remaining_fraction);
  state->free_slots = upstreams_->CountFree(state->upstreams, now_);
  GrantFreeSlots(group);
}

}  // namespace papaya
