#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_format.h"
#include "bench/account_fairness.h"
#include "bench/measure.h"
#include "bench/scheduling_run.h"

namespace papaya::bench {
namespace {

// Loads as fractions of the capacity.
constexpr double kOverload = 2.0;
constexpr double kNormalLoad = 0.8;
// Fractions of attempts that are cut while the retry budget is measured: a
// failure is reported to the router, but the engine continues the work.
constexpr double kModerateCutFraction = 0.3;
constexpr double kHighCutFraction = 0.6;

// A part of the policy that can be disabled.
struct PolicyPart {
  const char* name;
  bool SchedulerParts::*flag;
  // The conditions under which the part matters: faults, or the fraction of
  // attempts that are cut.
  bool has_faults = false;
  double cut = 0.0;
  double load = kOverload;
};

constexpr PolicyPart kParts[] = {
    {"slot_division", &SchedulerParts::slot_division},
    {"slot_division", &SchedulerParts::slot_division, true},
    {"preemption", &SchedulerParts::preemption},
    {"preemption", &SchedulerParts::preemption, true},
    {"retry_budget", &SchedulerParts::retry_budget, false,
     kModerateCutFraction},
    {"retry_budget", &SchedulerParts::retry_budget, false, kHighCutFraction,
     kNormalLoad},
    {"deadlines", &SchedulerParts::deadlines},
};

// The results of a run: the goodput fraction of the top tier on model engines,
// the top-tier requests shed while a lower tier was served, and the value in
// tokens of the answers in time.
struct RunResult {
  double top_tier = 0.0;
  double shed = 0.0;
  double tokens = 0.0;
};

RunResult MeanResult(const SchedulingRun& run) {
  const std::vector<double> means = MeansOverSeeds([&run](uint64_t seed) {
    const std::unique_ptr<FakeFleet> fleet = RunFleet(run, seed);
    return std::vector<double>{
        GoodputFractionOnEngines(*fleet, Tier::kCritical),
        CountShedBeforeLower(*fleet), GoodputTokens(*fleet)};
  });
  return {means[0], means[1], means[2]};
}

std::string Variant(const PolicyPart& part, const FakeSite& site) {
  const char* kind = part.cut > 0.0 ? "cuts" : "quiet";
  return absl::StrFormat("[%s,%gx,%s]", site.name, part.load,
                         part.has_faults ? "faults" : kind);
}

// Each figure's value is measured without the part and its baseline with it.
std::vector<Measurement> RunWithout(const PolicyPart& part,
                                    const FakeSite& site) {
  SchedulingRun run{
      .site = site, .load = part.load, .has_faults = part.has_faults};
  run.links.cut = part.cut;
  const RunResult with = MeanResult(run);
  run.parts.*part.flag = false;
  const RunResult without = MeanResult(run);
  const std::string name =
      absl::StrFormat("overload.without_%s%s", part.name, Variant(part, site));
  return {{.name = name + ".top_tier_goodput.on_engines",
           .value = 100.0 * without.top_tier,
           .unit = "percent",
           .baseline = 100.0 * with.top_tier,
           .seeds = 5},
          {.name = name + ".top_tier_shed_while_lower_served",
           .value = 5.0 * without.shed,
           .unit = "requests",
           .baseline = 5.0 * with.shed,
           .seeds = 5},
          {.name = name + ".total_goodput",
           .value = 100.0 * without.tokens / with.tokens,
           .unit = "percent_of_with",
           .baseline = 100.0,
           .seeds = 5}};
}

std::vector<Measurement> RunWithoutFairSharing(const FakeSite& site) {
  SchedulingRun run{.site = site, .load = kOverload};
  const double with = MeanAccountFairness(run);
  run.parts.fair_sharing = false;
  return {{.name = absl::StrFormat(
               "overload.without_fair_sharing[%s,%gx,quiet].account_fairness",
               site.name, kOverload),
           .value = MeanAccountFairness(run),
           .unit = "ratio",
           .baseline = with,
           .seeds = 5}};
}

bool RegisterAll() {
  for (const FakeSite& site : {MakeSkokan(), MakeWadiRum()}) {
    for (const PolicyPart& part : kParts) {
      RegisterMeasure({absl::StrFormat("overload.without_%s%s", part.name,
                                       Variant(part, site)),
                       [part, site] { return RunWithout(part, site); }});
    }
    RegisterMeasure({absl::StrFormat("overload.without_fair_sharing[%s,%gx,",
                                     site.name, kOverload),
                     [site] { return RunWithoutFairSharing(site); }});
  }
  return true;
}

const bool kWithout = RegisterAll();

}  // namespace
}  // namespace papaya::bench
