#ifndef SRC_ADMISSION_SLOT_PLANNER_H_
#define SRC_ADMISSION_SLOT_PLANNER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "include/base/units.h"
#include "src/admission/group_state.h"
#include "src/admission/peer_table.h"
#include "src/admission/planned_group.h"
#include "src/admission/slot_division.h"
#include "src/admission/upstream_table.h"

namespace papaya {

// Computes which slots of one group this router may use while routers compete
// for them: how many in total, and which of the free slots. All routers with
// the same information compute the same plan, so each free slot is taken by
// only one of them.
class SlotPlanner {
 public:
  // All pointers must outlive the planner. The latest reports must have been
  // applied to `upstreams`. `own` is the last report that this router sent. The
  // plan uses it in place of the current state, because other routers know only
  // the report.
  SlotPlanner(const PeerTable* peers,
              const DemandReport* own,
              Duration report_interval,
              TimePoint now,
              UpstreamTable* upstreams)
      : peers_(peers),
        own_(own),
        report_interval_(report_interval),
        now_(now),
        upstreams_(upstreams) {}

  // Sets the allotment of `state`, and the share and limit of its upstreams.
  void Plan(GroupState* state);

 private:
  // A router that uses some of the group's upstreams.
  struct Router {
    RouterDemand demand;
    TierSlots running{};
    TierSlots waiting{};
    TierSlots allotment{};
    // The highest tier for which the router lacks slots.
    std::optional<Tier> short_tier;
  };

  void CollectDemand(const GroupState& state);
  void Divide(GroupState* state);
  void DiscountPeers(const PlannedGroup& group, double remaining_fraction);
  void SetLimits(const PlannedGroup& group, double remaining_fraction);
  void GrantFreeSlots(const PlannedGroup& group);
  // Gives a free slot of `upstream` to a router that has less than its
  // allotment for `tier` and has such requests waiting. Routers that lack slots
  // for the tier go first. Increments `limit` if the slot goes to this router.
  // Returns false if no router qualifies.
  bool GrantOne(const PlannedGroup::Upstream& upstream,
                int64_t self,
                Tier tier,
                int* limit);

  const PeerTable* peers_;
  const DemandReport* own_;
  Duration report_interval_;
  TimePoint now_;
  UpstreamTable* upstreams_;
  // Indexed like PlannedGroup::routers.
  std::vector<Router> routers_;
};

}  // namespace papaya

#endif  // SRC_ADMISSION_SLOT_PLANNER_H_
