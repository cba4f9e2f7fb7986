#include "include/once/once_verdict.h"

namespace papaya {

const char* OnceReasonName(OnceReason reason) {
  switch (reason) {
    case OnceReason::kNone:
      return "none";
    case OnceReason::kRepeated:
      return "repeated";
    case OnceReason::kInProgress:
      return "in_progress";
    case OnceReason::kExpired:
      return "ticket_expired";
    case OnceReason::kForgotten:
      return "ticket_forgotten";
    case OnceReason::kIssuerGone:
      return "issuer_gone";
    case OnceReason::kClaimerGone:
      return "claimer_gone";
    case OnceReason::kClaimerUnreachable:
      return "claimer_unreachable";
    case OnceReason::kStoreUnavailable:
      return "store_unavailable";
    case OnceReason::kTableFull:
      return "table_full";
  }
  return "none";
}

OnceVerdict MakeOnceAnswer(Outcome outcome, OnceReason reason) {
  return {.action = OnceAction::kAnswer, .outcome = outcome, .reason = reason};
}

}  // namespace papaya
