#ifndef BENCH_SCHEDULING_RUN_H_
#define BENCH_SCHEDULING_RUN_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "bench/baseline_policies.h"
#include "bench/fake_fleet.h"
#include "bench/fake_site.h"
#include "bench/fake_traffic.h"

namespace papaya::bench {

// The parameters of one run of a site's traffic under one policy.
struct SchedulingRun {
  FakeSite site;
  PolicyKind policy = PolicyKind::kScheduler;
  // The parts that Schedulers have. All by default; a part is disabled to
  // measure its effect.
  SchedulerParts parts;
  // Load as a fraction of the site's capacity.
  double load = 1.0;
  // Every fourth upstream becomes slow after a quarter of the run, and one
  // router dies after half of it.
  bool has_faults = false;
  Duration duration = std::chrono::seconds(180);
  FleetLinks links;
  // Called before the traffic starts; may be null.
  std::function<void(FakeFleet*, FakeTraffic*)> prepare;
};

// Runs `run` until the traffic has ended and no request can be answered in time
// any more, or until the time limit for draining is reached.
std::unique_ptr<FakeFleet> RunFleet(const SchedulingRun& run, uint64_t seed);

// The seeds over which figures are averaged.
inline constexpr uint64_t kSeeds[] = {11, 22, 33, 44, 55};

// Returns the mean of `body` over kSeeds. Several seeds run concurrently in
// threads of their own, so calls of `body` must not share mutable state.
double MeanOverSeeds(const std::function<double(uint64_t seed)>& body);

// Like MeanOverSeeds(), for several values at once.
std::vector<double> MeansOverSeeds(
    const std::function<std::vector<double>(uint64_t seed)>& body);

// Returns the fraction of the requests of `tier` that were answered in time; 1
// without requests.
double GoodputFraction(const FakeFleet& fleet, Tier tier);

// Like GoodputFraction(), for requests to model engines only. Plain services
// are never overloaded in these runs and would hide the difference.
double GoodputFractionOnEngines(const FakeFleet& fleet, Tier tier);

// Returns the value in tokens of the answers in time of model engines, as
// defined by FleetRecord::Value().
double GoodputTokens(const FakeFleet& fleet);

// Returns the number of requests of the highest tier that were rejected while a
// lower tier was served in their pool.
double CountShedBeforeLower(const FakeFleet& fleet);

// Returns the 95th percentile of the seconds from arrival to the first token,
// of requests to model engines.
double FirstTokenP95(const FakeFleet& fleet);

}  // namespace papaya::bench

#endif  // BENCH_SCHEDULING_RUN_H_
