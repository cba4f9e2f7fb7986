#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_format.h"
#include "bench/account_fairness.h"
#include "bench/measure.h"
#include "bench/scheduling_run.h"

namespace papaya::bench {
namespace {

std::vector<FakeSite> Sites() {
  return {MakeSkokan(), MakeWadiRum()};
}

// Returns the variant suffix of a measure, such as `[skokan,2x,quiet]`.
std::string Variant(const FakeSite& site, double load, bool has_faults) {
  return absl::StrFormat("[%s,%gx,%s]", site.name, load,
                         has_faults ? "faults" : "quiet");
}

// Returns the goodput fraction of all top-tier requests and that of top-tier
// requests to model engines.
std::vector<double> TopTierGoodput(SchedulingRun run, PolicyKind policy) {
  run.policy = policy;
  return MeansOverSeeds([&run](uint64_t seed) {
    const std::unique_ptr<FakeFleet> fleet = RunFleet(run, seed);
    return std::vector<double>{
        GoodputFraction(*fleet, Tier::kCritical),
        GoodputFractionOnEngines(*fleet, Tier::kCritical)};
  });
}

std::vector<Measurement> RunTopTierGoodput(const SchedulingRun& run) {
  const std::vector<double> scheduler =
      TopTierGoodput(run, PolicyKind::kScheduler);
  const std::vector<double> no_tiers =
      TopTierGoodput(run, PolicyKind::kNoTiers);
  Measurement all{.value = 100.0 * scheduler[0],
                  .unit = "percent",
                  .baseline = 100.0 * no_tiers[0],
                  .target = run.has_faults ? 99.0 : 99.9,
                  .better = Better::kHigher,
                  .seeds = 5};
  Measurement on_engines = all;
  on_engines.name = ".on_engines";
  on_engines.value = 100.0 * scheduler[1];
  on_engines.baseline = 100.0 * no_tiers[1];
  return {all, on_engines};
}

double CountTopTierShed(SchedulingRun run, PolicyKind policy) {
  run.policy = policy;
  return 5.0 * MeanOverSeeds([&run](uint64_t seed) {
           return CountShedBeforeLower(*RunFleet(run, seed));
         });
}

std::vector<Measurement> RunTopTierShed(const SchedulingRun& run) {
  return {{.value = CountTopTierShed(run, PolicyKind::kScheduler),
           .unit = "requests",
           .baseline = CountTopTierShed(run, PolicyKind::kNoTiers),
           .target = 0.0,
           .better = Better::kLower,
           .seeds = 5}};
}

double TotalTokens(SchedulingRun run, PolicyKind policy) {
  run.policy = policy;
  return MeanOverSeeds(
      [&run](uint64_t seed) { return GoodputTokens(*RunFleet(run, seed)); });
}

std::vector<Measurement> RunTotalGoodput(const SchedulingRun& run) {
  const double full_knowledge = TotalTokens(run, PolicyKind::kFullKnowledge);
  const double scheduler = TotalTokens(run, PolicyKind::kScheduler);
  const double least_outstanding =
      TotalTokens(run, PolicyKind::kLeastOutstanding);
  return {{.value = 100.0 * scheduler / full_knowledge,
           .unit = "percent_of_full_knowledge",
           .baseline = 100.0 * least_outstanding / full_knowledge,
           .target = 95.0,
           .better = Better::kHigher,
           .seeds = 5}};
}

double AccountFairness(SchedulingRun run, PolicyKind policy) {
  run.policy = policy;
  return MeanAccountFairness(run);
}

std::vector<Measurement> RunAccountFairness(const SchedulingRun& run) {
  return {{.value = AccountFairness(run, PolicyKind::kScheduler),
           .unit = "ratio",
           .baseline = AccountFairness(run, PolicyKind::kLeastOutstanding),
           .target = 0.9,
           .better = Better::kHigher,
           .seeds = 5}};
}

// Returns figures whose names are suffixes of the name of the measure.
using RunFigures = std::vector<Measurement> (*)(const SchedulingRun& run);

// Registers one measure per site, load and fault setting, so that each figure
// is printed as soon as it is available.
bool RegisterRuns(const std::string& measure,
                  const std::vector<double>& loads,
                  const std::vector<bool>& faults,
                  RunFigures run_figures) {
  for (const FakeSite& site : Sites()) {
    for (double load : loads) {
      for (bool has_faults : faults) {
        const SchedulingRun run{
            .site = site, .load = load, .has_faults = has_faults};
        const std::string name = measure + Variant(site, load, has_faults);
        RegisterMeasure({name, [run, name, run_figures] {
                           std::vector<Measurement> figures = run_figures(run);
                           for (Measurement& figure : figures) {
                             figure.name = name + figure.name;
                           }
                           return figures;
                         }});
      }
    }
  }
  return true;
}

const bool kAccountFairness = RegisterRuns("overload.account_fairness",
                                           {2.0},
                                           {false},
                                           &RunAccountFairness);
const bool kTopTierGoodput = RegisterRuns("overload.top_tier_goodput",
                                          {0.3, 0.8, 1.0, 2.0},
                                          {false, true},
                                          &RunTopTierGoodput);
const bool kTopTierShed =
    RegisterRuns("overload.top_tier_shed_while_lower_served",
                 {2.0},
                 {false, true},
                 &RunTopTierShed);
const bool kTotalGoodput =
    RegisterRuns("overload.total_goodput", {2.0}, {false}, &RunTotalGoodput);

}  // namespace
}  // namespace papaya::bench
