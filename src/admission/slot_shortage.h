#ifndef SRC_ADMISSION_SLOT_SHORTAGE_H_
#define SRC_ADMISSION_SLOT_SHORTAGE_H_

#include <set>

#include "include/admission/demand_report.h"
#include "include/base/ids.h"

namespace papaya {

// Where critical requests lack slots, as far as this router knows.
struct SlotShortage {
  std::set<PoolVersion> groups;
  // Upstreams of these groups, and upstreams where slots were yielded to other
  // routers.
  std::set<UpstreamId> upstreams;
  // Upstreams with more work than slots where critical requests of this router
  // wait. Each report selects another router that preempts an attempt there.
  std::set<UpstreamId> oversubscribed;
};

}  // namespace papaya

#endif  // SRC_ADMISSION_SLOT_SHORTAGE_H_
