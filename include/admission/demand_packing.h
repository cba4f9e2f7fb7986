#ifndef INCLUDE_ADMISSION_DEMAND_PACKING_H_
#define INCLUDE_ADMISSION_DEMAND_PACKING_H_

#include <optional>
#include <string>

#include "include/admission/demand_notice.h"
#include "include/admission/demand_report.h"
#include "include/base/units.h"

namespace papaya {

// Demand reports make up most of what a busy router sends to the others, so
// they are packed more tightly than tables and structs of FlatBuffers allow.
// The layout is described in docs/PROTOCOLS.md.

// Encodes `notice`. Each pending_prefill must be a multiple of
// kPrefillGranularity.
std::string PackDemand(const DemandNotice& notice);

// Decodes the output of PackDemand. Returns nullopt if `bytes` is malformed or
// a value is out of range.
std::optional<DemandNotice> UnpackDemand(const std::string& bytes);

// Returns the bytes on the wire for sending each of `parts` to its router,
// including TCP and IP headers.
Bytes DemandWireSize(const DemandParts& parts);

}  // namespace papaya

#endif  // INCLUDE_ADMISSION_DEMAND_PACKING_H_
