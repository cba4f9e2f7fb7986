#ifndef SRC_ADMISSION_GROUP_STATE_H_
#define SRC_ADMISSION_GROUP_STATE_H_

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "include/base/tier.h"
#include "include/base/units.h"
#include "include/routing/routing_snapshot.h"
#include "src/admission/fair_queue.h"
#include "src/admission/planned_group.h"
#include "src/admission/request_entry.h"
#include "src/admission/slot_division.h"

namespace papaya {

// Orders waiting requests by the time after which they count as late.
struct ByLateAfter {
  bool operator()(const RequestEntry* a, const RequestEntry* b) const {
    return std::pair(a->spec.late_after, a->spec.id) <
           std::pair(b->spec.late_after, b->spec.id);
  }
};

// Orders waiting requests by their deadlines.
struct ByDeadline {
  bool operator()(const RequestEntry* a, const RequestEntry* b) const {
    return std::pair(a->spec.deadline, a->spec.id) <
           std::pair(b->spec.deadline, b->spec.id);
  }
};

// Requests of one router for one version of one pool, and the demand of the
// other routers for it.
struct GroupState {
  PoolVersion name;
  // True if the current snapshot has the group and it accepts new work.
  bool is_usable = false;
  // Indexes in the UpstreamTable.
  std::vector<int32_t> upstreams;
  PlannedGroup planned;
  // True if no plan was made since the latest reports of other routers.
  bool is_plan_stale = true;

  // Waiting requests that can still meet their latency objectives, and late
  // ones.
  std::array<FairQueue, kTierCount> queues;
  std::array<FairQueue, kTierCount> late_queues;
  // Requests in `queues` that have a time after which they are late.
  std::set<RequestEntry*, ByLateAfter> by_late_after;
  std::array<std::set<RequestEntry*, ByDeadline>, kTierCount> deadlines;
  std::array<int, kTierCount> running{};
  // Own attempts with a preemption in progress.
  int preempting = 0;

  // From the reports of other routers: their requests, the highest tier for
  // which one of them lacks slots, and the requests that wait in that tier.
  std::array<int, kTierCount> peer_running{};
  std::array<int, kTierCount> peer_waiting{};
  std::optional<Tier> peer_short;
  int peer_short_waiting = 0;
  // This router's share of the slots while other routers have requests waiting.
  TierSlots allotment{};
  // Free slots of all upstreams, according to the latest reports.
  double free_slots = 0.0;

  // Mean duration of attempts, in seconds.
  double attempt_seconds = 0.0;
  // Mean RequestEntry::cost of the last requests.
  double mean_cost = 0.0;

  std::optional<Tier> own_short;
  // Time of the last preemption for other routers. Limits these to the rate at
  // which reports arrive.
  TimePoint last_peer_preemption;

  size_t WaitingOf(size_t tier) const {
    return queues[tier].size() + late_queues[tier].size();
  }
  int Waiting() const {
    size_t waiting = 0;
    for (size_t tier = 0; tier < kTierCount; ++tier) {
      waiting += WaitingOf(tier);
    }
    return static_cast<int>(waiting);
  }
  int Running() const {
    int sum = 0;
    for (int count : running) {
      sum += count;
    }
    return sum;
  }
  // True if other routers have requests waiting, and all waiting requests
  // exceed the free slots.
  bool IsContended() const {
    int peers = 0;
    for (int count : peer_waiting) {
      peers += count;
    }
    return peers > 0 && peers + Waiting() > free_slots;
  }
  // True if the division of slots with other routers matters now.
  bool NeedsPlan() const { return Waiting() > 0 || peer_short.has_value(); }
  bool IsIdle() const { return Waiting() == 0 && Running() == 0; }

  void CountCost(double cost) {
    // Weight of one request in the mean.
    constexpr double kWeight = 0.02;
    mean_cost += (mean_cost > 0.0 ? kWeight : 1.0) * (cost - mean_cost);
  }
  void Enqueue(RequestEntry* entry, bool at_front) {
    const size_t tier = TierIndex(entry->spec.tier);
    FairQueue& queue = QueueOf(*entry);
    if (at_front) {
      queue.PushFront(entry);
    } else {
      queue.Push(entry);
    }
    if (!entry->is_late && entry->spec.late_after != TimePoint::max()) {
      by_late_after.insert(entry);
    }
    deadlines[tier].insert(entry);
  }
  void Remove(RequestEntry* entry) {
    const size_t tier = TierIndex(entry->spec.tier);
    QueueOf(*entry).Remove(entry);
    by_late_after.erase(entry);
    deadlines[tier].erase(entry);
  }
  // Removes and returns the next request of `queue`, which must belong to this
  // group.
  RequestEntry* Pop(FairQueue* queue) {
    RequestEntry* entry = queue->Pop();
    by_late_after.erase(entry);
    deadlines[TierIndex(entry->spec.tier)].erase(entry);
    return entry;
  }
  // Moves requests that have become late to the late queues.
  void RequeueLate(TimePoint now) {
    while (!by_late_after.empty() &&
           (*by_late_after.begin())->spec.late_after <= now) {
      RequestEntry* entry = *by_late_after.begin();
      Remove(entry);
      entry->is_late = true;
      Enqueue(entry, /*at_front=*/false);
    }
  }
  FairQueue& QueueOf(const RequestEntry& entry) {
    const size_t tier = TierIndex(entry.spec.tier);
    return entry.is_late ? late_queues[tier] : queues[tier];
  }
};

}  // namespace papaya

#endif  // SRC_ADMISSION_GROUP_STATE_H_
