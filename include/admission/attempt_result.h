#ifndef INCLUDE_ADMISSION_ATTEMPT_RESULT_H_
#define INCLUDE_ADMISSION_ATTEMPT_RESULT_H_

#include <cstdint>

#include "include/base/outcome.h"
#include "include/base/units.h"

namespace papaya {

// How one attempt at an upstream ended.
enum class AttemptEnd : uint8_t {
  kOk,           // the whole answer arrived
  kNotRun,       // refused or never sent: the upstream did no work
  kLeaving,      // refused like kNotRun, because the upstream is leaving
  kUnreachable,  // no connection was made, so nothing was sent
  kUnknown,      // failed after it was sent
  kPreempted,    // cancelled through SchedulerHooks::preempt
};

struct AttemptResult {
  AttemptEnd end = AttemptEnd::kOk;
  // Output tokens of this attempt; 0 for plain services.
  Tokens output_tokens;
  // False if the request itself may be why the attempt failed.
  bool may_repeat = true;
  // The upstream has answered, if only with an error, so it was reachable.
  bool has_answered = false;
};

// Why a router rejects a request without an upstream's answer.
enum class RejectionReason : uint8_t {
  kNoUpstream,      // no upstream can serve it
  kQueueFull,       // the queue is full and holds nothing of a lower tier
  kShed,            // removed from the queue in favour of work of a higher tier
  kDeadline,        // could not begin before its deadline
  kAttemptsFailed,  // attempts failed and no further attempt is allowed
  kUpstreamsClosed,  // all upstreams asked for a delay beyond its deadline
  kZonesEvacuated,   // all upstreams that could serve it are evacuated
  kNoAllowedRegion,  // no upstream is in a region that it may reach
};

// Returns the name used in answers and logs, such as `queue_full`.
const char* RejectionReasonName(RejectionReason reason);

struct Rejection {
  RejectionReason reason = RejectionReason::kNoUpstream;
  // kNotRun only if no upstream can have begun an attempt.
  Outcome outcome = Outcome::kNotRun;
  // Time after which the caller should try again.
  Duration retry_after{};
  // No upstream accepts work before `retry_after` has passed, so it must not be
  // shortened.
  bool is_delay_known = false;
};

}  // namespace papaya

#endif  // INCLUDE_ADMISSION_ATTEMPT_RESULT_H_
