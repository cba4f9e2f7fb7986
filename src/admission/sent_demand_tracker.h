#ifndef SRC_ADMISSION_SENT_DEMAND_TRACKER_H_
#define SRC_ADMISSION_SENT_DEMAND_TRACKER_H_

#include <functional>
#include <map>
#include <vector>

#include "include/admission/demand_report.h"
#include "include/base/ids.h"
#include "include/base/units.h"
#include "src/admission/demand_pacer.h"
#include "src/admission/slot_shortage.h"

namespace papaya {

// What each other router was last told of this one's demand, so that in a
// shortage only those are told at once for whom there is news that matters.
class SentDemandTracker {
 public:
  // Notes that `parts`, one for each router that shares upstreams, go out.
  void RecordAllSent(const DemandParts& parts,
                     const SlotShortage& shortage,
                     TimePoint now);

  // Of `parts` as above, the routers whose part should go out now, sorted; they
  // are noted as told. `has_recent_report` says if a router was heard of late:
  // one that was not may be doing anything, and is told in any case while a
  // group that it shares is short.
  std::vector<RouterId> SelectDue(
      const DemandParts& parts,
      const SlotShortage& shortage,
      const std::function<bool(const RouterId&)>& has_recent_report,
      TimePoint now);

  // True if a router was last told so long ago that it must be told again.
  bool IsAnyOverdue(TimePoint now) const {
    return !sent_.empty() && now - oldest_ >= DemandPacer::kMaxReportInterval;
  }

 private:
  // News is told again this much later, in case it was lost.
  static constexpr Duration kRepeatInterval = std::chrono::milliseconds(200);
  static constexpr int kRepeats = 1;

  struct Sent {
    DemandReport part;
    TimePoint sent_at;
    int repeats_left = 0;
  };

  void RecordSent(const RouterId& router,
                  const DemandReport& part,
                  const SlotShortage& shortage,
                  TimePoint now);
  void RemoveOtherRouters(const DemandParts& parts);
  void UpdateOldest();

  std::map<RouterId, Sent> sent_;
  TimePoint oldest_;
};

}  // namespace papaya

#endif  // SRC_ADMISSION_SENT_DEMAND_TRACKER_H_
