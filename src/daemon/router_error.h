#ifndef SRC_DAEMON_ROUTER_ERROR_H_
#define SRC_DAEMON_ROUTER_ERROR_H_

#include <string>

#include "include/admission/attempt_result.h"
#include "include/base/outcome.h"
#include "include/base/units.h"
#include "include/once/once_decision.h"
#include "include/wire/http_message.h"
#include "include/wire/http_server.h"

namespace papaya {

// Names of the headers that routers read or set.
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

// An error that a router itself returns to a caller.
struct RouterError {
  int status = 500;
  // Machine-readable code such as `queue_full`.
  std::string code;
  // Human-readable message.
  std::string message;
  // The processing step that failed, such as `admission`.
  std::string step;
  Outcome outcome = Outcome::kNotRun;
  // Value of the Retry-After header, rounded up to whole seconds; 0 omits the
  // header.
  Duration retry_after{};
};

// Formats the error response specified in docs/PROTOCOLS.md.
HttpResponse MakeErrorResponse(const RouterError& error);

// The response to a malformed HTTP request or to one that the HTTP server
// cannot accept.
HttpResponse MakeHttpErrorResponse(const HttpFault& fault);

// The error returned to a caller whose request the scheduler rejected.
RouterError ErrorOfRejection(const Rejection& rejection);

// The error returned to a caller whose at-most-once request was already decided
// or could not be decided, if there is no stored response.
RouterError ErrorOfDecision(const OnceDecision& decision);

}  // namespace papaya

#endif  // SRC_DAEMON_ROUTER_ERROR_H_
