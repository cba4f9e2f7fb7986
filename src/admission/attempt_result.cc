#include "include/admission/attempt_result.h"

namespace papaya {

const char* RejectionReasonName(RejectionReason reason) {
  switch (reason) {
    case RejectionReason::kNoUpstream:
      return "no_upstream";
    case RejectionReason::kQueueFull:
      return "queue_full";
    case RejectionReason::kShed:
      return "shed";
    case RejectionReason::kDeadline:
      return "deadline";
    case RejectionReason::kAttemptsFailed:
      return "attempts_failed";
    case RejectionReason::kUpstreamsClosed:
      return "upstreams_closed";
    case RejectionReason::kZonesEvacuated:
      return "zones_evacuated";
    case RejectionReason::kNoAllowedRegion:
      return "no_allowed_region";
  }
  return "no_upstream";
}

}  // namespace papaya
