#ifndef INCLUDE_ONCE_ONCE_DECISION_H_
#define INCLUDE_ONCE_ONCE_DECISION_H_

#include "include/base/ids.h"
#include "include/base/outcome.h"
#include "include/once/stored_answer.h"

namespace papaya {

// What is to be done with a request that must not run twice.
enum class OnceAction : uint8_t {
  kProceed,  // schedule it; report its end
  kRespond,  // answer it now; it is not scheduled
  kForward,  // hand it to the router that issued its ticket
};

// Why a request that must not run twice is answered without being scheduled.
enum class OnceReason : uint8_t {
  kNone,
  kRepeated,     // an earlier attempt has ended; its answer is given again
  kInProgress,   // an earlier attempt is still under way
  kExpired,      // the ticket was not used in time
  kForgotten,    // used or not, the ticket is too old to tell
  kIssuerDead,   // the router that issued the ticket lives no more
  kClaimerDead,  // the router that claimed the key lives no more
  kClaimerUnreachable,  // the router that claimed the key gave no answer
  kStoreUnavailable,    // the key could not be claimed in time
  kTableFull,           // no room to remember another request
};

// The word for `reason` in error answers and logs, as `in_progress`.
const char* OnceReasonName(OnceReason reason);

// A decision on one request.
struct OnceDecision {
  OnceAction action = OnceAction::kProceed;
  // With kRespond: what to tell the caller.
  Outcome outcome = Outcome::kNotRun;
  OnceReason reason = OnceReason::kNone;
  // With kRespond and kRepeated: the earlier answer, where it is kept.
  StoredAnswer answer;
  // With kForward: the issuer of the ticket.
  RouterId router;
  Incarnation incarnation;
};

// A verdict that tells the caller `outcome` and schedules nothing.
OnceDecision MakeRespondDecision(Outcome outcome, OnceReason reason);

}  // namespace papaya

#endif  // INCLUDE_ONCE_ONCE_DECISION_H_
