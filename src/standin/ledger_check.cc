#include "include/standin/ledger_check.h"

#include <boost/json.hpp>

#include "include/base/error.h"

namespace papaya {

namespace {

namespace json = boost::json;

absl::Status LedgerError() {
  return MakeError(absl::StatusCode::kInvalidArgument,
                   {.step = "ledger.parse", .peer = ""},
                   "expected a JSON object `runs` with integer counts");
}

}  // namespace

LedgerCheck CheckLedger(const std::map<std::string, CallOutcome>& outcomes,
                        const std::map<std::string, uint64_t>& runs) {
  LedgerCheck check;
  for (const auto& [key, end] : outcomes) {
    const auto run = runs.find(key);
    const uint64_t count = run == runs.end() ? 0 : run->second;
    if (count > 1) {
      ++check.repeated;
    } else if (end == CallOutcome::kWhole) {
      ++(count == 1 ? check.once : check.confirmed_without_run);
    }
    if (end == CallOutcome::kNotRun && count > 0) {
      ++check.wrong_not_run;
    }
  }
  return check;
}

absl::Status AddLedger(const std::string& body,
                       std::map<std::string, uint64_t>& runs) {
  boost::system::error_code error;
  const json::value parsed = json::parse(body, error);
  const json::value* listed =
      error ? nullptr : parsed.find_pointer("/runs", error);
  if (listed == nullptr || !listed->is_object()) {
    return LedgerError();
  }
  for (const json::key_value_pair& run : listed->as_object()) {
    const uint64_t count = run.value().to_number<uint64_t>(error);
    if (error) {
      return LedgerError();
    }
    runs[std::string(run.key())] += count;
  }
  return absl::OkStatus();
}

}  // namespace papaya
