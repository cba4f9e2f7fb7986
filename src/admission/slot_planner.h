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

// Works out, for one group, which slots are this router's while routers have
// to share them: how many in all, and which of the free ones it may take. All
// routers that know the same come to the same plan, so that a free slot is
// taken by one of them.
class SlotPlanner {
 public:
  // All must outlive the planner. The latest reports must have been applied to
  // `upstreams`. `own` is what this router reported last: the others know no
  // more of it, and so the plan goes by no more.
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

  // Sets the allotment of `state`, and of its upstreams share and limit.
  void Plan(GroupState* state);

 private:
  // A router that uses some of the group's upstreams.
  struct Router {
    RouterDemand demand;
    TierSlots running{};
    TierSlots waiting{};
    TierSlots allotment{};
    // Its requests of this tier have waited too long.
    std::optional<Tier> short_tier;
  };

  void CollectDemand(const GroupState& state);
  void Divide(GroupState* state);
  void DiscountPeers(const PlannedGroup& group, double remaining_part);
  void SetLimits(const PlannedGroup& group, double remaining_part);
  void GrantFreeSlots(const PlannedGroup& group);
  // Gives a free slot of `upstream` to a router that lacks some of its
  // allotment for `tier` and has requests of it waiting, first to one that is
  // short for it; `limit` grows if that is this one. False if there is no such
  // router.
  bool GrantOne(const PlannedGroup::Upstream& upstream,
                int64_t self,
                Tier tier,
                int* limit);

  const PeerTable* peers_;
  const DemandReport* own_;
  Duration report_interval_;
  TimePoint now_;
  UpstreamTable* upstreams_;
  // By position in PlannedGroup::routers.
  std::vector<Router> routers_;
};

}  // namespace papaya

#endif  // SRC_ADMISSION_SLOT_PLANNER_H_
