#ifndef SRC_ADMISSION_SLOT_PLANNER_H_
#define SRC_ADMISSION_SLOT_PLANNER_H_

#include <cstddef>
#include <vector>

#include "include/base/units.h"
#include "include/routing/routing_snapshot.h"
#include "src/admission/group_state.h"
#include "src/admission/peer_table.h"
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
  SlotPlanner(const RoutingSnapshot* snapshot,
              const PeerTable* peers,
              const DemandReport* own,
              Duration report_interval,
              TimePoint now,
              UpstreamTable* upstreams)
      : snapshot_(snapshot),
        peers_(peers),
        own_(own),
        report_interval_(report_interval),
        now_(now),
        upstreams_(upstreams) {}

  // Sets the allotment of `state`, and of its upstreams share and limit.
  void Plan(const VersionGroup& group, GroupState* state);

 private:
  // A router that uses some of the group's upstreams.
  struct Router {
    RouterId id;
    RouterDemand demand;
    TierSlots running{};
    TierSlots waiting{};
    TierSlots allotment{};
  };

  size_t PositionOf(const RouterId& id, const PoolVersion& group);
  void MarkScarce(GroupState* state) const;
  void ApplyOwnReport(const VersionGroup& group);
  void Divide(const VersionGroup& group, GroupState* state);
  void DiscountPeers(const VersionGroup& group, double trust);
  void SetLimits(const VersionGroup& group, double trust);
  double CountFree(const VersionGroup& group);
  void GrantFreeSlots(const VersionGroup& group);
  UpstreamState& StateOf(const RoutedUpstream& upstream);
  bool GrantOne(const RoutedUpstream& upstream, Tier tier, int* limit);

  const RoutingSnapshot* snapshot_;
  const PeerTable* peers_;
  const DemandReport* own_;
  Duration report_interval_;
  TimePoint now_;
  UpstreamTable* upstreams_;
  std::vector<Router> routers_;
};

}  // namespace papaya

#endif  // SRC_ADMISSION_SLOT_PLANNER_H_
