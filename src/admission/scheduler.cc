#include "include/admission/scheduler.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "src/admission/scheduler_core.h"

namespace papaya {

Scheduler::Scheduler(SchedulerOptions options, SchedulerHooks hooks)
    : core_(std::make_unique<SchedulerCore>(std::move(options),
                                            std::move(hooks))) {}

Scheduler::~Scheduler() = default;

void Scheduler::OnSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot,
                           TimePoint now) {
  assert(snapshot != nullptr);
  core_->OnSnapshot(std::move(snapshot), now);
}

void Scheduler::SetRetryBudget(const RetryBudgetOptions& options) {
  core_->SetRetryBudget(options);
}

void Scheduler::OnRequest(const RequestSpec& request, TimePoint now) {
  core_->OnRequest(request, now);
}

void Scheduler::OnFirstToken(RequestId id, TimePoint now) {
  core_->OnFirstToken(id, now);
}

void Scheduler::OnTokens(RequestId id, Tokens total, TimePoint now) {
  core_->OnTokens(id, total, now);
}

void Scheduler::OnFinished(RequestId id,
                           const AttemptResult& result,
                           TimePoint now) {
  core_->OnFinished(id, result, now);
}

void Scheduler::OnCancelled(RequestId id, TimePoint now) {
  core_->OnCancelled(id, now);
}

void Scheduler::OnLoadReport(const UpstreamId& upstream,
                             const LoadReport& report,
                             TimePoint now) {
  core_->OnLoadReport(upstream, report, now);
}

void Scheduler::OnRetryAfter(const UpstreamId& upstream,
                             Duration delay,
                             TimePoint now) {
  core_->OnRetryAfter(upstream, std::min(delay, kMaxRequestedDelay), now);
}

void Scheduler::OnCacheEvent(const UpstreamId& upstream,
                             const CacheEvent& event,
                             TimePoint /*now*/) {
  core_->OnCacheEvent(upstream, event);
}

void Scheduler::OnDemandReport(const DemandReport& report, TimePoint now) {
  core_->OnDemandReport(report, now);
}

void Scheduler::OnTick(TimePoint now) {
  core_->OnTick(now);
}

SchedulerCounts Scheduler::counts() const {
  return core_->counts();
}

}  // namespace papaya
