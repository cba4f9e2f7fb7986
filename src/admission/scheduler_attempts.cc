// The part of SchedulerCore that tracks attempts until they end and decides on
// retries.

#include <algorithm>
#include <optional>
#include <utility>

#include "include/admission/warmup_limiter.h"
#include "src/admission/region_limits.h"
#include "src/admission/scheduler_core.h"

namespace papaya {

namespace {

// A request is not retried after this many attempts if the last one failed.
// Preempted attempts and attempts refused by a leaving upstream are always
// retried.
constexpr int kMaxAttempts = 4;
// Weight of a new duration in the mean duration of attempts.
constexpr double kAttemptSmoothing = 0.05;

}  // namespace

RequestEntry* SchedulerCore::FindRunning(RequestId id) {
  auto found = entries_.find(id);
  if (found == entries_.end() || !found->second->is_running) {
    return nullptr;
  }
  return found->second.get();
}

void SchedulerCore::OnFirstToken(RequestId id, TimePoint now) {
  RequestEntry* entry = FindRunning(id);
  if (entry != nullptr) {
    upstreams_.OnFirstToken(entry, now);
  }
}

void SchedulerCore::OnTokens(RequestId id, Tokens total, TimePoint now) {
  RequestEntry* entry = FindRunning(id);
  if (entry != nullptr) {
    upstreams_.OnTokens(entry, total, now);
  }
}

void SchedulerCore::EndAttempt(RequestEntry* entry) {
  GroupState& group = groups_.at(entry->group);
  upstreams_.End(*entry);
  if (entry->yields_slot) {
    ++upstreams_.at(entry->upstream).yielded_slots;
  }
  --group.running[TierIndex(entry->spec.tier)];
  group.preempting -= entry->is_preempting ? 1 : 0;
  entry->is_running = false;
  entry->is_preempting = false;
}

void SchedulerCore::OnFinished(RequestId id,
                               const AttemptResult& result,
                               TimePoint now) {
  RequestEntry* entry = FindRunning(id);
  if (entry == nullptr) {
    return;
  }
  const int32_t group = entry->group;
  EndAttempt(entry);
  FairQueue& queue = groups_.at(group).QueueOf(*entry);
  if (result.end != AttemptEnd::kOk) {
    queue.Charge(entry->account, entry->account_weight, -entry->cost);
    Retry(entry, result, now);
    Dispatch(group, now);
    return;
  }
  upstreams_.OnAttemptEnd(entry->upstream, /*failed=*/false, now);
  double& mean = groups_.at(group).attempt_seconds;
  const double seconds = ToSeconds(now - entry->dispatched);
  mean += (seconds - mean) * (mean > 0.0 ? kAttemptSmoothing : 1.0);
  if (entry->spec.prompt_tokens.value() > 0) {
    if (options_.parts.output_length) {
      lengths_.Record(entry->spec.account, entry->spec.route,
                      result.output_tokens);
    }
  } else {
    upstreams_.OnServiceAnswer(*entry, now);
  }
  queue.Charge(entry->account, entry->account_weight,
               entry->CostOf(result.output_tokens) - entry->cost);
  EraseEntry(entry);
  Dispatch(group, now);
}

bool SchedulerCore::SpendRetry(const PoolId& pool) {
  return !options_.parts.retry_budget || RetryBudgetOf(pool).Spend();
}

RetryBudget& SchedulerCore::RetryBudgetOf(const PoolId& pool) {
  return retries_.try_emplace(pool, options_.retries).first->second;
}

void SchedulerCore::SetRetryBudget(const RetryBudgetOptions& options) {
  options_.retries = options;
  for (auto& [pool, budget] : retries_) {
    budget.SetOptions(options);
  }
}

bool SchedulerCore::MayRetry(const RequestEntry& entry,
                             const AttemptResult& result) {
  switch (result.end) {
    case AttemptEnd::kOk:
      return false;
    case AttemptEnd::kPreempted:
    case AttemptEnd::kLeaving:
      // Not limited: the router itself preempted the attempt, or the upstream
      // is leaving, which happens once for each upstream.
      return true;
    case AttemptEnd::kUnreachable:
      // No upstream received the request, so the retry budget is not charged.
      return entry.attempts < kMaxAttempts;
    case AttemptEnd::kNotRun:
      return entry.attempts < kMaxAttempts && SpendRetry(entry.spec.pool);
    case AttemptEnd::kUnknown:
      return result.may_repeat && entry.spec.idempotent &&
             entry.runs < entry.spec.max_runs &&
             entry.attempts < kMaxAttempts && SpendRetry(entry.spec.pool);
  }
  return false;
}

void SchedulerCore::Retry(RequestEntry* entry,
                          const AttemptResult& result,
                          TimePoint now) {
  const AttemptEnd end = result.end;
  if (end == AttemptEnd::kLeaving) {
    upstreams_.MarkLeaving(entry->upstream, now);
  }
  const bool failed = end == AttemptEnd::kNotRun ||
                      end == AttemptEnd::kUnknown ||
                      end == AttemptEnd::kUnreachable;
  if (failed) {
    upstreams_.OnAttemptEnd(entry->upstream, /*failed=*/true, now);
  }
  if (failed && options_.warmup != nullptr) {
    ReportLost(upstreams_.at(entry->upstream).id, result, now);
  }
  if (end == AttemptEnd::kUnknown || end == AttemptEnd::kPreempted) {
    entry->may_have_run = true;
    ++entry->runs;
  }
  if (end == AttemptEnd::kPreempted || entry->has_first_token) {
    // The attempt began in time and the caller is waiting for the rest.
    entry->spec.deadline =
        std::max(entry->spec.deadline,
                 now + (entry->spec.deadline - entry->spec.arrival));
  }
  if (!MayRetry(*entry, result)) {
    const std::optional<TimePoint> opens =
        upstreams_.AllClosedUntil(groups_.at(entry->group).upstreams, now);
    Reject(entry, RejectionReason::kAttemptsFailed,
           opens.has_value() ? std::optional<Duration>(*opens - now)
                             : std::nullopt);
    return;
  }
  if (IsPastDeadline(*entry, now)) {
    Reject(entry, RejectionReason::kDeadline);
    return;
  }
  entry->group = ChooseGroup(entry->spec);
  if (entry->group < 0) {
    Reject(entry, NoUpstreamReason(snapshot_.get(), entry->spec));
    return;
  }
  Enqueue(entry, /*at_front=*/true);
  if (queued_ > options_.max_queued) {
    EvictOne(entry->spec.tier);
  }
}

void SchedulerCore::ReportLost(const UpstreamId& upstream,
                               const AttemptResult& result,
                               TimePoint now) {
  if (result.end == AttemptEnd::kUnreachable) {
    options_.warmup->OnUnreachable(upstream, now);
  } else if (result.end == AttemptEnd::kUnknown && !result.has_answered) {
    options_.warmup->OnSilent(upstream, now);
  }
}

void SchedulerCore::OnCancelled(RequestId id, TimePoint now) {
  auto found = entries_.find(id);
  if (found == entries_.end()) {
    return;
  }
  RequestEntry* entry = found->second.get();
  const int32_t group = entry->group;
  if (entry->is_running) {
    EndAttempt(entry);
  } else {
    Unqueue(entry);
  }
  EraseEntry(entry);
  Dispatch(group, now);
}

}  // namespace papaya
