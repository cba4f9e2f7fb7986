#ifndef INCLUDE_ADMISSION_DEMAND_SHARE_H_
#define INCLUDE_ADMISSION_DEMAND_SHARE_H_

#include "include/admission/demand_report.h"

namespace papaya {

class RoutingSnapshot;

// Splits `report`, made under `snapshot`, into one part for each router that
// shares upstreams with the reporting router. A part holds the groups and
// upstreams that both routers use. A router that shares none gets no part. In a
// large fleet only a few routers use each upstream, so the parts are much
// shorter than the whole report.
DemandParts SplitDemandReport(const DemandReport& report,
                              const RoutingSnapshot& snapshot);

}  // namespace papaya

#endif  // INCLUDE_ADMISSION_DEMAND_SHARE_H_
