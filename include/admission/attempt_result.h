#ifndef INCLUDE_ADMISSION_ATTEMPT_RESULT_H_
#define INCLUDE_ADMISSION_ATTEMPT_RESULT_H_

#include <cstdint>

#include "include/base/outcome.h"
#include "include/base/units.h"

namespace papaya {

// How one attempt at an upstream ended.
enum class AttemptEnd : uint8_t {
  kOk,           // the whole answer arrived
  kNotRun,       // refused, or never handed over: the upstream did nothing
  kLeaving,      // refused as kNotRun, because the upstream is leaving
  kUnreachable,  // there was no connection, so nothing was sent
  kUnknown,      // failed after it was handed over
  kPreempted,    // cancelled as SchedulerHooks::preempt asked
};

struct AttemptResult {
  AttemptEnd end = AttemptEnd::kOk;
  // Output tokens of this attempt; 0 for plain services.
  Tokens output_tokens;
};

// Why a request ends without an answer of an upstream.
enum class RejectionReason : uint8_t {
  kNoUpstream,      // no upstream can serve it
  kQueueFull,       // no room, and nothing of a lower tier to make some
  kShed,            // left the queue for work of a higher tier
  kDeadline,        // could not begin in time
  kAttemptsFailed,  // attempts failed and it may not be tried again
};

// The name in answers and logs, as `queue_full`.
const char* RejectionReasonName(RejectionReason reason);

struct Rejection {
  RejectionReason reason = RejectionReason::kNoUpstream;
  // kNotRun only if no attempt can have begun at any upstream.
  Outcome outcome = Outcome::kNotRun;
  // When the caller may try again with some hope.
  Duration retry_after{};
};

}  // namespace papaya

#endif  // INCLUDE_ADMISSION_ATTEMPT_RESULT_H_
