#include "include/standin/load_tally.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>

namespace papaya {

namespace {

namespace json = boost::json;

// Returns the quantile `part` (0 to 1) of the sorted `values` in milliseconds.
double PercentileMs(const std::vector<Duration>& values, double part) {
  if (values.empty()) {
    return 0;
  }
  const double last = static_cast<double>(values.size() - 1);
  const size_t index = static_cast<size_t>(std::lround(part * last));
  return ToSeconds(values[index]) * 1000;
}

json::object PercentilesJson(std::vector<Duration> values) {
  std::sort(values.begin(), values.end());
  return {{"p50", PercentileMs(values, 0.5)},
          {"p95", PercentileMs(values, 0.95)}};
}

}  // namespace

const char* CallOutcomeName(CallOutcome end) {
  constexpr std::array<const char*, kCallOutcomeCount> kNames = {
      "whole", "not_run", "unknown", "failed", "wrong", "cut"};
  return kNames[static_cast<size_t>(end)];
}

void LoadTally::Add(const CallResult& result) {
  ++counts_[static_cast<size_t>(result.kind)][static_cast<size_t>(result.end)];
  retries_ += static_cast<uint64_t>(result.retries);
  if (!result.key.empty()) {
    bookings_[result.key] = result.end;
  }
  if (!result.version.empty() && result.kind != LoadKind::kBooking) {
    const int64_t second =
        std::chrono::duration_cast<std::chrono::seconds>(result.at).count();
    ++versions_[second][result.version];
  }
  if (result.first_token > Duration::zero()) {
    first_tokens_.push_back(result.first_token);
  }
  gaps_.insert(gaps_.end(), result.gaps.begin(), result.gaps.end());
}

uint64_t LoadTally::Count(LoadKind kind, CallOutcome end) const {
  return counts_[static_cast<size_t>(kind)][static_cast<size_t>(end)];
}

std::string LoadTally::ToJson() const {
  json::object by_tier;
  uint64_t calls = 0;
  uint64_t whole = 0;
  for (const LoadKind kind : kAllLoadKinds) {
    json::object ends;
    uint64_t sent = 0;
    for (size_t end = 0; end < kCallOutcomeCount; ++end) {
      const uint64_t count = Count(kind, static_cast<CallOutcome>(end));
      ends[CallOutcomeName(static_cast<CallOutcome>(end))] = count;
      sent += count;
    }
    ends["sent"] = sent;
    calls += sent;
    whole += Count(kind, CallOutcome::kWhole);
    by_tier[TierName(TierOfLoadKind(kind))] = ends;
  }
  json::array versions;
  for (const auto& [second, by_version] : versions_) {
    json::object row = {{"second", second}};
    for (const auto& [version, count] : by_version) {
      row[version] = count;
    }
    versions.push_back(row);
  }
  return json::serialize(
      json::object{{"calls", calls},
                   {"whole", whole},
                   {"by_tier", by_tier},
                   {"retries", retries_},
                   {"versions", versions},
                   {"first_token_ms", PercentilesJson(first_tokens_)},
                   {"between_tokens_ms", PercentilesJson(gaps_)}});
}

}  // namespace papaya
