#ifndef BENCH_BASELINE_POLICIES_H_
#define BENCH_BASELINE_POLICIES_H_

#include <memory>
#include <utility>

#include "bench/fake_fleet.h"
#include "bench/fake_site.h"

namespace papaya::bench {

// What the figures of the policy are compared with.
enum class PolicyKind {
  kScheduler,
  kRoundRobin,        // in turn, no queue in the router
  kLeastOutstanding,  // fewest of the router's own, no queue in the router
  kNoTiers,           // a Scheduler for which all requests are of one tier
  kNoAffinity,        // a Scheduler that knows no prefixes
  kFullKnowledge,     // one queue for all routers, which sees into the engines
};

// A fleet of `site` whose routers decide by `kind`; Schedulers have only these
// `parts`.
std::unique_ptr<FakeFleet> MakeFleet(const FakeSite& site,
                                     PolicyKind kind,
                                     const SchedulerParts& parts,
                                     const FleetLinks& links,
                                     uint64_t seed);

}  // namespace papaya::bench

#endif  // BENCH_BASELINE_POLICIES_H_
