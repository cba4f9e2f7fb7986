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

// Orders waiting requests by the time after which they are late.
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

// The requests that one router has in hand for one version of one pool, and
// what the others have.
struct GroupState {
  PoolVersion name;
  // The snapshot in force has it, and new work may go there.
  bool is_usable = false;
  // Numbers in the UpstreamTable.
  std::vector<int32_t> upstreams;
  PlannedGroup planned;
  // No plan was made since the latest news of other routers.
  bool is_plan_stale = true;

  // Requests that may still meet their latency objectives, and the others.
  std::array<FairQueue, kTierCount> queues;
  std::array<FairQueue, kTierCount> late_queues;
  // Those of the former that will be late some time.
  std::set<RequestEntry*, ByLateAfter> by_late_after;
  std::array<std::set<RequestEntry*, ByDeadline>, kTierCount> deadlines;
  std::array<int, kTierCount> running{};
  // Own attempts that are being preempted.
  int preempting = 0;

  // By the reports of other routers: what they have in hand, the highest tier
  // that one of them is short for, and the requests that wait for that.
  std::array<int, kTierCount> peer_running{};
  std::array<int, kTierCount> peer_waiting{};
  std::optional<Tier> peer_short;
  int peer_short_waiting = 0;
  // Own share of the slots while others have requests waiting.
  TierSlots allotment{};
  // Free slots of all upstreams, by the latest reports.
  double free_slots = 0.0;

  // How long attempts take, in seconds.
  double attempt_seconds = 0.0;

  std::optional<Tier> own_short;
  // Streams are given up for other routers no oftener than reports come.
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
  // True if other routers have requests waiting, and all that wait are more
  // than the free slots.
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
  // Takes out the request whose turn it is in `queue`, one of these.
  RequestEntry* Pop(FairQueue* queue) {
    RequestEntry* entry = queue->Pop();
    by_late_after.erase(entry);
    deadlines[TierIndex(entry->spec.tier)].erase(entry);
    return entry;
  }
  // Lets requests that have become late go after the others.
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
