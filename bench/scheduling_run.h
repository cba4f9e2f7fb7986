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

// One run of a site's traffic under one policy.
struct SchedulingRun {
  FakeSite site;
  PolicyKind policy = PolicyKind::kScheduler;
  // That Schedulers have; all, but to see what one is worth.
  SchedulerParts parts;
  // As a part of the site's capacity.
  double load = 1.0;
  // One upstream in four turns slow, and one router dies.
  bool has_faults = false;
  Duration duration = std::chrono::seconds(180);
  FleetLinks links;
  // Called before the start.
  std::function<void(FakeFleet*, FakeTraffic*)> prepare;
};

// Runs it until the traffic has ended and nothing is left to do.
std::unique_ptr<FakeFleet> RunFleet(const SchedulingRun& run, uint64_t seed);

// The seeds that figures are taken over.
inline constexpr uint64_t kSeeds[] = {11, 22, 33, 44, 55};

// The mean of `body` over kSeeds, a few at a time in threads of their own;
// `body` must share nothing between them.
double MeanOverSeeds(const std::function<double(uint64_t seed)>& body);

// The same for several values at once.
std::vector<double> MeansOverSeeds(
    const std::function<std::vector<double>(uint64_t seed)>& body);

// Answered in time over offered, of one tier, in requests.
double GoodputFraction(const FakeFleet& fleet, Tier tier);

// The same of requests to model engines only, which plain services, never
// overloaded here, would hide.
double GoodputFractionOnEngines(const FakeFleet& fleet, Tier tier);

// Tokens of answers in time.
double GoodputTokens(const FakeFleet& fleet);

// Requests of the highest tier refused while a lower one was served.
double CountShedBeforeLower(const FakeFleet& fleet);

// The 95th percentile of seconds from arrival to the first token.
double FirstTokenP95(const FakeFleet& fleet);

}  // namespace papaya::bench

#endif  // BENCH_SCHEDULING_RUN_H_
