#ifndef INCLUDE_ONCE_ONCE_DECISION_H_
#define INCLUDE_ONCE_ONCE_DECISION_H_

#include "include/base/ids.h"
#include "include/base/outcome.h"
#include "include/once/stored_answer.h"

namespace papaya {

// What to do with an at-most-once request.
enum class OnceAction : uint8_t {
  kProceed,  // schedule it and report its outcome
  kRespond,  // respond now without scheduling it
  kForward,  // forward it to the router that issued its ticket
};

// Why an at-most-once request gets a response without being scheduled.
enum class OnceReason : uint8_t {
  kNone,
  kRepeated,            // an earlier attempt has ended; its outcome is repeated
  kInProgress,          // an earlier attempt is still in progress
  kExpired,             // the ticket expired unused
  kForgotten,           // no record is left of whether the request ran
  kIssuerDead,          // the router incarnation that issued the ticket is dead
  kClaimerDead,         // the router incarnation that claimed the key is dead
  kClaimerUnreachable,  // the router that claimed the key did not reply in time
  kStoreUnavailable,    // the key was not claimed before the deadline
  kTableFull,           // no free entry to record another request
};

// Returns the name of `reason` in error responses and logs, for example
// `in_progress`.
const char* OnceReasonName(OnceReason reason);

// The decision on one attempt of an at-most-once request.
struct OnceDecision {
  OnceAction action = OnceAction::kProceed;
  // With kRespond: the outcome to report to the caller.
  Outcome outcome = Outcome::kNotRun;
  OnceReason reason = OnceReason::kNone;
  // With kRespond and kRepeated: the stored response of the earlier attempt, if
  // it was kept.
  StoredAnswer answer;
  // With kForward: the router and incarnation that issued the ticket.
  RouterId router;
  Incarnation incarnation;
};

// Returns a decision that reports `outcome` to the caller without scheduling
// the request.
OnceDecision MakeRespondDecision(Outcome outcome, OnceReason reason);

}  // namespace papaya

#endif  // INCLUDE_ONCE_ONCE_DECISION_H_
