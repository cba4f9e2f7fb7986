#include "src/daemon/request_chart.h"

namespace papaya {

const char* EventOfRefusal(const Rejection& refusal) {
  if (refusal.outcome != Outcome::kNotRun) {
    return "fail_unknown";
  }
  return refusal.reason == RejectionReason::kShed ? "shed" : "expire";
}

const char* EventOfOutcome(Outcome outcome) {
  switch (outcome) {
    case Outcome::kNotRun:
      return "refuse";
    case Outcome::kRan:
      return "repeat";
    case Outcome::kUnknown:
      return "doubt";
  }
  return "doubt";
}

}  // namespace papaya
