// The part of SchedulerCore that acts together with the other routers, and
// that gives up work of lower tiers.

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "src/admission/scheduler_core.h"
#include "src/admission/slot_planner.h"

namespace papaya {

namespace {

// A request of the highest tier that has waited for this part of its time may
// take the slots of lower tiers.
constexpr double kPressingPart = 0.2;
// Once a request has waited for this part of its time, the router is short of
// slots for its tier.
constexpr double kShortPart = 0.35;
// Reports about a shortage that begins or ends go out at most this often.
constexpr Duration kUrgentReportInterval = std::chrono::milliseconds(50);

// The part of its time that `entry` has waited for.
double WaitedPart(const RequestEntry& entry, TimePoint now) {
  const double limit = ToSeconds(entry.spec.deadline - entry.spec.arrival);
  const double waited = ToSeconds(now - entry.spec.arrival);
  return limit > 0.0 ? waited / limit : 1.0;
}

// Lowest tier first; within it, what has had least done for it.
bool LosesLess(const RequestEntry* a, const RequestEntry* b) {
  const double a_done = a->prefill_tokens * (a->has_first_token ? 1.0 : 0.5) +
                        static_cast<double>(a->tokens_seen.value());
  const double b_done = b->prefill_tokens * (b->has_first_token ? 1.0 : 0.5) +
                        static_cast<double>(b->tokens_seen.value());
  return std::tuple(b->spec.tier, a_done, a->spec.id) <
         std::tuple(a->spec.tier, b_done, b->spec.id);
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
  has_peer_news_ = peers_.Update(report, now) || has_peer_news_;
}

void SchedulerCore::OnLoadReport(const UpstreamId& upstream,
                                 const LoadReport& report,
                                 TimePoint now) {
  const int32_t number = upstreams_.Find(upstream);
  if (number >= 0) {
    upstreams_.OnLoadReport(number, report, now);
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
  has_peer_news_ = false;
  if (snapshot_ == nullptr) {
    return;
  }
  upstreams_.ApplyPeers(*snapshot_, peers_, now);
  groups_.ApplyPeers(peers_, now);
  SlotPlanner planner(snapshot_.get(), &peers_, options_.report_interval, now,
                      &upstreams_);
  for (const VersionGroup& group : snapshot_->groups()) {
    GroupState& state = groups_.at(groups_.Find(group.name));
    planner.Plan(group, &state);
  }
}

void SchedulerCore::OnTick(TimePoint now) {
  peers_.Forget(now);
  ApplyPeers(now);
  for (size_t i = 0; i < groups_.size(); ++i) {
    const int32_t number = static_cast<int32_t>(i);
    GroupState& group = groups_.at(number);
    UpdateStragglers(&group, now);
    Dispatch(number, now);
    UpdateShortTier(&group, now);
    RelieveShortage(&group, now);
  }
  const Duration interval =
      has_short_news_ ? kUrgentReportInterval : options_.report_interval;
  if (now - last_report_ >= interval) {
    SendReport(now);
  }
}

void SchedulerCore::UpdateStragglers(GroupState* group, TimePoint now) {
  for (int32_t number : upstreams_.UpdateStragglers(group->upstreams, now)) {
    const UpstreamState& state = upstreams_.at(number);
    const EventId id = state.straggler.set_aside ? EventId::kStragglerSetAside
                                                 : EventId::kStragglerRecovered;
    hooks_.event({id, {{"upstream", state.id.value()}}});
  }
}

void SchedulerCore::UpdateShortTier(GroupState* group, TimePoint now) {
  std::optional<Tier> short_tier;
  for (Tier tier : kAllTiers) {
    const auto& waiting = group->deadlines[TierIndex(tier)];
    if (!waiting.empty() && WaitedPart(**waiting.begin(), now) >= kShortPart) {
      short_tier = tier;
      break;
    }
  }
  if (short_tier == group->own_short) {
    return;
  }
  group->own_short = short_tier;
  has_short_news_ = true;
}

// Requests of the highest tier that must not wait much longer.
int SchedulerCore::CountPressing(const GroupState& group, TimePoint now) const {
  int count = 0;
  for (const RequestEntry* entry : group.deadlines[0]) {
    if (WaitedPart(*entry, now) < kPressingPart) {
      break;
    }
    ++count;
  }
  return count;
}

int SchedulerCore::FreeSlots(const GroupState& group, TimePoint now) const {
  double free = 0.0;
  for (int32_t number : group.upstreams) {
    const UpstreamState& state = upstreams_.at(number);
    if (state.IsOpen(now) && !state.straggler.set_aside) {
      free += std::max(0.0, state.slots - state.TotalRunning());
    }
  }
  return static_cast<int>(free);
}

void SchedulerCore::RelieveShortage(GroupState* group, TimePoint now) {
  const int32_t number = groups_.Find(group->name);
  const int own = CountPressing(*group, now) - group->preempting;
  if (own > 0) {
    PreemptLower(number, Tier::kCritical, own, now);
    return;
  }
  if (group->peer_short != Tier::kCritical ||
      now - group->gave_up < options_.report_interval * 2) {
    return;
  }
  const int own_lower = LowerThan(group->running, Tier::kCritical);
  const int all_lower =
      own_lower + LowerThan(group->peer_running, Tier::kCritical);
  const int wanted = group->peer_short_waiting - FreeSlots(*group, now);
  if (own_lower == 0 || wanted <= 0) {
    return;
  }
  const double part = static_cast<double>(own_lower) / all_lower;
  group->gave_up = now;
  PreemptLower(number, Tier::kCritical,
               static_cast<int>(std::ceil(wanted * part)), now);
}

void SchedulerCore::PreemptLower(int32_t group,
                                 Tier than,
                                 int count,
                                 TimePoint now) {
  std::vector<RequestEntry*> candidates;
  for (const auto& [id, entry] : entries_) {
    // A slot of an upstream that gets no new work would be of no use.
    if (entry->group == group && entry->spec.tier > than &&
        entry->IsPreemptible() && upstreams_.at(entry->upstream).IsOpen(now)) {
      candidates.push_back(entry.get());
    }
  }
  std::sort(candidates.begin(), candidates.end(), &LosesLess);
  candidates.resize(std::min(candidates.size(), static_cast<size_t>(count)));
  for (RequestEntry* entry : candidates) {
    entry->is_preempting = true;
    ++groups_.at(group).preempting;
    hooks_.preempt(entry->spec.id);
  }
}

DemandReport SchedulerCore::MakeReport() {
  DemandReport report;
  report.router = options_.router;
  report.incarnation = options_.incarnation;
  report.sequence = ++report_sequence_;
  for (size_t i = 0; i < groups_.size(); ++i) {
    const GroupState& group = groups_.at(static_cast<int32_t>(i));
    if (group.IsIdle()) {
      continue;
    }
    GroupDemand demand;
    demand.group = group.name;
    demand.short_tier = group.own_short;
    for (size_t tier = 0; tier < kTierCount; ++tier) {
      demand.tiers[tier] = {group.running[tier],
                            static_cast<int32_t>(group.queues[tier].size())};
    }
    report.groups.push_back(std::move(demand));
  }
  for (size_t i = 0; i < upstreams_.size(); ++i) {
    const UpstreamState& state = upstreams_.at(static_cast<int32_t>(i));
    if (state.running == 0 && !state.straggler.set_aside && !state.is_leaving) {
      continue;
    }
    report.upstreams.push_back({state.id, state.running,
                                Tokens(static_cast<int64_t>(state.prefill)),
                                state.straggler.set_aside, state.is_leaving});
  }
  return report;
}

void SchedulerCore::SendReport(TimePoint now) {
  last_report_ = now;
  has_short_news_ = false;
  hooks_.send_demand(MakeReport());
}

}  // namespace papaya
