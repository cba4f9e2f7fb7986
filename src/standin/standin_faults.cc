#include "include/standin/standin_faults.h"

#include <boost/json.hpp>
#include <functional>
#include <map>

#include "absl/strings/str_cat.h"
#include "include/base/error.h"
#include "include/base/json_object.h"

namespace papaya {

namespace {

namespace json = boost::json;

constexpr double kMaxMs = 3'600'000;
constexpr double kMaxSlowFactor = 1000;
constexpr int64_t kNsPerMs = 1'000'000;

// Sets one fault from a JSON value. Returns false if the value is invalid.
using FaultReader = std::function<bool(const json::value&, StandinFaults&)>;

bool ReadNumber(const json::value& value, double max_value, double& number) {
  boost::system::error_code error;
  const double read = value.to_number<double>(error);
  if (error || read < 0 || read > max_value) {
    return false;
  }
  number = read;
  return true;
}

FaultReader MillisecondsReader(Duration StandinFaults::*member) {
  return [member](const json::value& value, StandinFaults& faults) {
    double ms = 0;
    if (!ReadNumber(value, kMaxMs, ms)) {
      return false;
    }
    faults.*member = SecondsToDuration(ms / 1000);
    return true;
  };
}

FaultReader PermilleReader(Permille StandinFaults::*member) {
  return [member](const json::value& value, StandinFaults& faults) {
    double permille = 0;
    if (!ReadNumber(value, 1000, permille)) {
      return false;
    }
    faults.*member = Permille(static_cast<int32_t>(permille));
    return true;
  };
}

FaultReader BoolReader(bool StandinFaults::*member) {
  return [member](const json::value& value, StandinFaults& faults) {
    if (!value.is_bool()) {
      return false;
    }
    faults.*member = value.as_bool();
    return true;
  };
}

bool ReadSlowFactor(const json::value& value, StandinFaults& faults) {
  double factor = 0;
  if (!ReadNumber(value, kMaxSlowFactor, factor) || factor <= 0) {
    return false;
  }
  faults.slow_factor = factor;
  return true;
}

const std::map<std::string, FaultReader>& FaultReaders() {
  using F = StandinFaults;
  static const std::map<std::string, FaultReader>& keys =
      *new std::map<std::string, FaultReader>{
          {"delay_ms", MillisecondsReader(&F::delay)},
          {"slow_factor", ReadSlowFactor},
          {"failing_permille", PermilleReader(&F::failing)},
          {"hanging_permille", PermilleReader(&F::hanging)},
          {"cutting_permille", PermilleReader(&F::cutting)},
          {"lost_answers_permille", PermilleReader(&F::lost_answers)},
          {"outage", BoolReader(&F::outage)},
          {"report_lag_ms", MillisecondsReader(&F::report_lag)},
          {"ignore_fencing", BoolReader(&F::ignore_fencing)},
          {"leaving", BoolReader(&F::leaving)},
      };
  return keys;
}

absl::Status FaultsError(const std::string& message) {
  return MakeError(absl::StatusCode::kInvalidArgument,
                   {.step = "standin.faults", .peer = ""}, message);
}

}  // namespace

absl::Status ApplyFaultsJson(const std::string& text, StandinFaults& faults) {
  const std::optional<json::object> parsed = ParseJsonObject(text);
  if (!parsed.has_value()) {
    return FaultsError("expected a JSON object");
  }
  StandinFaults changed = faults;
  for (const json::key_value_pair& pair : *parsed) {
    const std::string name(pair.key());
    const auto key = FaultReaders().find(name);
    if (key == FaultReaders().end()) {
      return FaultsError(absl::StrCat("unknown key `", name, "`"));
    }
    if (!key->second(pair.value(), changed)) {
      return FaultsError(absl::StrCat("`", name, "` has an invalid value: ",
                                      json::serialize(pair.value())));
    }
  }
  faults = changed;
  return absl::OkStatus();
}

std::string FaultsToJson(const StandinFaults& faults) {
  return json::serialize(json::object{
      {"delay_ms", faults.delay.count() / kNsPerMs},
      {"slow_factor", faults.slow_factor},
      {"failing_permille", faults.failing.value()},
      {"hanging_permille", faults.hanging.value()},
      {"cutting_permille", faults.cutting.value()},
      {"lost_answers_permille", faults.lost_answers.value()},
      {"outage", faults.outage},
      {"report_lag_ms", faults.report_lag.count() / kNsPerMs},
      {"ignore_fencing", faults.ignore_fencing},
      {"leaving", faults.leaving},
  });
}

}  // namespace papaya
