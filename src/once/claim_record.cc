#include "src/once/claim_record.h"

#include <boost/json.hpp>

#include "include/base/error.h"

namespace papaya {

namespace {

constexpr char kRouter[] = "router";
constexpr char kIncarnation[] = "incarnation";
constexpr char kNotRun[] = "not_run";

}  // namespace

std::string EncodeClaimRecord(const ClaimRecord& record) {
  const boost::json::object object = {
      {kRouter, record.router.value()},
      {kIncarnation, record.incarnation.value()},
      {kNotRun, record.is_not_run}};
  return boost::json::serialize(object);
}

absl::StatusOr<ClaimRecord> DecodeClaimRecord(const std::string& text) {
  boost::json::error_code error;
  const boost::json::value value = boost::json::parse(text, error);
  const boost::json::object* object = error ? nullptr : value.if_object();
  const boost::json::value* router =
      object == nullptr ? nullptr : object->if_contains(kRouter);
  const boost::json::value* incarnation =
      object == nullptr ? nullptr : object->if_contains(kIncarnation);
  const boost::json::value* not_run =
      object == nullptr ? nullptr : object->if_contains(kNotRun);
  const bool is_whole = router != nullptr && router->is_string() &&
                        incarnation != nullptr && incarnation->is_number() &&
                        not_run != nullptr && not_run->is_bool();
  if (!is_whole) {
    return MakeError(absl::StatusCode::kDataLoss, {.step = "claim.decode"},
                     "is no claim record");
  }
  boost::json::error_code number_error;
  const uint64_t number = incarnation->to_number<uint64_t>(number_error);
  if (number_error) {
    return MakeError(absl::StatusCode::kDataLoss, {.step = "claim.decode"},
                     "has no valid incarnation");
  }
  return ClaimRecord{.router = RouterId(std::string(router->as_string())),
                     .incarnation = Incarnation(number),
                     .is_not_run = not_run->as_bool()};
}

}  // namespace papaya
