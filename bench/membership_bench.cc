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

constexpr Duration kWarmUp = std::chrono::seconds(20);
constexpr double kLoss = 0.01;
constexpr double kSecondsPerHour = 3600.0;
constexpr double kControlBudget = 15.0 * 1024.0;  // bytes a second

// How much is simulated of one shape of fleet.
struct Effort {
  FleetShape shape;
  int seeds;
  int kills;
  Duration quiet;
  Duration baseline_quiet;
};

const Effort kToday{kTodaysFleet, 20, 10, std::chrono::minutes(60),
                    std::chrono::minutes(60)};
const Effort kPlanned{kPlannedFleet, 4, 5, std::chrono::minutes(5),
                      std::chrono::seconds(10)};

std::vector<LinkPlace> PlacesOf(const FleetShape& shape) {
  const GossipFleet fleet(shape, 1);
  std::vector<LinkPlace> places;
  for (size_t i = 0; i < shape.routers; ++i) {
    places.push_back(fleet.link.place(i));
  }
  return places;
}

std::string Variant(const std::string& name, const Effort& effort) {
  return absl::StrCat(name, "[", effort.shape.routers, "]");
}

// Seconds from a router's death to its end in each other router's view.
std::vector<double> DetectSeconds(const Effort& effort, uint64_t seed) {
  constexpr Duration kPatience = std::chrono::seconds(30);
  GossipFleet fleet(effort.shape, seed);
  Random random(seed);
  fleet.link.faults.loss = kLoss;
  fleet.StartAll();
  fleet.queue.RunFor(kWarmUp);
  std::vector<double> seconds;
  for (int kill = 0; kill < effort.kills; ++kill) {
    const size_t victim = random.Below(fleet.nodes.size());
    std::map<size_t, double> seen;
    const TimePoint start = fleet.queue.now();
    fleet.on_view = [&](size_t observer, const FleetView& view) {
      if (FindRouter(view, fleet.nodes[victim].id) == nullptr) {
        seen.emplace(observer, ToSeconds(fleet.queue.now() - start));
      }
    };
    fleet.Stop(victim);
    fleet.queue.RunFor(kPatience);
    fleet.on_view = nullptr;
    for (size_t i = 0; i < fleet.nodes.size(); ++i) {
      if (i != victim) {
        seconds.push_back(seen.contains(i) ? seen.at(i) : ToSeconds(kPatience));
      }
    }
    fleet.Start(victim);
    fleet.queue.RunFor(kWarmUp);
  }
  return seconds;
}

std::vector<double> BaselineDetectSeconds(const Effort& effort, uint64_t seed) {
  FullMeshFleet fleet(PlacesOf(effort.shape), 0, seed);
  Random random(seed);
  fleet.link.faults.loss = kLoss;
  fleet.queue.RunFor(std::chrono::seconds(5));
  const size_t victim = random.Below(effort.shape.routers);
  const TimePoint start = fleet.queue.now();
  std::vector<double> seconds;
  fleet.on_dead = [&](size_t, size_t other) {
    if (other == victim) {
      seconds.push_back(ToSeconds(fleet.queue.now() - start));
    }
  };
  fleet.Stop(victim);
  fleet.queue.RunFor(std::chrono::seconds(6));
  return seconds;
}

std::vector<Measurement> RunDetect() {
  std::vector<Measurement> figures;
  for (const Effort& effort : {kToday, kPlanned}) {
    const auto seconds = RunSeeds(effort.seeds, [&](uint64_t seed) {
      return DetectSeconds(effort, seed);
    });
    const auto baseline = RunSeeds(effort.seeds, [&](uint64_t seed) {
      return BaselineDetectSeconds(effort, seed);
    });
    figures.push_back({.name = Variant("membership.detect", effort),
                       .value = Quantile(Flatten(seconds), 0.99),
                       .unit = "s_p99",
                       .baseline = Quantile(Flatten(baseline), 0.99),
                       .target = 5.0,
                       .better = Better::kLower,
                       .seeds = effort.seeds});
  }
  return figures;
}

// Suspicions and deaths of routers that ran all the time.
std::vector<double> FalseAlarms(const Effort& effort, uint64_t seed) {
  GossipFleet fleet(effort.shape, seed);
  fleet.link.faults.loss = kLoss;
  fleet.StartAll();
  fleet.queue.RunFor(kWarmUp);
  std::vector<double> counts(2);
  fleet.on_event = [&counts](size_t, const Event& event) {
    counts[0] += event.id == EventId::kRouterSuspected ? 1 : 0;
    counts[1] += event.id == EventId::kRouterDead ? 1 : 0;
  };
  fleet.queue.RunFor(effort.quiet);
  return counts;
}

double BaselineFalseAlarms(const Effort& effort, uint64_t seed) {
  FullMeshFleet fleet(PlacesOf(effort.shape), 0, seed);
  fleet.link.faults.loss = kLoss;
  fleet.queue.RunFor(std::chrono::seconds(5));
  double count = 0.0;
  fleet.on_dead = [&count](size_t, size_t) { ++count; };
  fleet.queue.RunFor(effort.baseline_quiet);
  return count;
}

std::vector<Measurement> RunFalseSuspicions() {
  std::vector<Measurement> figures;
  for (const Effort& effort : {kToday, kPlanned}) {
    const auto counts = RunSeeds(
        effort.seeds, [&](uint64_t seed) { return FalseAlarms(effort, seed); });
    const auto baseline = RunSeeds(effort.seeds, [&](uint64_t seed) {
      return std::vector<double>{BaselineFalseAlarms(effort, seed)};
    });
    double suspected = 0.0;
    double dead = 0.0;
    for (const std::vector<double>& count : counts) {
      suspected += count[0];
      dead += count[1];
    }
    const double hours =
        ToSeconds(effort.quiet) * effort.seeds / kSecondsPerHour;
    const double baseline_hours =
        ToSeconds(effort.baseline_quiet) * effort.seeds / kSecondsPerHour;
    figures.push_back({.name = Variant("membership.false_suspicions", effort),
                       .value = suspected / hours,
                       .unit = "per_fleet_hour",
                       .baseline = Sum(Flatten(baseline)) / baseline_hours,
                       .target = 0.1,
                       .better = Better::kLower,
                       .seeds = effort.seeds});
    figures.push_back({.name = Variant("membership.false_deaths", effort),
                       .value = dead,
                       .unit = "count",
                       .target = 0.0,
                       .better = Better::kLower,
                       .seeds = effort.seeds});
    figures.push_back({.name = Variant("membership.hours_watched", effort),
                       .value = hours,
                       .unit = "fleet_hours",
                       .seeds = effort.seeds});
  }
  return figures;
}

// Bytes a second that each router sends and receives, on an ordinary day: a
// change of the configuration every 45 s, a restart every 86 s.
std::vector<double> ControlBytes(const Effort& effort, uint64_t seed) {
  constexpr Duration kChangePeriod = std::chrono::seconds(45);
  constexpr int kChanges = 6;
  constexpr size_t kUpstreams = 360;
  GossipFleet fleet(effort.shape, seed);
  Random random(seed);
  fleet.link.faults.loss = kLoss;
  FleetConfig config = MakeSampleConfig(Revision(1), kUpstreams, &random);
  fleet.Publish(config);
  fleet.StartAll();
  fleet.queue.RunFor(kWarmUp);
  std::vector<int64_t> before;
  for (size_t i = 0; i < fleet.nodes.size(); ++i) {
    before.push_back(fleet.link.use(i).bytes);
  }
  std::vector<bool> restarted(fleet.nodes.size());
  for (int change = 0; change < kChanges; ++change) {
    config = MakeNextConfig(config, 5, &random);
    fleet.Publish(config);
    if (change % 2 == 0) {
      const size_t index = random.Below(fleet.nodes.size());
      restarted[index] = true;
      fleet.Start(index);
    }
    fleet.queue.RunFor(kChangePeriod);
  }
  std::vector<double> rates;
  for (size_t i = 0; i < fleet.nodes.size(); ++i) {
    rates.push_back(static_cast<double>(fleet.link.use(i).bytes - before[i]) /
                    ToSeconds(kChanges * kChangePeriod));
  }
  return rates;
}

double BaselineControlBytes(const Effort& effort) {
  Random random(1);
  const FleetConfig config = MakeSampleConfig(Revision(1), 360, &random);
  const size_t config_bytes = EncodedSize(
      ConfigSnapshot{0, std::make_shared<const FleetConfig>(config)});
  FullMeshFleet fleet(PlacesOf(effort.shape), config_bytes, 1);
  fleet.queue.RunFor(effort.baseline_quiet);
  return static_cast<double>(fleet.link.use(0).bytes) /
         ToSeconds(effort.baseline_quiet);
}

std::vector<Measurement> RunControlBytes() {
  std::vector<Measurement> figures;
  for (const Effort& effort : {kToday, kPlanned}) {
    const auto rates = RunSeeds(effort.seeds, [&](uint64_t seed) {
      return ControlBytes(effort, seed);
    });
    figures.push_back({.name = Variant("membership.control_bytes", effort),
                       .value = Max(Flatten(rates)),
                       .unit = "B/s_busiest_router",
                       .baseline = BaselineControlBytes(effort),
                       .target = kControlBudget,
                       .better = Better::kLower,
                       .seeds = effort.seeds});
    const std::vector<double> all = Flatten(rates);
    figures.push_back({.name = Variant("membership.control_bytes_mean", effort),
                       .value = Sum(all) / static_cast<double>(all.size()),
                       .unit = "B/s",
                       .seeds = effort.seeds});
  }
  return figures;
}

const bool kDetectRegistered =
    RegisterMeasure({"membership.detect", &RunDetect});
const bool kFalseRegistered =
    RegisterMeasure({"membership.false_suspicions", &RunFalseSuspicions});
const bool kBytesRegistered =
    RegisterMeasure({"membership.control_bytes", &RunControlBytes});

}  // namespace

}  // namespace papaya::bench
