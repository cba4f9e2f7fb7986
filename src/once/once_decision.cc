#include "include/once/once_decision.h"

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
    case OnceReason::kIssuerDead:
      return "issuer_gone";
    case OnceReason::kClaimerDead:
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

OnceDecision MakeRespondDecision(Outcome outcome, OnceReason reason) {
  return {.action = OnceAction::kRespond, .outcome = outcome, .reason = reason};
}

}  // namespace papaya
