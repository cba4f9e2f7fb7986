#include <algorithm>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "bench/measure.h"
#include "bench/scheduling_run.h"
#include "bench/straggler_time.h"

namespace papaya::bench {
namespace {

// The load of the routing measures, as a fraction of the capacity.
constexpr double kLoad = 0.8;

std::vector<FakeSite> Sites() {
  return {MakeSkokan(), MakeWadiRum()};
}

double MeanFirstTokenP95(const FakeSite& site, PolicyKind policy) {
  const SchedulingRun run{.site = site, .policy = policy, .load = kLoad};
  return MeanOverSeeds(
      [&run](uint64_t seed) { return FirstTokenP95(*RunFleet(run, seed)); });
}

std::vector<Measurement> RunFirstToken() {
  std::vector<Measurement> figures;
  for (const FakeSite& site : Sites()) {
    const double scheduler = MeanFirstTokenP95(site, PolicyKind::kScheduler);
    const double least_outstanding =
        MeanFirstTokenP95(site, PolicyKind::kLeastOutstanding);
    const double round_robin = MeanFirstTokenP95(site, PolicyKind::kRoundRobin);
    const double full_knowledge =
        MeanFirstTokenP95(site, PolicyKind::kFullKnowledge);
    const std::string name = "routing.ttft_p95[" + site.name;
    figures.push_back({.name = name + ",seconds]",
                       .value = scheduler,
                       .unit = "s",
                       .baseline = round_robin,
                       .seeds = 5});
    figures.push_back({.name = name + ",to_least_outstanding]",
                       .value = scheduler / least_outstanding,
                       .unit = "ratio",
                       .baseline = 1.0,
                       .target = 0.6,
                       .better = Better::kLower,
                       .seeds = 5});
    figures.push_back({.name = name + ",to_full_knowledge]",
                       .value = scheduler / full_knowledge,
                       .unit = "ratio",
                       .baseline = least_outstanding / full_knowledge,
                       .target = 1.3,
                       .better = Better::kLower,
                       .seeds = 5});
  }
  return figures;
}

std::vector<Measurement> RunWastedPrefill() {
  std::vector<Measurement> figures;
  for (const FakeSite& site : Sites()) {
    SchedulingRun run{.site = site, .load = kLoad};
    const auto wasted = [&run](PolicyKind policy) {
      run.policy = policy;
      return MeanOverSeeds([&run](uint64_t seed) {
        return RunFleet(run, seed)->wasted_prefill();
      });
    };
    const double no_affinity = wasted(PolicyKind::kNoAffinity);
    figures.push_back({.name = "routing.wasted_prefill[" + site.name + "]",
                       .value = wasted(PolicyKind::kScheduler),
                       .unit = "tokens",
                       .baseline = no_affinity,
                       .target = no_affinity / 3.0,
                       .better = Better::kLower,
                       .seeds = 5});
  }
  return figures;
}

std::vector<Measurement> RunStraggler() {
  std::vector<Measurement> figures;
  for (const FakeSite& site : Sites()) {
    const auto seconds = [&site](PolicyKind policy) {
      return MeanOverSeeds([&site, policy](uint64_t seed) {
        return StragglerSeconds({.site = site, .policy = policy, .load = kLoad},
                                seed);
      });
    };
    figures.push_back({.name = "routing.straggler[" + site.name + "]",
                       .value = seconds(PolicyKind::kScheduler),
                       .unit = "s",
                       .baseline = seconds(PolicyKind::kLeastOutstanding),
                       .target = 5.0,
                       .better = Better::kLower,
                       .seeds = 5});
  }
  return figures;
}

// Returns the seconds from the first sign that an upstream is leaving to the
// last dispatch to it. The first sign is the notice, if there is one, or the
// first dispatch that the leaving upstream refuses, whichever comes first.
double SecondsOfNewWork(const FakeSite& site, bool has_notice, uint64_t seed) {
  constexpr size_t kEngine = 2;
  constexpr Duration kWarmUp = std::chrono::seconds(60);
  constexpr Duration kNotice = std::chrono::milliseconds(500);
  SchedulingRun run{.site = site, .load = kLoad};
  run.links.report_loss = 0.1;
  TimePoint leave_time;
  run.prepare = [&](FakeFleet* fleet, FakeTraffic*) {
    leave_time = fleet->loop().now() + kWarmUp;
    fleet->loop().After(kWarmUp, [fleet, has_notice, kNotice] {
      fleet->Leave(kEngine, has_notice ? std::optional(kNotice) : std::nullopt);
    });
  };
  const auto fleet = RunFleet(run, seed);
  TimePoint first = has_notice ? leave_time + kNotice : TimePoint::max();
  TimePoint last = leave_time;
  for (const auto& [id, record] : fleet->records()) {
    for (size_t i = 0; i < record.dispatched.size(); ++i) {
      if (record.dispatched[i] == kEngine &&
          record.dispatch_times[i] > leave_time) {
        first = std::min(first, record.dispatch_times[i]);
        last = std::max(last, record.dispatch_times[i]);
      }
    }
  }
  return last > first ? ToSeconds(last - first) : 0.0;
}

std::vector<Measurement> RunDrain() {
  std::vector<Measurement> figures;
  for (const FakeSite& site : Sites()) {
    for (bool has_notice : {false, true}) {
      double worst = 0.0;
      for (uint64_t seed : kSeeds) {
        worst = std::max(worst, SecondsOfNewWork(site, has_notice, seed));
      }
      figures.push_back(
          {.name = absl::StrCat("drain.last_new_work[", site.name, ",",
                                has_notice ? "notice" : "own_answer", "]"),
           .value = worst,
           .unit = "s",
           .target = 3.0,
           .better = Better::kLower,
           .seeds = 5});
    }
  }
  return figures;
}

const bool kFirstToken = RegisterMeasure({"routing.ttft_p95", &RunFirstToken});
const bool kWastedPrefill =
    RegisterMeasure({"routing.wasted_prefill", &RunWastedPrefill});
const bool kStraggler = RegisterMeasure({"routing.straggler", &RunStraggler});
const bool kDrain = RegisterMeasure({"drain.last_new_work", &RunDrain});

}  // namespace
}  // namespace papaya::bench
