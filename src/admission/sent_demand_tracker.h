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

// Tracks the demand last sent to each other router, so that during a shortage
// only routers that need a change at once receive a report.
class SentDemandTracker {
 public:
  // Records that `parts`, one for each router that shares upstreams, are sent.
  void RecordAllSent(const DemandParts& parts,
                     const SlotShortage& shortage,
                     TimePoint now);

  // Selects the routers whose part should be sent now, sorted by name, and
  // records these parts as sent. `parts` is as in RecordAllSent.
  // `has_recent_report` returns whether a report of the router arrived lately.
  // The state of a router without one is unknown, so it is selected whenever it
  // shares a group that lacks slots.
  std::vector<RouterId> SelectDue(
      const DemandParts& parts,
      const SlotShortage& shortage,
      const std::function<bool(const RouterId&)>& has_recent_report,
      TimePoint now);

  // True if the last report to some router is so old that a new one is due.
  bool IsAnyOverdue(TimePoint now) const {
    return !sent_.empty() && now - oldest_ >= DemandPacer::kMaxReportInterval;
  }

 private:
  // A change is sent again after this time, in case the report was lost.
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
