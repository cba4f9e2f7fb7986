#ifndef SRC_ADMISSION_SLOT_SHORTAGE_H_
#define SRC_ADMISSION_SLOT_SHORTAGE_H_

#include <set>

#include "include/admission/demand_report.h"
#include "include/base/ids.h"

namespace papaya {

// Where critical requests are short of slots, as one router knows it.
struct SlotShortage {
  std::set<PoolVersion> groups;
  // Their upstreams, and those with slots given away for other routers.
  std::set<UpstreamId> upstreams;
  // Upstreams with more work than slots, where own critical requests wait: by
  // each report another router is drawn to give up a stream there.
  std::set<UpstreamId> oversubscribed;
};

}  // namespace papaya

#endif  // SRC_ADMISSION_SLOT_SHORTAGE_H_
