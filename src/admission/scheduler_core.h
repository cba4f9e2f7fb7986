#ifndef SRC_ADMISSION_SCHEDULER_CORE_H_
#define SRC_ADMISSION_SCHEDULER_CORE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "include/admission/scheduler.h"
#include "include/routing/output_length.h"
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

// What stands behind Scheduler; its methods are those of that class.
class SchedulerCore {
 public:
  SchedulerCore(SchedulerOptions options, SchedulerHooks hooks);

  void OnSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot,
                  TimePoint now);
  void OnRequest(const RequestSpec& request, TimePoint now);
  void OnFirstToken(RequestId id, TimePoint now);
  void OnTokens(RequestId id, Tokens total, TimePoint now);
  void OnFinished(RequestId id, const AttemptResult& result, TimePoint now);
  void OnCancelled(RequestId id, TimePoint now);
  void OnLoadReport(const UpstreamId& upstream,
                    const LoadReport& report,
                    TimePoint now);
  void OnCacheEvent(const UpstreamId& upstream, const CacheEvent& event);
  void OnDemandReport(const DemandReport& report, TimePoint now);
  void OnTick(TimePoint now);
  SchedulerCounts counts() const {
    return {queued_, entries_.size() - queued_};
  }

 private:
  // The entry of an attempt under way; null if there is none.
  RequestEntry* FindRunning(RequestId id);
  Tokens ExpectOutput(const RequestSpec& request) const;
  int32_t AccountNumber(const AccountId& account);

  // The number of the group that `spec` goes to; -1 if it has none.
  int32_t ChooseGroup(const RequestSpec& spec);

  void Enqueue(RequestEntry* entry, bool at_front);
  void Unqueue(RequestEntry* entry);
  // Ends a request that neither waits nor runs.
  void Reject(RequestEntry* entry, RejectionReason reason);
  // Ends a request that waits.
  void RejectWaiting(RequestEntry* entry, RejectionReason reason);
  void EraseEntry(RequestEntry* entry);
  // Makes room in the queues, after `newcomer` was put in.
  void EvictOne(Tier added_tier);
  // True if it is too late to begin.
  bool IsPastDeadline(const RequestEntry& entry, TimePoint now) const;
  void RejectExpired(GroupState* group, TimePoint now);
  // Puts waiting requests whose group has changed into their new one.
  void Regroup();

  // Dispatches from the queues of a group what may be dispatched now.
  void Dispatch(int32_t group, TimePoint now);
  void DispatchTiers(GroupState* group, TimePoint now);
  void DispatchQueue(GroupState* group,
                     Tier tier,
                     FairQueue* queue,
                     TimePoint now);
  bool MayDispatch(const GroupState& group, Tier tier) const;
  void Begin(RequestEntry* entry,
             const UpstreamChooser::Choice& choice,
             TimePoint now);
  // Takes the attempt of `entry` off all counts.
  void EndAttempt(RequestEntry* entry);
  // Decides what follows an attempt that did not answer.
  void Retry(RequestEntry* entry, AttemptEnd end, TimePoint now);
  bool SpendRetry(const PoolId& pool);
  RetryBudget& RetryBudgetOf(const PoolId& pool);
  bool MayRetry(const RequestEntry& entry, AttemptEnd end);

  // Gives up streams of lower tiers where the highest one would come late.
  void RelieveShortage(GroupState* group, TimePoint now);
  void UpdateShortTier(GroupState* group, TimePoint now);
  int CountUrgent(const GroupState& group, TimePoint now) const;
  // Critical attempts that seem to be queued by their upstreams.
  std::vector<RequestEntry*> FindStuck(int32_t group, TimePoint now);
  // Gives up a stream for each of them that shares its upstream with a lower
  // tier of this router; true if others would have to.
  bool RelieveStuck(int32_t group, TimePoint now);
  // Gives up streams where upstreams have more than they can work on.
  void RelieveOversubscribed(const GroupState& group, TimePoint now);
  bool IsOwnTurn(const UpstreamId& upstream,
                 uint64_t draw,
                 TimePoint now) const;
  // Preempts up to `count` streams of the group that are of lower tiers and
  // lose least; of one upstream only, unless that is -1. Their slots may be
  // used again at once unless `yields_slots`.
  int PreemptLower(int32_t group,
                   int32_t upstream,
                   int count,
                   bool yields_slots,
                   TimePoint now);

  void ApplyPeers(TimePoint now);
  // Plans the division of slots anew, if there is news and it matters.
  void PlanIfNeeded(GroupState* group, TimePoint now);
  void UpdateStragglers(GroupState* group, TimePoint now);
  // False if the others know lately all that `report` says.
  bool HasChanges(const DemandReport& report, TimePoint now) const;
  SlotShortage FindSlotShortage();
  // True if critical requests are short of slots here, or were so by the last
  // report, or are at another router in a group where this one has work too.
  bool HasAnyCriticalShortage();
  void ReportIfDue(TimePoint now);
  // Reports to all routers that share upstreams, if there is news.
  void SendToAll(TimePoint now);
  // Reports to those of them that must not wait for the next report to all.
  void SendToDue(TimePoint now);
  void Send(DemandReport report, const DemandParts& parts, TimePoint now);
  DemandReport MakeReport();

  SchedulerOptions options_;
  SchedulerHooks hooks_;
  std::shared_ptr<const RoutingSnapshot> snapshot_;
  UpstreamTable upstreams_;
  GroupTable groups_;
  PeerTable peers_;
  OutputLength lengths_;
  PrefixIndex prefixes_;
  UpstreamChooser chooser_;
  // One a pool, so that trouble of one pool takes nothing from another.
  absl::flat_hash_map<PoolId, RetryBudget> retries_;
  absl::flat_hash_map<AccountId, int32_t> accounts_;
  absl::flat_hash_map<RequestId, std::unique_ptr<RequestEntry>> entries_;
  size_t queued_ = 0;
  bool has_new_peer_reports_ = false;
  bool has_shortage_change_ = false;
  // A shortage of critical requests began or ended since the last report.
  bool has_critical_shortage_change_ = false;
  DemandPacer pacer_;
  SentDemandTracker sent_demand_;
  // Whom to tell at once is not looked for before.
  TimePoint next_due_check_;
  TimePoint last_report_;
  // What the other routers were told last.
  DemandReport own_report_;
};

}  // namespace papaya

#endif  // SRC_ADMISSION_SCHEDULER_CORE_H_
