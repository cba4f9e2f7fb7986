#ifndef SRC_DAEMON_ROUTER_ERROR_H_
#define SRC_DAEMON_ROUTER_ERROR_H_

#include <string>

#include "include/admission/attempt_result.h"
#include "include/base/outcome.h"
#include "include/base/units.h"
#include "include/once/once_verdict.h"
#include "include/wire/http_message.h"
#include "include/wire/http_server.h"

namespace papaya {

// Names of headers that routers add or read.
inline constexpr char kOutcomeHeader[] = "papaya-outcome";
inline constexpr char kRequestIdHeader[] = "papaya-request-id";
inline constexpr char kStreamIdHeader[] = "papaya-stream-id";
inline constexpr char kUpstreamHeader[] = "papaya-upstream";
inline constexpr char kVersionHeader[] = "papaya-version";
inline constexpr char kRouteHeader[] = "papaya-route";
inline constexpr char kTicketHeader[] = "papaya-ticket";
inline constexpr char kDeadlineHeader[] = "papaya-deadline-ms";
inline constexpr char kIdempotencyKeyHeader[] = "Idempotency-Key";
inline constexpr char kAttemptHeader[] = "papaya-attempt";
inline constexpr char kNotRunHeader[] = "papaya-not-run";
inline constexpr char kLeavingHeader[] = "papaya-leaving";
inline constexpr char kTraceparentHeader[] = "traceparent";
inline constexpr char kAuthorizationHeader[] = "Authorization";

// An error that a router answers by itself.
struct RouterError {
  int status = 500;
  // Word for programs, as `queue_full`.
  std::string code;
  // Sentence for people.
  std::string message;
  // Where it arose, as `admission`.
  std::string step;
  Outcome outcome = Outcome::kNotRun;
  // Sent as Retry-After; 0 sends none.
  Duration retry_after{};
};

// The response that docs/PROTOCOLS.md gives for errors.
HttpResponse MakeErrorResponse(const RouterError& error);

// What a fault in a caller's HTTP is answered.
HttpResponse MakeHttpErrorResponse(const HttpFault& fault);

// What a caller is told of a refusal by the scheduler.
RouterError ErrorOfRejection(const Rejection& rejection);

// What a caller is told whose request was decided by an earlier attempt, or
// could not be decided, and of which no answer is kept.
RouterError ErrorOfDecision(const OnceVerdict& verdict);

}  // namespace papaya

#endif  // SRC_DAEMON_ROUTER_ERROR_H_
