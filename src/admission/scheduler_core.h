#ifndef SRC_ADMISSION_SCHEDULER_CORE_H_
#define SRC_ADMISSION_SCHEDULER_CORE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "include/admission/scheduler.h"
#include "include/routing/output_length_estimator.h"
#include "include/routing/prefix_index.h"
#include "src/admission/demand_pacer.h"
#include "src/admission/group_table.h"
#include "src/admission/peer_table.h"
#include "src/admission/request_entry.h"
#include "src/admission/retry_budget.h"
#include "src/admission/sent_demand_tracker.h"
#include "src/admission/upstream_chooser.h"
#include "src/admission/upstream_table.h"

namespace papaya {

// Implementation of Scheduler, with the same public methods.
class SchedulerCore {
 public:
  SchedulerCore(SchedulerOptions options, SchedulerHooks hooks);

  void OnSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot,
                  TimePoint now);
  void SetRetryBudget(const RetryBudgetOptions& options);
  void OnRequest(const RequestSpec& request, TimePoint now);
  void OnFirstToken(RequestId id, TimePoint now);
  void OnTokens(RequestId id, Tokens total, TimePoint now);
  void OnFinished(RequestId id, const AttemptResult& result, TimePoint now);
  void OnCancelled(RequestId id, TimePoint now);
  void OnLoadReport(const UpstreamId& upstream,
                    const LoadReport& report,
                    TimePoint now);
  void OnRetryAfter(const UpstreamId& upstream, Duration delay, TimePoint now);
  void OnCacheEvent(const UpstreamId& upstream, const CacheEvent& event);
  void OnDemandReport(const DemandReport& report, TimePoint now);
  void OnTick(TimePoint now);
  SchedulerCounts counts() const {
    return {queued_, entries_.size() - queued_};
  }

 private:
  // Returns the entry of `id` if it has an attempt in progress, otherwise null.
  RequestEntry* FindRunning(RequestId id);
  Tokens ExpectOutput(const RequestSpec& request) const;
  int32_t AccountNumber(const AccountId& account);

  // Returns the index of the group that `spec` is routed to; -1 if there is
  // none.
  int32_t ChooseGroup(const RequestSpec& spec);

  void Enqueue(RequestEntry* entry, bool at_front);
  void Unqueue(RequestEntry* entry);
  // Ends a request that is neither waiting nor running.
  // `known_delay` is set if the request can't be served before that time has
  // passed.
  void Reject(RequestEntry* entry,
              RejectionReason reason,
              std::optional<Duration> known_delay = std::nullopt);
  // Ends a waiting request.
  void RejectWaiting(RequestEntry* entry, RejectionReason reason);
  void EraseEntry(RequestEntry* entry);
  // Rejects one request after one of `added_tier` overfilled the queues.
  void EvictOne(Tier added_tier);
  // True if it is too late to begin the request.
  bool IsPastDeadline(const RequestEntry& entry, TimePoint now) const;
  void RejectExpired(GroupState* group, TimePoint now);
  // Rejects the requests whose deadlines pass before any upstream of the group
  // accepts work again, because all have asked this router to wait.
  void RejectWhileClosed(GroupState* group, TimePoint now);
  // Moves waiting requests whose group has changed to their new group.
  void Regroup();

  // Dispatches the requests of a group that may start now.
  void Dispatch(int32_t group, TimePoint now);
  void DispatchTiers(GroupState* group, TimePoint now);
  // Returns true if lower tiers have to wait for requests of `queue`.
  bool DispatchQueue(GroupState* group,
                     Tier tier,
                     FairQueue* queue,
                     TimePoint now);
  bool MayDispatch(const GroupState& group, Tier tier) const;
  void Begin(RequestEntry* entry,
             const UpstreamChooser::Choice& choice,
             TimePoint now);
  // Tells the WarmupLimiter of requests sent to the upstream.
  void RecordSent(const UpstreamState& upstream, TimePoint now);
  // Tells the WarmupLimiter if the upstream of a failed attempt may be
  // unreachable.
  void ReportLost(const UpstreamId& upstream,
                  const AttemptResult& result,
                  TimePoint now);
  // Removes the attempt of `entry` from all counts.
  void EndAttempt(RequestEntry* entry);
  // Retries or rejects a request whose attempt ended without an answer.
  void Retry(RequestEntry* entry, const AttemptResult& result, TimePoint now);
  bool SpendRetry(const PoolId& pool);
  RetryBudget& RetryBudgetOf(const PoolId& pool);
  bool MayRetry(const RequestEntry& entry, const AttemptResult& result);

  // Preempts attempts of lower tiers if critical requests would start too late.
  void RelieveShortage(GroupState* group, TimePoint now);
  void UpdateShortTier(GroupState* group, TimePoint now);
  int CountUrgent(const GroupState& group, TimePoint now) const;
  // Returns critical attempts that seem to be queued at their upstreams.
  std::vector<RequestEntry*> FindStuck(int32_t group, TimePoint now);
  // For each such attempt, preempts an attempt of a lower tier of this router
  // at the same upstream. Returns true if there was none for some of them, so
  // that other routers have to preempt.
  bool RelieveStuck(int32_t group, TimePoint now);
  // Preempts attempts at upstreams with more work than slots, for other routers
  // that lack slots for critical requests.
  void RelieveOversubscribed(const GroupState& group, TimePoint now);
  bool IsOwnTurn(const UpstreamId& upstream,
                 uint64_t draw,
                 TimePoint now) const;
  // Preempts up to `count` attempts of lower tiers in the group, those that
  // lose the least work first. If `upstream` is not -1, only attempts there are
  // preempted. This router may use their slots again at once unless
  // `yields_slots`.
  int PreemptLower(int32_t group,
                   int32_t upstream,
                   int count,
                   bool yields_slots,
                   TimePoint now);

  void ApplyPeers(TimePoint now);
  // Recomputes the division of slots if the plan is stale and needed.
  void PlanIfNeeded(GroupState* group, TimePoint now);
  void UpdateStragglers(GroupState* group, TimePoint now);
  // True if `report` has to be sent because the other routers do not know its
  // content or have not received a report lately.
  bool HasChanges(const DemandReport& report, TimePoint now) const;
  SlotShortage FindSlotShortage();
  // True if critical requests lack slots here, lacked them in the last report,
  // or lack them at another router in a group where this router has work too.
  bool HasAnyCriticalShortage();
  void ReportIfDue(TimePoint now);
  // Reports to all routers that share upstreams, if there are changes.
  void SendToAll(TimePoint now);
  // Reports to those routers that must not wait for the next report to all.
  void SendToDue(TimePoint now);
  void Send(DemandReport report, const DemandParts& parts, TimePoint now);
  DemandReport MakeReport();

  SchedulerOptions options_;
  SchedulerHooks hooks_;
  std::shared_ptr<const RoutingSnapshot> snapshot_;
  UpstreamTable upstreams_;
  GroupTable groups_;
  PeerTable peers_;
  OutputLengthEstimator lengths_;
  PrefixIndex prefixes_;
  UpstreamChooser chooser_;
  // One for each pool, so that failures in one pool do not use up the retries
  // of another.
  absl::flat_hash_map<PoolId, RetryBudget> retries_;
  absl::flat_hash_map<AccountId, int32_t> accounts_;
  absl::flat_hash_map<RequestId, std::unique_ptr<RequestEntry>> entries_;
  size_t queued_ = 0;
  bool has_new_peer_reports_ = false;
  bool has_shortage_change_ = false;
  // A shortage of slots for critical requests began or ended since the last
  // report.
  bool has_critical_shortage_change_ = false;
  DemandPacer pacer_;
  SentDemandTracker sent_demand_;
  // Time before which SendToDue is not called again.
  TimePoint next_due_check_;
  TimePoint last_report_;
  // The last report sent to other routers.
  DemandReport own_report_;
};

}  // namespace papaya

#endif  // SRC_ADMISSION_SCHEDULER_CORE_H_
