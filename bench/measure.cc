#include "bench/measure.h"

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_format.h"

namespace papaya::bench {

namespace {

constexpr int kTimedBatches = 5;
constexpr std::chrono::milliseconds kMinBatchTime{20};

std::vector<Measure>& AllMeasures() {
  static std::vector<Measure> measures;
  return measures;
}

std::string FormatOptional(const std::optional<double>& value) {
  return value.has_value() ? absl::StrFormat("%.6g", *value) : "none";
}

bool MissesTarget(const Measurement& measurement) {
  if (!measurement.target.has_value()) {
    return false;
  }
  switch (measurement.better) {
    case Better::kHigher:
      return !(measurement.value >= *measurement.target);
    case Better::kLower:
      return !(measurement.value <= *measurement.target);
    case Better::kNone:
      return false;
  }
  return false;
}

bool IsSelected(const Measure& measure,
                const std::vector<std::string>& prefixes) {
  if (prefixes.empty()) {
    return true;
  }
  return std::any_of(prefixes.begin(), prefixes.end(),
                     [&measure](const std::string& prefix) {
                       return absl::StartsWith(measure.name, prefix) ||
                              absl::StartsWith(prefix, measure.name);
                     });
}

}  // namespace

std::string FormatMeasurement(const Measurement& measurement) {
  return absl::StrFormat(
      "measure=%s value=%.6g unit=%s baseline=%s target=%s verdict=%s seeds=%d",
      measurement.name, measurement.value, measurement.unit,
      FormatOptional(measurement.baseline), FormatOptional(measurement.target),
      MissesTarget(measurement) ? "short" : "ok", measurement.seeds);
}

bool RegisterMeasure(Measure measure) {
  AllMeasures().push_back(std::move(measure));
  return true;
}

std::vector<Measure> FindMeasures(const std::vector<std::string>& prefixes) {
  std::vector<Measure> found;
  for (const Measure& measure : AllMeasures()) {
    if (IsSelected(measure, prefixes)) {
      found.push_back(measure);
    }
  }
  std::sort(found.begin(), found.end(),
            [](const Measure& a, const Measure& b) { return a.name < b.name; });
  return found;
}

double TimePerCallNs(const std::function<void()>& body) {
  using Clock = std::chrono::steady_clock;
  double best = 0.0;
  for (int batch = 0; batch < kTimedBatches; ++batch) {
    int64_t calls = 0;
    const Clock::time_point start = Clock::now();
    Clock::duration elapsed{};
    while (elapsed < kMinBatchTime) {
      body();
      ++calls;
      elapsed = Clock::now() - start;
    }
    const double ns = std::chrono::duration<double, std::nano>(elapsed).count();
    const double mean = ns / static_cast<double>(calls);
    best = batch == 0 ? mean : std::min(best, mean);
  }
  return best;
}

int64_t LiveHeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<int64_t>(info.uordblks + info.hblkhd);
}

}  // namespace papaya::bench
