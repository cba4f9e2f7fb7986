#ifndef INCLUDE_ADMISSION_DEMAND_PACKING_H_
#define INCLUDE_ADMISSION_DEMAND_PACKING_H_

#include <optional>
#include <string>

#include "include/admission/demand_notice.h"
#include "include/admission/demand_report.h"
#include "include/base/units.h"

namespace papaya {

// Demand makes up most of what a busy router tells the others, so that it is
// packed tighter than tables and structs of FlatBuffers would be. The layout
// is in docs/PROTOCOLS.md.

// The bytes of `notice`. Its pending_prefill must be multiples of
// kPrefillGranularity.
std::string PackDemand(const DemandNotice& notice);

// Reads them back; empty if they are broken, or a value is out of range.
std::optional<DemandNotice> UnpackDemand(const std::string& bytes);

// What sending `parts`, one to each router, takes on the wire, headers of TCP
// and IP included.
Bytes DemandWireSize(const DemandParts& parts);

}  // namespace papaya

#endif  // INCLUDE_ADMISSION_DEMAND_PACKING_H_
