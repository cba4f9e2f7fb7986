#include <array>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/str_format.h"
#include "bench/measure.h"
#include "bench/scheduling_run.h"
#include "bench/straggler_time.h"

namespace papaya::bench {
namespace {

// The load of the routing measures, as a fraction of the capacity.
constexpr double kLoad = 0.8;

// A part of the upstream choice that can be disabled.
struct PolicyPart {
  const char* name;
  bool SchedulerParts::*flag;
};

constexpr PolicyPart kParts[] = {
    {"decode_time", &SchedulerParts::decode_time},
    {"kind_speed", &SchedulerParts::kind_speed},
    {"last_slot_price", &SchedulerParts::crowding_cost},
    {"observed_speed", &SchedulerParts::observed_speed},
    {"output_length", &SchedulerParts::output_length},
    {"peer_prefill", &SchedulerParts::peer_prefill},
    {"prefix_affinity", &SchedulerParts::prefix_affinity},
    {"straggler_detection", &SchedulerParts::straggler_detection},
    {"token_price", &SchedulerParts::uncached_token_cost},
};

struct Quantity {
  const char* name;
  const char* unit;
};

// The quantities measured for each part, in the order of MeanValues().
constexpr Quantity kQuantities[] = {{"ttft_p95", "s"},
                                    {"wasted_prefill", "tokens"},
                                    {"straggler", "s"}};

std::vector<double> MeanValues(const SchedulingRun& run) {
  return MeansOverSeeds([&run](uint64_t seed) {
    const std::unique_ptr<FakeFleet> fleet = RunFleet(run, seed);
    return std::vector<double>{FirstTokenP95(*fleet), fleet->wasted_prefill(),
                               StragglerSeconds(run, seed)};
  });
}

// Each figure's value is measured without the part; its baseline, from `with`,
// is measured with the part.
std::vector<Measurement> RunWithout(const std::string& name,
                                    const PolicyPart& part,
                                    const FakeSite& site,
                                    const std::vector<double>& with) {
  SchedulingRun run{.site = site, .load = kLoad};
  run.parts.*part.flag = false;
  const std::vector<double> without = MeanValues(run);
  std::vector<Measurement> figures;
  for (size_t i = 0; i < without.size(); ++i) {
    figures.push_back({.name = name + "." + kQuantities[i].name,
                       .value = without[i],
                       .unit = kQuantities[i].unit,
                       .baseline = with[i],
                       .seeds = 5});
  }
  return figures;
}

bool RegisterAll() {
  for (const FakeSite& site : {MakeSkokan(), MakeWadiRum()}) {
    // The values of the complete policy, computed once and shared as the
    // baseline of all parts.
    const auto with = std::make_shared<std::vector<double>>();
    for (const PolicyPart& part : kParts) {
      const std::string name =
          absl::StrFormat("routing.without_%s[%s]", part.name, site.name);
      RegisterMeasure({name, [name, part, site, with] {
                         if (with->empty()) {
                           *with = MeanValues({.site = site, .load = kLoad});
                         }
                         return RunWithout(name, part, site, *with);
                       }});
    }
  }
  return true;
}

const bool kWithout = RegisterAll();

}  // namespace
}  // namespace papaya::bench
