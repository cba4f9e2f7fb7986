#include "bench/scheduling_run.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <future>
#include <iterator>

namespace papaya::bench {

namespace {

constexpr double kStragglerSlowness = 4.0;
constexpr Duration kDeathDetectionTime = std::chrono::seconds(5);
// Long enough for the longest answer to end.
constexpr Duration kDrainTime = std::chrono::minutes(30);
constexpr Duration kDrainStep = std::chrono::seconds(5);

void AddFaults(FakeFleet* fleet, Duration duration) {
  fleet->loop().After(duration / 4, [fleet] {
    for (size_t i = 0; i < fleet->engine_count(); i += 4) {
      fleet->engine(i).SetSlowness(kStragglerSlowness);
    }
  });
  fleet->loop().After(duration / 2,
                      [fleet] { fleet->KillRouter(1, kDeathDetectionTime); });
}

// Returns true if some request may still be answered in time.
bool CanStillMeetDeadline(const FakeFleet& fleet, TimePoint now) {
  return std::any_of(
      fleet.records().begin(), fleet.records().end(), [now](const auto& item) {
        const FleetRecord& record = item.second;
        return record.ends == 0 && (record.spec.deadline > now ||
                                    (record.began.has_value() &&
                                     *record.began <= record.spec.deadline));
      });
}

// Returns the fraction of the requests selected by `is_counted` that were
// answered in time.
double GoodputFractionIf(
    const FakeFleet& fleet,
    const std::function<bool(const RequestSpec&)>& is_counted) {
  double offered = 0.0;
  double good = 0.0;
  for (const auto& [id, record] : fleet.records()) {
    if (is_counted(record.spec)) {
      offered += 1.0;
      good += record.IsGood() ? 1.0 : 0.0;
    }
  }
  return offered > 0.0 ? good / offered : 1.0;
}

}  // namespace

std::unique_ptr<FakeFleet> RunFleet(const SchedulingRun& run, uint64_t seed) {
  std::unique_ptr<FakeFleet> fleet =
      MakeFleet(run.site, run.policy, run.parts, run.links, seed);
  FakeTraffic traffic(&run.site, fleet.get(), run.load, seed + 1);
  if (run.prepare) {
    run.prepare(fleet.get(), &traffic);
  }
  if (run.has_faults) {
    AddFaults(fleet.get(), run.duration);
  }
  const TimePoint end = fleet->loop().now() + run.duration;
  traffic.Start(end);
  fleet->loop().RunUntil(end);
  const TimePoint drain_limit = end + kDrainTime;
  while (fleet->loop().now() < drain_limit &&
         CanStillMeetDeadline(*fleet, fleet->loop().now())) {
    fleet->loop().RunUntil(fleet->loop().now() + kDrainStep);
  }
  return fleet;
}

std::vector<double> MeansOverSeeds(
    const std::function<std::vector<double>(uint64_t seed)>& body) {
  constexpr size_t kThreads = 4;
  std::array<std::vector<double>, std::size(kSeeds)> results;
  std::atomic<size_t> next = 0;
  const auto work = [&body, &results, &next] {
    for (size_t i = next++; i < results.size(); i = next++) {
      results[i] = body(kSeeds[i]);
    }
  };
  std::vector<std::future<void>> workers;
  for (size_t i = 0; i < kThreads; ++i) {
    workers.push_back(std::async(std::launch::async, work));
  }
  for (std::future<void>& worker : workers) {
    worker.get();
  }
  std::vector<double> means(results.front().size(), 0.0);
  for (const std::vector<double>& values : results) {
    for (size_t i = 0; i < means.size(); ++i) {
      means[i] += values[i] / static_cast<double>(results.size());
    }
  }
  return means;
}

double MeanOverSeeds(const std::function<double(uint64_t seed)>& body) {
  return MeansOverSeeds(
             [&body](uint64_t seed) { return std::vector<double>{body(seed)}; })
      .front();
}

double GoodputFraction(const FakeFleet& fleet, Tier tier) {
  return GoodputFractionIf(
      fleet, [tier](const RequestSpec& spec) { return spec.tier == tier; });
}

double GoodputFractionOnEngines(const FakeFleet& fleet, Tier tier) {
  return GoodputFractionIf(fleet, [tier](const RequestSpec& spec) {
    return spec.tier == tier && spec.prompt_tokens.value() > 0;
  });
}

double GoodputTokens(const FakeFleet& fleet) {
  double tokens = 0.0;
  for (const auto& [id, record] : fleet.records()) {
    tokens += record.IsGood() && record.spec.prompt_tokens.value() > 0
                  ? record.Value()
                  : 0.0;
  }
  return tokens;
}

double CountShedBeforeLower(const FakeFleet& fleet) {
  double count = 0.0;
  for (const auto& [id, record] : fleet.records()) {
    count += record.spec.tier == Tier::kCritical && record.is_shed_before_lower
                 ? 1.0
                 : 0.0;
  }
  return count;
}

double FirstTokenP95(const FakeFleet& fleet) {
  std::vector<double> seconds;
  for (const auto& [id, record] : fleet.records()) {
    if (record.first_token.has_value() &&
        record.spec.prompt_tokens.value() > 0) {
      seconds.push_back(ToSeconds(*record.first_token - record.spec.arrival));
    }
  }
  if (seconds.empty()) {
    return 0.0;
  }
  std::sort(seconds.begin(), seconds.end());
  return seconds[seconds.size() * 95 / 100];
}

}  // namespace papaya::bench
