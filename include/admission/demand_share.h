#ifndef INCLUDE_ADMISSION_DEMAND_SHARE_H_
#define INCLUDE_ADMISSION_DEMAND_SHARE_H_

#include "include/admission/demand_report.h"

namespace papaya {

class RoutingSnapshot;

// What of `report`, made under `snapshot`, concerns each router that shares
// upstreams with the reporting one: the groups and upstreams that both use. A
// router that shares none gets nothing. In a large fleet each upstream is used
// by a few routers only, so parts are much shorter than the whole.
DemandParts SplitDemandReport(const DemandReport& report,
                              const RoutingSnapshot& snapshot);

}  // namespace papaya

#endif  // INCLUDE_ADMISSION_DEMAND_SHARE_H_
