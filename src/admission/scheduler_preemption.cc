// The part of SchedulerCore that coordinates with the other routers and
// preempts attempts of lower tiers.

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>
#include <utility>
#include <vector>

#include "include/admission/upstream_limiter.h"
#include "include/admission/warmup_limiter.h"
#include "include/base/stable_hash.h"
#include "src/admission/scheduler_core.h"
#include "src/admission/slot_planner.h"

namespace papaya {

namespace {

// A critical request may take the slots of lower tiers once this fraction of
// the time from its arrival to its deadline has passed.
constexpr double kUrgentFraction = 0.35;
// The router lacks slots for a tier once one of its requests has waited for
// this fraction of the time from its arrival to its deadline.
constexpr double kShortageFraction = 0.5;
// A critical attempt counts as queued at its upstream if its first token is
// this late.
constexpr double kStuckSeconds = 0.3;

// Returns the fraction of the time from arrival to deadline that has passed.
double ElapsedFraction(const RequestEntry& entry, TimePoint now) {
  const double limit = ToSeconds(entry.spec.deadline - entry.spec.arrival);
  const double waited = ToSeconds(now - entry.spec.arrival);
  return limit > 0.0 ? waited / limit : 1.0;
}

// Orders attempts for preemption: fewest attempts first, then least work done,
// then the lower tier.
bool IsCheaperToPreempt(const RequestEntry* a, const RequestEntry* b) {
  const double a_done = a->prefill_tokens * (a->has_first_token ? 1.0 : 0.5) +
                        static_cast<double>(a->tokens_seen.value());
  const double b_done = b->prefill_tokens * (b->has_first_token ? 1.0 : 0.5) +
                        static_cast<double>(b->tokens_seen.value());
  return std::tuple(a->attempts, a_done, b->spec.tier, a->spec.id) <
         std::tuple(b->attempts, b_done, a->spec.tier, b->spec.id);
}

bool IsShortOfCritical(const DemandReport& report, const PoolVersion& group) {
  const GroupDemand* demand = FindGroup(report, group);
  return demand != nullptr && demand->short_tier == Tier::kCritical;
}

int LowerThan(const std::array<int, kTierCount>& counts, Tier tier) {
  int sum = 0;
  for (size_t i = TierIndex(tier) + 1; i < kTierCount; ++i) {
    sum += counts[i];
  }
  return sum;
}

}  // namespace

void SchedulerCore::OnDemandReport(const DemandReport& report, TimePoint now) {
  if (report.router == options_.router) {
    return;
  }
  if (!peers_.Update(report, now)) {
    return;
  }
  has_new_peer_reports_ = true;
  // A leaving upstream is marked at once; the rest is applied before the next
  // decision.
  for (const UpstreamUse& use : report.upstreams) {
    const int32_t number = use.leaving ? upstreams_.Find(use.upstream) : -1;
    if (number < 0) {
      continue;
    }
    const UpstreamState& state = upstreams_.at(number);
    if (!state.is_leaving && now >= state.peer_leaving_until) {
      hooks_.event(
          {EventId::kUpstreamDraining,
           {{"upstream", use.upstream.value()}, {"source", "router"}}});
    }
    upstreams_.MarkLeavingByPeer(number, now);
  }
}

void SchedulerCore::OnLoadReport(const UpstreamId& upstream,
                                 const LoadReport& report,
                                 TimePoint now) {
  const int32_t number = upstreams_.Find(upstream);
  if (number >= 0) {
    upstreams_.OnLoadReport(number, report, now);
  }
}

void SchedulerCore::OnRetryAfter(const UpstreamId& upstream,
                                 Duration delay,
                                 TimePoint now) {
  const int32_t number = upstreams_.Find(upstream);
  if (number >= 0) {
    upstreams_.CloseUntil(number, now + delay);
  }
}

void SchedulerCore::OnCacheEvent(const UpstreamId& upstream,
                                 const CacheEvent& event) {
  const int32_t number = upstreams_.Find(upstream);
  if (number >= 0) {
    prefixes_.Add(event.stored, number);
    prefixes_.Remove(event.evicted, number);
  }
}

void SchedulerCore::ApplyPeers(TimePoint now) {
  has_new_peer_reports_ = false;
  if (snapshot_ == nullptr) {
    return;
  }
  upstreams_.ApplyPeers(peers_, now);
  groups_.ApplyPeers(peers_, now);
}

void SchedulerCore::PlanIfNeeded(GroupState* group, TimePoint now) {
  if (!group->is_plan_stale || !group->NeedsPlan()) {
    return;
  }
  group->is_plan_stale = false;
  const bool is_divided =
      options_.parts.slot_division &&
      (options_.divides_scarce_slots || !group->planned.is_scarce);
  if (!is_divided) {
    group->free_slots = std::numeric_limits<double>::infinity();
    return;
  }
  SlotPlanner(&peers_, &own_report_, pacer_.interval(), now, &upstreams_)
      .Plan(group);
}

void SchedulerCore::OnTick(TimePoint now) {
  peers_.RemoveExpired(now);
  upstreams_.OnTick(now);
  if (options_.warmup != nullptr) {
    options_.warmup->OnTick(now);
  }
  if (options_.limiter != nullptr) {
    options_.limiter->OnTick(now);
  }
  ApplyPeers(now);
  for (size_t i = 0; i < groups_.size(); ++i) {
    const int32_t number = static_cast<int32_t>(i);
    GroupState& group = groups_.at(number);
    UpdateStragglers(&group, now);
    Dispatch(number, now);
    UpdateShortTier(&group, now);
    RelieveShortage(&group, now);
  }
  ReportIfDue(now);
}

void SchedulerCore::UpdateStragglers(GroupState* group, TimePoint now) {
  if (!options_.parts.straggler_detection) {
    return;
  }
  for (int32_t number : upstreams_.UpdateStragglers(group->upstreams, now)) {
    const UpstreamState& state = upstreams_.at(number);
    const EventId id = state.straggler.ejected ? EventId::kStragglerSetAside
                                               : EventId::kStragglerRecovered;
    hooks_.event({id, {{"upstream", state.id.value()}}});
  }
}

void SchedulerCore::UpdateShortTier(GroupState* group, TimePoint now) {
  std::optional<Tier> short_tier;
  for (Tier tier : kAllTiers) {
    const auto& waiting = group->deadlines[TierIndex(tier)];
    if (!waiting.empty() &&
        ElapsedFraction(**waiting.begin(), now) >= kShortageFraction) {
      short_tier = tier;
      break;
    }
  }
  const int32_t number = groups_.Find(group->name);
  // A withdrawn version keeps its unused entry, but has no index.
  if (number >= 0 && RelieveStuck(number, now)) {
    short_tier = Tier::kCritical;
  }
  if (short_tier == group->own_short) {
    return;
  }
  has_critical_shortage_change_ = has_critical_shortage_change_ ||
                                  short_tier == Tier::kCritical ||
                                  group->own_short == Tier::kCritical;
  group->own_short = short_tier;
  has_shortage_change_ = true;
}

// Returns the number of waiting critical requests that must start soon.
int SchedulerCore::CountUrgent(const GroupState& group, TimePoint now) const {
  int count = 0;
  for (const RequestEntry* entry : group.deadlines[0]) {
    if (ElapsedFraction(*entry, now) < kUrgentFraction) {
      break;
    }
    ++count;
  }
  return count;
}

void SchedulerCore::RelieveShortage(GroupState* group, TimePoint now) {
  const int32_t number = groups_.Find(group->name);
  if (number < 0) {
    return;
  }
  const int own = CountUrgent(*group, now) - group->preempting;
  if (own > 0) {
    PreemptLower(number, -1, own, /*yields_slots=*/false, now);
    return;
  }
  if (group->peer_short != Tier::kCritical ||
      now - group->last_peer_preemption < options_.report_interval * 2) {
    return;
  }
  RelieveOversubscribed(*group, now);
  const int own_lower = LowerThan(group->running, Tier::kCritical);
  const int all_lower =
      own_lower + LowerThan(group->peer_running, Tier::kCritical);
  const int free =
      static_cast<int>(upstreams_.CountFree(group->upstreams, now));
  const int wanted = group->peer_short_waiting - free;
  if (own_lower == 0 || wanted <= 0) {
    return;
  }
  const double fraction = static_cast<double>(own_lower) / all_lower;
  group->last_peer_preemption = now;
  PreemptLower(number, -1, static_cast<int>(std::ceil(wanted * fraction)),
               /*yields_slots=*/true, now);
}

std::vector<RequestEntry*> SchedulerCore::FindStuck(int32_t group,
                                                    TimePoint now) {
  std::vector<RequestEntry*> stuck;
  if (groups_.at(group).running[TierIndex(Tier::kCritical)] == 0) {
    return stuck;
  }
  for (const auto& [id, entry] : entries_) {
    if (entry->group != group || !entry->is_running ||
        entry->spec.tier != Tier::kCritical || entry->has_first_token ||
        entry->spec.prompt_tokens.value() == 0) {
      continue;
    }
    const UpstreamState& state = upstreams_.at(entry->upstream);
    // If the upstream has more work than slots, the attempt waits for a slot,
    // so no time is allowed for prefill.
    const double expected =
        state.TotalRunning() > state.slots
            ? 0.0
            : (entry->prefill_tokens + entry->prefill_ahead) *
                  upstreams_.PrefillSeconds(state);
    if (ElapsedFraction(*entry, now) >= kUrgentFraction &&
        ToSeconds(now - entry->stuck_since) > kStuckSeconds + expected) {
      stuck.push_back(entry.get());
    }
  }
  // The order of the hash table differs between runs.
  std::sort(stuck.begin(), stuck.end(),
            [](const RequestEntry* a, const RequestEntry* b) {
              return a->spec.id < b->spec.id;
            });
  return stuck;
}

bool SchedulerCore::RelieveStuck(int32_t group, TimePoint now) {
  bool needs_others = false;
  for (RequestEntry* entry : FindStuck(group, now)) {
    // The upstream may give the slot to a request that it queued earlier; then
    // another attempt is preempted later.
    if (PreemptLower(group, entry->upstream, 1, /*yields_slots=*/true, now) >
        0) {
      entry->stuck_since = now;
    } else {
      needs_others = true;
    }
  }
  return needs_others;
}

// One router at a time preempts an attempt. The choice changes with each report
// of the router that lacks slots.
void SchedulerCore::RelieveOversubscribed(const GroupState& group,
                                          TimePoint now) {
  const int32_t number = groups_.Find(group.name);
  peers_.ForEach(now, [this, &group, number, now](const DemandReport& report) {
    if (!IsShortOfCritical(report, group.name)) {
      return;
    }
    for (const UpstreamUse& use : report.upstreams) {
      const int32_t upstream = upstreams_.Find(use.upstream);
      if (use.pending_prefill.value() > 0 && upstream >= 0 &&
          upstreams_.at(upstream).TotalReported() >
              upstreams_.at(upstream).slots &&
          IsOwnTurn(use.upstream, report.sequence, now) &&
          PreemptLower(number, upstream, 1, /*yields_slots=*/true, now) > 0) {
        groups_.at(number).last_peer_preemption = now;
      }
    }
  });
}

// True if `draw` selects this router among those with work at `upstream`.
bool SchedulerCore::IsOwnTurn(const UpstreamId& upstream,
                              uint64_t draw,
                              TimePoint now) const {
  const auto weight = [draw](const RouterId& router) {
    return StableHash(router.value(), draw);
  };
  const uint64_t own = weight(options_.router);
  bool is_first = true;
  peers_.ForEach(now, [&](const DemandReport& report) {
    for (const UpstreamUse& use : report.upstreams) {
      if (use.upstream == upstream && use.running > 0 &&
          weight(report.router) > own) {
        is_first = false;
      }
    }
  });
  return is_first;
}

int SchedulerCore::PreemptLower(int32_t group,
                                int32_t upstream,
                                int count,
                                bool yields_slots,
                                TimePoint now) {
  if (!options_.parts.preemption) {
    return 0;
  }
  std::vector<RequestEntry*> candidates;
  for (const auto& [id, entry] : entries_) {
    // Slots of upstreams that accept no new work would be of no use.
    if (entry->group == group && entry->spec.tier > Tier::kCritical &&
        entry->IsPreemptible() &&
        (upstream < 0 || entry->upstream == upstream) &&
        upstreams_.at(entry->upstream).IsOpen(now)) {
      candidates.push_back(entry.get());
    }
  }
  std::sort(candidates.begin(), candidates.end(), &IsCheaperToPreempt);
  candidates.resize(std::min(candidates.size(), static_cast<size_t>(count)));
  for (RequestEntry* entry : candidates) {
    entry->is_preempting = true;
    entry->yields_slot = yields_slots;
    ++groups_.at(group).preempting;
    hooks_.preempt(entry->spec.id);
  }
  return static_cast<int>(candidates.size());
}

}  // namespace papaya
