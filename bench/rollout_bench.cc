// Measures of release notes: whether bad versions are taken back and good ones
// are moved in time, for both deployments, against a fixed canary.

#include <atomic>
#include <functional>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "bench/measure.h"
#include "bench/rollout_scenario.h"

namespace papaya::bench {

namespace {

constexpr int kSeeds = 20;
constexpr size_t kThreads = 4;

constexpr Kind kBadKinds[] = {Kind::kFailsAtOnce,     Kind::kSlowAtOnce,
                              Kind::kFailsLater,      Kind::kFailsUnderLoad,
                              Kind::kFailsOnOneRoute, Kind::kSlowDecay};
constexpr Kind kGoodKinds[] = {Kind::kGoodInNoise, Kind::kGoodOneBadVm,
                               Kind::kGoodInOverload, Kind::kGoodWithStraggler,
                               Kind::kGoodInStoreOutage};

// The runs of one scenario over all seeds, ours and the baseline's.
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

std::vector<Scenario> AllScenarios() {
  std::vector<Scenario> scenarios;
  for (const Deployment& deployment : Deployments()) {
    for (const Kind kind : kBadKinds) {
      for (const bool is_large : {true, false}) {
        scenarios.push_back({deployment, kind, is_large, 0});
      }
    }
    for (const Kind kind : kGoodKinds) {
      scenarios.push_back({deployment, kind, true, 0});
    }
  }
  return scenarios;
}

// All runs, once for all measures of one process.
const std::vector<Runs>& AllRuns(const std::vector<Scenario>& scenarios) {
  static const std::vector<Runs> runs = [&scenarios] {
    std::vector<Runs> all(scenarios.size());
    for (Runs& one : all) {
      one.ours.resize(kSeeds);
      one.baseline.resize(kSeeds);
    }
    RunJobs(scenarios.size() * kSeeds, [&](size_t index) {
      Scenario scenario = scenarios[index / kSeeds];
      const size_t seed = index % kSeeds;
      scenario.seed = seed + 1;
      all[index / kSeeds].ours[seed] = RunScenario(scenario);
      all[index / kSeeds].baseline[seed] = RunBaseline(scenario);
    });
    return all;
  }();
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

double TakenBackPercent(const RunResult& result) {
  return result.is_taken_back ? 100.0 : 0.0;
}

double OnTimePercent(const RunResult& result) {
  return result.is_done && result.is_in_time ? 100.0 : 0.0;
}

double ExposurePercent(const RunResult& result) {
  return 100.0 * result.exposure;
}

Figure MakeFigure(const std::string& name,
                  const Scenario& scenario,
                  const Runs& runs,
                  const Value& value) {
  const char* const effect =
      scenario.IsBad() ? (scenario.is_large ? ",large" : ",small") : "";
  Figure figure;
  figure.name = absl::StrCat(name, "[", scenario.deployment.name, ",",
                             KindName(scenario.kind), effect, "]");
  figure.value = Mean(runs.ours, value);
  figure.baseline = Mean(runs.baseline, value);
  figure.unit = "percent";
  figure.seeds = kSeeds;
  return figure;
}

// True if a bad version of the kind shows from its first request on.
bool IsImmediate(Kind kind) {
  return kind == Kind::kFailsAtOnce || kind == Kind::kSlowAtOnce ||
         kind == Kind::kFailsOnOneRoute;
}

std::vector<Figure> RunBadTakenBack() {
  const std::vector<Scenario> scenarios = AllScenarios();
  const std::vector<Runs>& runs = AllRuns(scenarios);
  std::vector<Figure> figures;
  for (size_t i = 0; i < scenarios.size(); ++i) {
    if (scenarios[i].IsBad()) {
      Figure figure = MakeFigure("rollout.bad_taken_back", scenarios[i],
                                 runs[i], &TakenBackPercent);
      figure.target = scenarios[i].is_large ? 100.0 : 95.0;
      figure.better = Better::kHigher;
      figures.push_back(figure);
    }
  }
  return figures;
}

std::vector<Figure> RunBadExposure() {
  const std::vector<Scenario> scenarios = AllScenarios();
  const std::vector<Runs>& runs = AllRuns(scenarios);
  std::vector<Figure> figures;
  for (size_t i = 0; i < scenarios.size(); ++i) {
    if (IsImmediate(scenarios[i].kind)) {
      Figure figure = MakeFigure("rollout.bad_exposure", scenarios[i], runs[i],
                                 &ExposurePercent);
      figure.target = 1.0;
      figure.better = Better::kLower;
      figures.push_back(figure);
    }
  }
  return figures;
}

std::vector<Figure> RunGoodOnTime() {
  const std::vector<Scenario> scenarios = AllScenarios();
  const std::vector<Runs>& runs = AllRuns(scenarios);
  std::vector<Figure> figures;
  for (size_t i = 0; i < scenarios.size(); ++i) {
    if (!scenarios[i].IsBad()) {
      Figure figure = MakeFigure("rollout.good_on_time", scenarios[i], runs[i],
                                 &OnTimePercent);
      figure.target = 98.0;
      figure.better = Better::kHigher;
      figures.push_back(figure);
    }
  }
  return figures;
}

std::vector<Figure> RunGoodTakenBack() {
  const std::vector<Scenario> scenarios = AllScenarios();
  const std::vector<Runs>& runs = AllRuns(scenarios);
  std::vector<Figure> figures;
  for (size_t i = 0; i < scenarios.size(); ++i) {
    if (!scenarios[i].IsBad()) {
      Figure figure = MakeFigure("rollout.good_taken_back", scenarios[i],
                                 runs[i], &TakenBackPercent);
      figure.target = 1.0;
      figure.better = Better::kLower;
      figures.push_back(figure);
    }
  }
  return figures;
}

// The sum of `value` over all runs of all scenarios; none is allowed.
Figure CountAll(const std::string& name, const Value& value) {
  const std::vector<Scenario> scenarios = AllScenarios();
  const std::vector<Runs>& runs = AllRuns(scenarios);
  Figure figure;
  figure.name = name;
  figure.unit = "count";
  figure.target = 0.0;
  figure.better = Better::kLower;
  figure.seeds = kSeeds;
  for (const Runs& one : runs) {
    figure.value += Mean(one.ours, value) * kSeeds;
  }
  return figure;
}

std::vector<Figure> RunToldWrong() {
  return {CountAll("rollout.told_wrong", [](const RunResult& result) {
    return result.is_told_wrong ? 1.0 : 0.0;
  })};
}

std::vector<Figure> RunStuck() {
  return {CountAll("rollout.stuck", [](const RunResult& result) {
    return result.is_stuck ? 1.0 : 0.0;
  })};
}

std::vector<Figure> RunStaleOrders() {
  return {CountAll("rollout.stale_orders_left", [](const RunResult& result) {
    return static_cast<double>(result.stale_engines);
  })};
}

const bool kRegistered[] = {
    RegisterMeasure({"rollout.bad_taken_back", &RunBadTakenBack}),
    RegisterMeasure({"rollout.bad_exposure", &RunBadExposure}),
    RegisterMeasure({"rollout.good_on_time", &RunGoodOnTime}),
    RegisterMeasure({"rollout.good_taken_back", &RunGoodTakenBack}),
    RegisterMeasure({"rollout.told_wrong", &RunToldWrong}),
    RegisterMeasure({"rollout.stuck", &RunStuck}),
    RegisterMeasure({"rollout.stale_orders_left", &RunStaleOrders}),
};

}  // namespace

}  // namespace papaya::bench
