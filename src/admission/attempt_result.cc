#include "include/admission/attempt_result.h"

namespace papaya {

const char* RefusalReasonName(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kNoUpstream:
      return "no_upstream";
    case RefusalReason::kQueueFull:
      return "queue_full";
    case RefusalReason::kShed:
      return "shed";
    case RefusalReason::kDeadline:
      return "deadline";
    case RefusalReason::kAttemptsFailed:
      return "attempts_failed";
  }
  return "no_upstream";
}

}  // namespace papaya
