#include "src/daemon/router_error.h"

#include <array>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <utility>

#include "absl/strings/str_cat.h"

namespace papaya {

namespace {

struct RejectionRow {
  RejectionReason reason;
  int status;
  const char* message;
};

constexpr std::array<RejectionRow, 8> kRejectionRows = {{
    {RejectionReason::kNoUpstream, 503, "no upstream can serve the request"},
    {RejectionReason::kQueueFull, 429, "the request queue is full"},
    {RejectionReason::kShed, 429, "shed for requests of a higher tier"},
    {RejectionReason::kDeadline, 504,
     "no attempt could start before the deadline"},
    {RejectionReason::kAttemptsFailed, 502,
     "an attempt failed and no further attempt is allowed"},
    {RejectionReason::kZonesEvacuated, 503,
     "all upstreams that could serve the request are in evacuated zones"},
    {RejectionReason::kNoAllowedRegion, 503,
     "no upstream is in a region that the request may reach"},
    {RejectionReason::kUpstreamsClosed, 503,
     "all upstreams have asked for a delay beyond the deadline"},
}};

const RejectionRow& FindRejectionRow(RejectionReason reason) {
  for (const RejectionRow& row : kRejectionRows) {
    if (row.reason == reason) {
      return row;
    }
  }
  return kRejectionRows.back();
}

int64_t RoundUpSeconds(Duration duration) {
  return std::chrono::ceil<std::chrono::seconds>(duration).count();
}

}  // namespace

RouterError ErrorOfDecision(const OnceDecision& decision) {
  RouterError error{.status = 503,
                    .code = OnceReasonName(decision.reason),
                    .message = "this request must not run twice",
                    .step = "once.decide",
                    .outcome = decision.outcome};
  switch (decision.reason) {
    case OnceReason::kRepeated:
      error.status = decision.outcome == Outcome::kRan ? 200 : 409;
      error.message = "an earlier attempt has already ended with this outcome";
      break;
    case OnceReason::kInProgress:
      error.status = 409;
      error.message = "an earlier attempt is still in progress";
      break;
    case OnceReason::kExpired:
      error.status = 409;
      error.message = "the ticket has expired";
      break;
    case OnceReason::kTableFull:
      error.status = 429;
      error.message = "the table of idempotency keys is full";
      error.retry_after = std::chrono::seconds(1);
      break;
    case OnceReason::kStoreUnavailable:
      error.message =
          "the Object API is unavailable; requests with a ticket still run";
      error.retry_after = std::chrono::seconds(1);
      break;
    case OnceReason::kNone:
    case OnceReason::kForgotten:
    case OnceReason::kIssuerDead:
    case OnceReason::kClaimerDead:
    case OnceReason::kClaimerUnreachable:
      error.status = 502;
      error.message = "it cannot be determined whether the request has run";
      break;
  }
  return error;
}

HttpResponse MakeErrorResponse(const RouterError& error) {
  const boost::json::object body = {
      {"error", boost::json::object{{"code", error.code},
                                    {"message", error.message},
                                    {"step", error.step},
                                    {"outcome", OutcomeName(error.outcome)}}}};
  HttpResponse response =
      MakeJsonResponse(error.status, boost::json::serialize(body));
  response.headers.Set(kOutcomeHeader, OutcomeName(error.outcome));
  if (error.retry_after > Duration::zero()) {
    response.headers.Set("Retry-After",
                         absl::StrCat(RoundUpSeconds(error.retry_after)));
  }
  return response;
}

HttpResponse MakeHttpErrorResponse(const HttpFault& fault) {
  RouterError error{.status = fault.status,
                    .code = fault.code,
                    .message = fault.message,
                    .step = "http.read"};
  if (fault.status == 503) {
    error.retry_after = std::chrono::seconds(1);
  }
  return MakeErrorResponse(error);
}

RouterError ErrorOfRejection(const Rejection& rejection) {
  const RejectionRow& row = FindRejectionRow(rejection.reason);
  return {.status = row.status,
          .code = RejectionReasonName(rejection.reason),
          .message = row.message,
          .step = "admission",
          .outcome = rejection.outcome,
          .retry_after = rejection.retry_after};
}

}  // namespace papaya
