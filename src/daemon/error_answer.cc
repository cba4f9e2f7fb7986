#include "src/daemon/error_answer.h"

#include <array>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <utility>

#include "absl/strings/str_cat.h"

namespace papaya {

namespace {

struct RefusalRow {
  RejectionReason reason;
  int status;
  const char* message;
};

constexpr std::array<RefusalRow, 5> kRefusalRows = {{
    {RejectionReason::kNoUpstream, 503, "no upstream can serve the request"},
    {RejectionReason::kQueueFull, 429, "too many requests wait already"},
    {RejectionReason::kShed, 429, "gave way to more important requests"},
    {RejectionReason::kDeadline, 504, "could not begin in time"},
    {RejectionReason::kAttemptsFailed, 502, "the upstream failed"},
}};

const RefusalRow& FindRow(RejectionReason reason) {
  for (const RefusalRow& row : kRefusalRows) {
    if (row.reason == reason) {
      return row;
    }
  }
  return kRefusalRows.back();
}

int64_t RoundUpSeconds(Duration duration) {
  return std::chrono::ceil<std::chrono::seconds>(duration).count();
}

}  // namespace

ErrorAnswer AnswerToVerdict(const OnceDecision& verdict) {
  ErrorAnswer answer{.status = 503,
                     .code = OnceReasonName(verdict.reason),
                     .message = "this request must not run twice",
                     .step = "once.decide",
                     .outcome = verdict.outcome};
  switch (verdict.reason) {
    case OnceReason::kRepeated:
      answer.status = verdict.outcome == Outcome::kRan ? 200 : 409;
      answer.message = "an earlier attempt has ended with this outcome";
      break;
    case OnceReason::kInProgress:
      answer.status = 409;
      answer.message = "an earlier attempt is still under way";
      break;
    case OnceReason::kExpired:
      answer.status = 409;
      answer.message = "the ticket was not used in time";
      break;
    case OnceReason::kTableFull:
      answer.status = 429;
      answer.message = "too many keys are remembered now";
      answer.retry_after = std::chrono::seconds(1);
      break;
    case OnceReason::kStoreUnavailable:
      answer.message =
          "the Object API gives no answer; requests with a ticket go on";
      answer.retry_after = std::chrono::seconds(1);
      break;
    case OnceReason::kNone:
    case OnceReason::kForgotten:
    case OnceReason::kIssuerDead:
    case OnceReason::kClaimerDead:
    case OnceReason::kClaimerUnreachable:
      answer.status = 502;
      answer.message = "nobody knows any more whether it has run";
      break;
  }
  return answer;
}

HttpResponse MakeErrorResponse(const ErrorAnswer& error) {
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

HttpResponse MakeFaultResponse(const HttpFault& fault) {
  ErrorAnswer answer{.status = fault.status,
                     .code = fault.code,
                     .message = fault.message,
                     .step = "http.read"};
  if (fault.status == 503) {
    answer.retry_after = std::chrono::seconds(1);
  }
  return MakeErrorResponse(answer);
}

ErrorAnswer AnswerToRefusal(const Rejection& refusal) {
  const RefusalRow& row = FindRow(refusal.reason);
  return {.status = row.status,
          .code = RejectionReasonName(refusal.reason),
          .message = row.message,
          .step = "admission",
          .outcome = refusal.outcome,
          .retry_after = refusal.retry_after};
}

}  // namespace papaya
