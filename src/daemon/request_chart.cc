#include "src/daemon/request_chart.h"

namespace papaya {

const char* RejectionEvent(const Rejection& rejection) {
  if (rejection.outcome != Outcome::kNotRun) {
    return "fail_unknown";
  }
  return rejection.reason == RejectionReason::kShed ? "shed" : "expire";
}

const char* OutcomeEvent(Outcome outcome) {
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
