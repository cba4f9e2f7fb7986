// Measures of release notes: whether bad versions are rolled back and good ones
// are rolled out in time, for both deployments, compared with a fixed canary.

#include <atomic>
#include <functional>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "bench/measure.h"
#include "bench/rollout_scenario.h"

namespace papaya::bench {

namespace {

constexpr int kSeeds = 20;
constexpr size_t kThreads = 4;

constexpr ScenarioKind kBadKinds[] = {
    ScenarioKind::kFailsAtOnce,     ScenarioKind::kSlowAtOnce,
    ScenarioKind::kFailsLater,      ScenarioKind::kFailsUnderLoad,
    ScenarioKind::kFailsOnOneRoute, ScenarioKind::kSlowDecay};
constexpr ScenarioKind kGoodKinds[] = {
    ScenarioKind::kGoodInNoise, ScenarioKind::kGoodOneBadVm,
    ScenarioKind::kGoodInOverload, ScenarioKind::kGoodWithStraggler,
    ScenarioKind::kGoodInStoreOutage};

// The results of one scenario for all seeds, with release notes (`ours`) and
// with the fixed canary (`baseline`).
struct Runs {
  std::vector<RunResult> ours;
  std::vector<RunResult> baseline;
};

// Runs `job(0)` to `job(count - 1)` on a few threads.
void RunJobs(size_t count, const std::function<void(size_t)>& job) {
  std::atomic<size_t> next = 0;
  std::vector<std::thread> threads;
  for (size_t i = 0; i < kThreads; ++i) {
    threads.emplace_back([&next, &job, count] {
      for (size_t index = next++; index < count; index = next++) {
        job(index);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

// Returns a name such as `[skokan,fails_at_once,large]`.
std::string ScenarioName(const Scenario& scenario) {
  const char* const effect =
      scenario.IsBad() ? (scenario.is_large ? ",large" : ",small") : "";
  return absl::StrCat("[", scenario.deployment.name, ",",
                      ScenarioKindName(scenario.kind), effect, "]");
}

std::vector<Scenario> AllScenarios() {
  std::vector<Scenario> scenarios;
  for (const Deployment& deployment : Deployments()) {
    for (const ScenarioKind kind : kBadKinds) {
      for (const bool is_large : {true, false}) {
        scenarios.push_back({deployment, kind, is_large, 0});
      }
    }
    for (const ScenarioKind kind : kGoodKinds) {
      scenarios.push_back({deployment, kind, true, 0});
    }
  }
  return scenarios;
}

// Returns the results of `scenario` for all seeds. Each scenario is run only
// once per process, for all its measures.
const Runs& RunsOf(const Scenario& scenario) {
  static std::map<std::string, Runs> all;
  const auto [place, is_new] = all.try_emplace(ScenarioName(scenario));
  Runs& runs = place->second;
  if (is_new) {
    runs.ours.resize(kSeeds);
    runs.baseline.resize(kSeeds);
    RunJobs(kSeeds, [&runs, &scenario](size_t index) {
      Scenario seeded = scenario;
      seeded.seed = index + 1;
      runs.ours[index] = RunScenario(seeded);
      runs.baseline[index] = RunBaseline(seeded);
    });
  }
  return runs;
}

using Value = std::function<double(const RunResult&)>;

double Mean(const std::vector<RunResult>& results, const Value& value) {
  double sum = 0.0;
  for (const RunResult& result : results) {
    sum += value(result);
  }
  return sum / static_cast<double>(results.size());
}

double RolledBackPercent(const RunResult& result) {
  return result.is_rolled_back ? 100.0 : 0.0;
}

double OnTimePercent(const RunResult& result) {
  return result.is_done && result.is_on_time ? 100.0 : 0.0;
}

double ExposurePercent(const RunResult& result) {
  return 100.0 * result.exposure;
}

// Returns true if a bad version of this kind is worse from its first request
// on.
bool IsImmediate(ScenarioKind kind) {
  return kind == ScenarioKind::kFailsAtOnce ||
         kind == ScenarioKind::kSlowAtOnce ||
         kind == ScenarioKind::kFailsOnOneRoute;
}

// Registers a measure of one scenario. Each scenario has its own, so that its
// figure is printed as soon as its runs have finished.
void RegisterFigure(const std::string& name,
                    const Scenario& scenario,
                    double target,
                    Better better,
                    const Value& value) {
  const std::string full_name = absl::StrCat(name, ScenarioName(scenario));
  RegisterMeasure({full_name, [=]() -> std::vector<Measurement> {
                     const Runs& runs = RunsOf(scenario);
                     Measurement figure;
                     figure.name = full_name;
                     figure.value = Mean(runs.ours, value);
                     figure.baseline = Mean(runs.baseline, value);
                     figure.unit = "percent";
                     figure.target = target;
                     figure.better = better;
                     figure.seeds = kSeeds;
                     return {figure};
                   }});
}

bool RegisterFigures() {
  for (const Scenario& scenario : AllScenarios()) {
    if (!scenario.IsBad()) {
      RegisterFigure("rollout.good_on_time", scenario, 98.0, Better::kHigher,
                     &OnTimePercent);
      RegisterFigure("rollout.good_taken_back", scenario, 1.0, Better::kLower,
                     &RolledBackPercent);
      continue;
    }
    RegisterFigure("rollout.bad_taken_back", scenario,
                   scenario.is_large ? 100.0 : 95.0, Better::kHigher,
                   &RolledBackPercent);
    if (IsImmediate(scenario.kind)) {
      RegisterFigure("rollout.bad_exposure", scenario, 1.0, Better::kLower,
                     &ExposurePercent);
    }
  }
  return true;
}

// Returns the sum of `value` over all runs of all scenarios. The target is 0.
Measurement CountAll(const std::string& name, const Value& value) {
  Measurement figure;
  figure.name = name;
  figure.unit = "count";
  figure.target = 0.0;
  figure.better = Better::kLower;
  figure.seeds = kSeeds;
  for (const Scenario& scenario : AllScenarios()) {
    figure.value += Mean(RunsOf(scenario).ours, value) * kSeeds;
  }
  return figure;
}

std::vector<Measurement> RunStatusWrong() {
  return {CountAll("rollout.told_wrong", [](const RunResult& result) {
    return result.is_status_wrong ? 1.0 : 0.0;
  })};
}

std::vector<Measurement> RunStuck() {
  return {CountAll("rollout.stuck", [](const RunResult& result) {
    return result.is_stuck ? 1.0 : 0.0;
  })};
}

std::vector<Measurement> RunStaleOrders() {
  return {CountAll("rollout.stale_orders_left", [](const RunResult& result) {
    return static_cast<double>(result.stale_engines);
  })};
}

const bool kRegistered[] = {
    RegisterFigures(),
    RegisterMeasure({"rollout.told_wrong", &RunStatusWrong}),
    RegisterMeasure({"rollout.stuck", &RunStuck}),
    RegisterMeasure({"rollout.stale_orders_left", &RunStaleOrders}),
};

}  // namespace

}  // namespace papaya::bench
