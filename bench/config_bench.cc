#include <map>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "bench/full_mesh_fleet.h"
#include "bench/measure.h"
#include "bench/seed_runner.h"
#include "tests/fakes/gossip_fleet.h"
#include "tests/fakes/sample_config.h"

namespace papaya::bench {

namespace {

constexpr double kLoss = 0.1;
constexpr Duration kWarmUp = std::chrono::seconds(20);
// A revision not in force by then counts with this time.
constexpr Duration kPatience = std::chrono::seconds(60);
constexpr Duration kBetween = std::chrono::seconds(30);

struct Effort {
  FleetShape shape;
  int seeds;
  int revisions;
  size_t upstreams;
  double in_force_target;
  double store_calls_target;
};

const Effort kToday{kTodaysFleet, 20, 10, 21, 3.0, 20.0};
const Effort kPlanned{kPlannedFleet, 4, 4, 360, 14.0, 200.0};

std::string Variant(const std::string& name, const Effort& effort) {
  return absl::StrCat(name, "[", effort.shape.routers, "]");
}

// Seconds from the store's acceptance of each revision to its being in force,
// for each router.
std::vector<double> InForceSeconds(const Effort& effort, uint64_t seed) {
  GossipFleet fleet(effort.shape, seed);
  Random random(seed);
  fleet.link.faults.loss = kLoss;
  FleetConfig config = MakeSampleConfig(Revision(1), effort.upstreams, &random);
  fleet.Publish(config);
  fleet.StartAll();
  fleet.queue.RunFor(kWarmUp);
  std::map<std::pair<size_t, Revision>, double> seconds;
  std::map<Revision, TimePoint> accepted;
  fleet.on_in_force = [&](size_t index, const FleetConfig& now) {
    // A router that skips a revision has it in force with the later one.
    for (const auto& [revision, time] : accepted) {
      if (revision <= now.revision) {
        seconds.emplace(std::pair(index, revision),
                        ToSeconds(fleet.queue.now() - time));
      }
    }
  };
  for (int i = 0; i < effort.revisions; ++i) {
    config = MakeNextConfig(config, 5, &random);
    accepted[config.revision] = fleet.queue.now();
    fleet.Publish(config);
    fleet.queue.RunFor(kBetween);
  }
  fleet.queue.RunFor(kPatience);
  std::vector<double> all;
  for (const auto& [revision, time] : accepted) {
    for (size_t i = 0; i < fleet.nodes.size(); ++i) {
      const auto found = seconds.find({i, revision});
      all.push_back(found == seconds.end() ? ToSeconds(kPatience)
                                           : found->second);
    }
  }
  return all;
}

std::vector<double> BaselineInForceSeconds(const Effort& effort,
                                           uint64_t seed) {
  const GossipFleet shape(effort.shape, 1);
  std::vector<LinkPlace> places;
  for (size_t i = 0; i < effort.shape.routers; ++i) {
    places.push_back(shape.link.place(i));
  }
  FullMeshFleet fleet(places, 0, seed);
  fleet.link.faults.loss = kLoss;
  fleet.queue.RunFor(std::chrono::seconds(2));
  const TimePoint start = fleet.queue.now();
  std::vector<double> seconds;
  fleet.on_in_force = [&](size_t, uint64_t) {
    seconds.push_back(ToSeconds(fleet.queue.now() - start));
  };
  fleet.Publish(1);
  const size_t routers = effort.shape.routers;
  fleet.queue.RunFor(std::chrono::seconds(routers > 100 ? 25 : 60));
  seconds.resize(routers, ToSeconds(kPatience));
  return seconds;
}

std::vector<Measurement> RunInForce() {
  std::vector<Measurement> figures;
  for (const Effort& effort : {kToday, kPlanned}) {
    const std::vector<double> seconds =
        Flatten(RunSeeds(effort.seeds, [&](uint64_t seed) {
          return InForceSeconds(effort, seed);
        }));
    const std::vector<double> baseline =
        Flatten(RunSeeds(effort.seeds / 4, [&](uint64_t seed) {
          return BaselineInForceSeconds(effort, seed);
        }));
    figures.push_back({.name = Variant("config.in_force", effort),
                       .value = Quantile(seconds, 0.99),
                       .unit = "s_p99",
                       .baseline = Quantile(baseline, 0.99),
                       .target = effort.in_force_target,
                       .better = Better::kLower,
                       .seeds = effort.seeds});
    figures.push_back({.name = Variant("config.in_force_max", effort),
                       .value = Max(seconds),
                       .unit = "s",
                       .baseline = Max(baseline),
                       .seeds = effort.seeds});
  }
  return figures;
}

// Revisions that were in force anywhere after a higher one on the same router,
// its restarts included, through outages, cuts, restarts and pauses.
std::vector<double> Reversions(const Effort& effort, uint64_t seed) {
  constexpr int kSteps = 12;
  GossipFleet fleet(effort.shape, seed);
  Random random(seed);
  fleet.link.faults.loss = kLoss;
  FleetConfig config = MakeSampleConfig(Revision(1), effort.upstreams, &random);
  fleet.Publish(config);
  fleet.StartAll();
  std::map<size_t, Revision> last;
  double reverted = 0.0;
  fleet.on_in_force = [&](size_t index, const FleetConfig& now) {
    reverted += now.revision < last[index] ? 1.0 : 0.0;
    last[index] = now.revision;
  };
  fleet.queue.RunFor(kWarmUp);
  for (int step = 0; step < kSteps; ++step) {
    const bool is_out = step % 4 == 2;
    fleet.store.SetUnavailable(is_out);
    if (!is_out) {
      config = MakeNextConfig(config, 5, &random);
      fleet.Publish(config);
    }
    fleet.queue.RunFor(SecondsToDuration(5.0 * random.Uniform()));
    for (size_t i = 0; i <= fleet.nodes.size() / 20; ++i) {
      fleet.Start(random.Below(fleet.nodes.size()));
      fleet.Pause(random.Below(fleet.nodes.size()),
                  SecondsToDuration(20.0 * random.Uniform()));
    }
    fleet.queue.RunFor(std::chrono::seconds(10));
  }
  return {reverted};
}

std::vector<Measurement> RunReverted() {
  std::vector<Measurement> figures;
  for (const Effort& effort : {kToday, kPlanned}) {
    const auto reverted = RunSeeds(
        effort.seeds, [&](uint64_t seed) { return Reversions(effort, seed); });
    figures.push_back({.name = Variant("config.reverted", effort),
                       .value = Sum(Flatten(reverted)),
                       .unit = "count",
                       .target = 0.0,
                       .better = Better::kLower,
                       .seeds = effort.seeds});
  }
  return figures;
}

// Store calls a second over an ordinary stretch, and in the busiest second of
// a start of all routers at once.
std::vector<double> StoreCalls(const Effort& effort, uint64_t seed) {
  constexpr Duration kChangePeriod = std::chrono::seconds(45);
  constexpr int kChanges = 4;
  GossipFleet fleet(effort.shape, seed);
  Random random(seed);
  FleetConfig config = MakeSampleConfig(Revision(1), effort.upstreams, &random);
  fleet.Publish(config);
  fleet.StartAll();
  double busiest = 0.0;
  for (int second = 0; second < 20; ++second) {
    const int64_t before = fleet.store.calls();
    fleet.queue.RunFor(std::chrono::seconds(1));
    busiest =
        std::max(busiest, static_cast<double>(fleet.store.calls() - before));
  }
  const int64_t before = fleet.store.calls();
  for (int i = 0; i < kChanges; ++i) {
    config = MakeNextConfig(config, 5, &random);
    fleet.Publish(config);
    fleet.queue.RunFor(kChangePeriod);
  }
  const double calls = static_cast<double>(fleet.store.calls() - before);
  return {calls / ToSeconds(kChanges * kChangePeriod), busiest};
}

std::vector<Measurement> RunStoreCalls() {
  std::vector<Measurement> figures;
  std::vector<double> means;
  for (const Effort& effort : {kToday, kPlanned}) {
    const auto calls = RunSeeds(
        effort.seeds, [&](uint64_t seed) { return StoreCalls(effort, seed); });
    double mean = 0.0;
    double busiest = 0.0;
    for (const std::vector<double>& seed : calls) {
      mean += seed[0] / effort.seeds;
      busiest = std::max(busiest, seed[1]);
    }
    means.push_back(mean);
    figures.push_back({.name = Variant("config.store_calls", effort),
                       .value = mean,
                       .unit = "calls/s",
                       // Each router keeps a watch of its own.
                       .baseline = static_cast<double>(effort.shape.routers) *
                                   (1.0 / 30.0 + 1.0 / 45.0),
                       .target = effort.store_calls_target,
                       .better = Better::kLower,
                       .seeds = effort.seeds});
    figures.push_back({.name = Variant("config.store_calls_start", effort),
                       .value = busiest,
                       .unit = "calls_in_busiest_second",
                       .baseline = static_cast<double>(effort.shape.routers),
                       .target = effort.store_calls_target,
                       .better = Better::kLower,
                       .seeds = effort.seeds});
  }
  figures.push_back({.name = "config.store_calls_slope",
                     .value = (means[1] - means[0]) /
                              (kPlanned.shape.routers - kToday.shape.routers),
                     .unit = "calls/s_per_router"});
  return figures;
}

const bool kInForceRegistered =
    RegisterMeasure({"config.in_force", &RunInForce});
const bool kRevertedRegistered =
    RegisterMeasure({"config.reverted", &RunReverted});
const bool kCallsRegistered =
    RegisterMeasure({"config.store_calls", &RunStoreCalls});

}  // namespace

}  // namespace papaya::bench
