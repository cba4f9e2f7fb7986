#ifndef SRC_ADMISSION_DEMAND_LEDGER_H_
#define SRC_ADMISSION_DEMAND_LEDGER_H_

#include <functional>
#include <map>
#include <vector>

#include "include/admission/demand_report.h"
#include "include/base/ids.h"
#include "include/base/units.h"
#include "src/admission/demand_pacer.h"
#include "src/admission/demand_press.h"

namespace papaya {

// What each other router was last told of this one's demand, so that in a
// shortage only those are told at once for whom there is news that matters.
class DemandLedger {
 public:
  // Notes that `parts`, one for each router that shares upstreams, go out.
  void NoteAll(const DemandParts& parts,
               const DemandPress& press,
               TimePoint now);

  // Of `parts` as above, the routers whose part should go out now, sorted; they
  // are noted as told. `is_heard` says if a router was heard of late: one that
  // was not may be doing anything, and is told in any case while a group that
  // it shares is short.
  std::vector<RouterId> TakeDue(
      const DemandParts& parts,
      const DemandPress& press,
      const std::function<bool(const RouterId&)>& is_heard,
      TimePoint now);

  // True if a router was last told so long ago that it must be told again.
  bool IsAnyOverdue(TimePoint now) const {
    return !told_.empty() && now - oldest_ >= DemandPacer::kMaxSilence;
  }

 private:
  // News is told again this much later, in case it was lost.
  static constexpr Duration kRepeatInterval = std::chrono::milliseconds(200);
  static constexpr int kRepeats = 1;

  struct Told {
    DemandReport part;
    TimePoint when;
    int repeats_left = 0;
  };

  void Note(const RouterId& router,
            const DemandReport& part,
            const DemandPress& press,
            TimePoint now);
  void DropOthers(const DemandParts& parts);
  void FindOldest();

  std::map<RouterId, Told> told_;
  TimePoint oldest_;
};

}  // namespace papaya

#endif  // SRC_ADMISSION_DEMAND_LEDGER_H_
