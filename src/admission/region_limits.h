#ifndef SRC_ADMISSION_REGION_LIMITS_H_
#define SRC_ADMISSION_REGION_LIMITS_H_

#include <algorithm>
#include <cstddef>
#include <optional>
#include <vector>

#include "include/admission/attempt_result.h"
#include "include/base/request_spec.h"
#include "include/routing/routing_snapshot.h"
#include "src/admission/group_state.h"
#include "src/admission/request_entry.h"

namespace papaya {

// True if `spec` may be sent to upstreams in `region`. A request with a list
// must not reach upstreams whose region is unknown.
inline bool MayReachRegion(const RequestSpec& spec, const RegionId& region) {
  return spec.allowed_regions == nullptr ||
         std::find(spec.allowed_regions->begin(), spec.allowed_regions->end(),
                   region) != spec.allowed_regions->end();
}

// Returns the group for `spec`: RoutingSnapshot::ChooseGroup, or if that group
// has no upstream in an allowed region, the usable group with the largest share
// that has one. Returns std::nullopt if there is none.
std::optional<GroupIndex> ChooseAllowedGroup(const RoutingSnapshot& snapshot,
                                             const RequestSpec& spec);

// Returns why ChooseAllowedGroup found no group. `snapshot` may be null.
RejectionReason NoUpstreamReason(const RoutingSnapshot* snapshot,
                                 const RequestSpec& spec);

// Requests at the head of a queue whose allowed regions have no free slot.
// While one pass over the queue lasts they are taken out of it, so that
// requests that may go elsewhere do not wait behind them.
class SetAsideRequests {
 public:
  // True if a request with the regions of `entry` was set aside before, so
  // that no upstream can take this one either.
  bool IsFull(const RequestEntry& entry) const;

  // Takes `entry`, which waits in `group`, out of its queue. Returns false if
  // the requests behind it have to wait: it has no list, or kMaxRequests were
  // taken.
  bool Take(RequestEntry* entry, GroupState* group);

  // Puts all requests back into their places.
  void PutBack(GroupState* group);

 private:
  // Bounds the work of one pass.
  static constexpr size_t kMaxRequests = 32;

  std::vector<RequestEntry*> entries_;
};

}  // namespace papaya

#endif  // SRC_ADMISSION_REGION_LIMITS_H_
