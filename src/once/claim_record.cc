#include "src/once/claim_record.h"

#include <boost/json.hpp>

#include "include/base/error.h"
#include "include/base/json_object.h"

namespace papaya {

namespace {

constexpr char kRouter[] = "router";
constexpr char kIncarnation[] = "incarnation";
constexpr char kClaimedAt[] = "claimed_at_ms";
constexpr char kNotRun[] = "not_run";

absl::Status InvalidClaimRecordError() {
  return MakeError(
      absl::StatusCode::kDataLoss, {.step = "claim.decode"},
      "value is not a claim record: expected a JSON object with router, "
      "incarnation, claimed_at_ms and not_run");
}

}  // namespace

std::string EncodeClaimRecord(const ClaimRecord& record) {
  const boost::json::object object = {
      {kRouter, record.router.value()},
      {kIncarnation, record.incarnation.value()},
      {kClaimedAt, record.claimed_at.time_since_epoch().count()},
      {kNotRun, record.is_not_run}};
  return boost::json::serialize(object);
}

absl::StatusOr<ClaimRecord> DecodeClaimRecord(const std::string& text) {
  const std::optional<boost::json::object> parsed = ParseJsonObject(text);
  if (!parsed.has_value()) {
    return InvalidClaimRecordError();
  }
  const boost::json::object& object = *parsed;
  const boost::json::value* router = object.if_contains(kRouter);
  const boost::json::value* incarnation = object.if_contains(kIncarnation);
  const boost::json::value* claimed_at = object.if_contains(kClaimedAt);
  const boost::json::value* not_run = object.if_contains(kNotRun);
  if (router == nullptr || incarnation == nullptr || claimed_at == nullptr ||
      not_run == nullptr || !router->is_string() || !not_run->is_bool()) {
    return InvalidClaimRecordError();
  }
  boost::json::error_code incarnation_error;
  boost::json::error_code time_error;
  const uint64_t number = incarnation->to_number<uint64_t>(incarnation_error);
  const int64_t time_ms = claimed_at->to_number<int64_t>(time_error);
  if (incarnation_error || time_error) {
    return InvalidClaimRecordError();
  }
  return ClaimRecord{.router = RouterId(std::string(router->as_string())),
                     .incarnation = Incarnation(number),
                     .claimed_at = WallTime(std::chrono::milliseconds(time_ms)),
                     .is_not_run = not_run->as_bool()};
}

}  // namespace papaya
