#include "src/admission/scheduler_core.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "include/admission/upstream_limiter.h"
#include "include/admission/warmup_limiter.h"
#include "src/admission/region_limits.h"

namespace papaya {

namespace {

// Capacity of the prefix index.
constexpr size_t kMaxPrefixes = 65536;
// Retry delay sent to callers with a rejection.
constexpr Duration kRetryAfter = std::chrono::seconds(1);

}  // namespace

SchedulerCore::SchedulerCore(SchedulerOptions options, SchedulerHooks hooks)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      upstreams_(options_.parts),
      peers_(options_.report_lifetime),
      prefixes_(kMaxPrefixes),
      chooser_(options_.parts, options_.placement, &upstreams_, &prefixes_),
      pacer_(options_.report_interval, options_.report_budget) {}

void SchedulerCore::OnSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot,
                               TimePoint now) {
  snapshot_ = std::move(snapshot);
  upstreams_.Apply(*snapshot_, now);
  if (options_.warmup != nullptr) {
    options_.warmup->SetUpstreams(*snapshot_, now);
    upstreams_.SetGates(*options_.warmup);
  }
  if (options_.limiter != nullptr) {
    options_.limiter->SetUpstreams(*snapshot_, now);
    upstreams_.SetLimits(*options_.limiter);
  }
  groups_.Apply(*snapshot_, upstreams_);
  Regroup();
  ApplyPeers(now);
  for (size_t i = 0; i < groups_.size(); ++i) {
    Dispatch(static_cast<int32_t>(i), now);
  }
}

void SchedulerCore::Regroup() {
  std::vector<RequestEntry*> waiting;
  for (const auto& [id, entry] : entries_) {
    if (!entry->is_running) {
      waiting.push_back(entry.get());
    }
  }
  // In order of arrival, so that the result does not depend on the hash table.
  std::sort(waiting.begin(), waiting.end(),
            [](const RequestEntry* a, const RequestEntry* b) {
              return a->spec.id < b->spec.id;
            });
  for (RequestEntry* entry : waiting) {
    const int32_t group = ChooseGroup(entry->spec);
    if (group == entry->group) {
      continue;
    }
    if (group < 0) {
      RejectWaiting(entry, NoUpstreamReason(snapshot_.get(), entry->spec));
      continue;
    }
    Unqueue(entry);
    entry->group = group;
    Enqueue(entry, /*at_front=*/false);
  }
}

int32_t SchedulerCore::ChooseGroup(const RequestSpec& spec) {
  if (snapshot_ == nullptr) {
    return -1;
  }
  const std::optional<GroupIndex> group = ChooseAllowedGroup(*snapshot_, spec);
  return group.has_value() ? groups_.Find(snapshot_->group(*group).name) : -1;
}

int32_t SchedulerCore::AccountNumber(const AccountId& account) {
  if (!options_.parts.fair_sharing) {
    return 0;
  }
  const int32_t next = static_cast<int32_t>(accounts_.size());
  return accounts_.try_emplace(account, next).first->second;
}

Tokens SchedulerCore::ExpectOutput(const RequestSpec& request) const {
  if (request.prompt_tokens.value() == 0) {
    return Tokens();
  }
  return request.expected_output.has_value()
             ? *request.expected_output
             : lengths_.Estimate(request.account, request.route,
                                 request.max_output_tokens);
}

void SchedulerCore::OnRequest(const RequestSpec& request, TimePoint now) {
  auto owned = std::make_unique<RequestEntry>();
  RequestEntry* entry = owned.get();
  entry->spec = request;
  entries_[request.id] = std::move(owned);
  entry->group = ChooseGroup(request);
  if (entry->group < 0) {
    Reject(entry, NoUpstreamReason(snapshot_.get(), request));
    return;
  }
  if (IsPastDeadline(*entry, now)) {
    Reject(entry, RejectionReason::kDeadline);
    return;
  }
  entry->is_late = request.late_after <= now;
  entry->account = AccountNumber(request.account);
  auto weight = options_.account_weights.find(request.account);
  if (weight != options_.account_weights.end()) {
    entry->account_weight = std::max(weight->second, 1);
  }
  entry->expected_output = ExpectOutput(request);
  entry->cost = entry->CostOf(entry->expected_output);
  groups_.at(entry->group).CountCost(entry->cost);
  Enqueue(entry, /*at_front=*/false);
  const int32_t group = entry->group;
  if (has_new_peer_reports_) {
    ApplyPeers(now);
  }
  Dispatch(group, now);
  if (queued_ > options_.max_queued) {
    EvictOne(request.tier);
  }
}

void SchedulerCore::Enqueue(RequestEntry* entry, bool at_front) {
  groups_.at(entry->group).Enqueue(entry, at_front);
  ++queued_;
}

void SchedulerCore::Unqueue(RequestEntry* entry) {
  groups_.at(entry->group).Remove(entry);
  --queued_;
}

void SchedulerCore::EraseEntry(RequestEntry* entry) {
  const RequestId id = entry->spec.id;
  entries_.erase(id);
}

void SchedulerCore::Reject(RequestEntry* entry,
                           RejectionReason reason,
                           std::optional<Duration> known_delay) {
  const RequestId id = entry->spec.id;
  Rejection rejection;
  rejection.reason = reason;
  rejection.outcome =
      entry->may_have_run ? Outcome::kUnknown : Outcome::kNotRun;
  rejection.retry_after = known_delay.value_or(kRetryAfter);
  rejection.is_delay_known = known_delay.has_value();
  EraseEntry(entry);
  hooks_.reject(id, rejection);
}

void SchedulerCore::RejectWaiting(RequestEntry* entry, RejectionReason reason) {
  Unqueue(entry);
  Reject(entry, reason);
}

void SchedulerCore::EvictOne(Tier added_tier) {
  for (size_t tier = kTierCount; tier-- > 0;) {
    GroupState* longest = nullptr;
    for (size_t i = 0; i < groups_.size(); ++i) {
      GroupState& group = groups_.at(static_cast<int32_t>(i));
      const size_t size = group.WaitingOf(tier);
      if (size > 0 && (longest == nullptr || size > longest->WaitingOf(tier))) {
        longest = &group;
      }
    }
    if (longest == nullptr) {
      continue;
    }
    const bool is_lower = tier > TierIndex(added_tier);
    FairQueue& late = longest->late_queues[tier];
    RejectWaiting(
        late.size() > 0 ? late.ShedCandidate()
                        : longest->queues[tier].ShedCandidate(),
        is_lower ? RejectionReason::kShed : RejectionReason::kQueueFull);
    return;
  }
}

bool SchedulerCore::IsPastDeadline(const RequestEntry& entry,
                                   TimePoint now) const {
  return options_.parts.deadlines && entry.spec.deadline <= now;
}

void SchedulerCore::RejectExpired(GroupState* group, TimePoint now) {
  for (auto& deadlines : group->deadlines) {
    while (!deadlines.empty() && IsPastDeadline(**deadlines.begin(), now)) {
      RejectWaiting(*deadlines.begin(), RejectionReason::kDeadline);
    }
  }
}

void SchedulerCore::RejectWhileClosed(GroupState* group, TimePoint now) {
  if (group->Waiting() == 0) {
    return;
  }
  const std::optional<TimePoint> opens =
      upstreams_.AllClosedUntil(group->upstreams, now);
  if (!opens.has_value()) {
    return;
  }
  for (auto& deadlines : group->deadlines) {
    while (!deadlines.empty() && (*deadlines.begin())->spec.deadline < *opens) {
      RequestEntry* entry = *deadlines.begin();
      Unqueue(entry);
      Reject(entry, RejectionReason::kUpstreamsClosed, *opens - now);
    }
  }
}

void SchedulerCore::Dispatch(int32_t number, TimePoint now) {
  GroupState& group = groups_.at(number);
  RejectExpired(&group, now);
  RejectWhileClosed(&group, now);
  PlanIfNeeded(&group, now);
  // Before the reports are applied, so that own slots that have just become
  // free are used first: by the reports of other routers these slots may appear
  // free to any router.
  DispatchTiers(&group, now);
  if (has_new_peer_reports_) {
    ApplyPeers(now);
    PlanIfNeeded(&group, now);
    DispatchTiers(&group, now);
  }
}

void SchedulerCore::DispatchTiers(GroupState* group, TimePoint now) {
  group->RequeueLate(now);
  for (auto* queues : {&group->queues, &group->late_queues}) {
    for (Tier tier : kAllTiers) {
      FairQueue& queue = (*queues)[TierIndex(tier)];
      if (queue.size() > 0 && DispatchQueue(group, tier, &queue, now)) {
        return;
      }
    }
  }
}

bool SchedulerCore::MayDispatch(const GroupState& group, Tier tier) const {
  if (!group.is_usable) {
    return false;
  }
  if (tier == Tier::kCritical) {
    return true;
  }
  // For other short tiers the division of slots is enough, and it leaves no
  // slot idle.
  if (group.peer_short == Tier::kCritical) {
    return false;
  }
  const size_t index = TierIndex(tier);
  return !group.IsContended() || group.running[index] < group.allotment[index];
}

bool SchedulerCore::DispatchQueue(GroupState* group,
                                  Tier tier,
                                  FairQueue* queue,
                                  TimePoint now) {
  SetAsideRequests set_aside;
  bool is_blocked = false;
  while (queue->size() > 0 && !is_blocked) {
    RequestEntry* entry = queue->Front();
    UpstreamChooser::Choice choice;
    if (!MayDispatch(*group, tier)) {
      is_blocked = true;
      break;
    }
    if (!set_aside.IsFull(*entry)) {
      choice = chooser_.Choose(*entry, *group, now);
    }
    if (choice.upstream < 0) {
      is_blocked = !set_aside.Take(entry, group);
      continue;
    }
    group->Pop(queue);
    --queued_;
    Begin(entry, choice, now);
  }
  set_aside.PutBack(group);
  return is_blocked;
}

void SchedulerCore::Begin(RequestEntry* entry,
                          const UpstreamChooser::Choice& choice,
                          TimePoint now) {
  entry->is_running = true;
  entry->is_preempting = false;
  entry->yields_slot = false;
  entry->stuck_since = now;
  entry->upstream = choice.upstream;
  entry->prefill_tokens = choice.prefill_tokens;
  if (entry->attempts == 0) {
    RetryBudgetOf(entry->spec.pool).OnFirstAttempt();
  }
  ++entry->attempts;
  upstreams_.Begin(entry, now);
  UpstreamState& upstream = upstreams_.at(choice.upstream);
  if (choice.is_probe) {
    upstream.last_probe = now;
  }
  RecordSent(upstream, now);
  prefixes_.Add(entry->spec.prefix_hashes, choice.upstream);
  ++groups_.at(entry->group).running[TierIndex(entry->spec.tier)];
  hooks_.dispatch(entry->spec.id, upstream.id);
}

void SchedulerCore::RecordSent(const UpstreamState& upstream, TimePoint now) {
  if (options_.warmup != nullptr && upstream.gate->IsCold(now)) {
    options_.warmup->OnSent(upstream.id, now);
  }
  upstream.gate->last_sent = now;
  if (options_.limiter != nullptr) {
    options_.limiter->OnSent(upstream.id, now);
  }
}

}  // namespace papaya
