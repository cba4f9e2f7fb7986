#ifndef BENCH_BASELINE_POLICIES_H_
#define BENCH_BASELINE_POLICIES_H_

#include <memory>
#include <utility>

#include "bench/fake_fleet.h"
#include "bench/fake_site.h"

namespace papaya::bench {

// The scheduler policy and the baselines that its figures are compared with.
enum class PolicyKind {
  kScheduler,
  kRoundRobin,  // upstreams in turn, without a queue in the router
  // Fewest outstanding requests of this router, without a queue in the router.
  kLeastOutstanding,
  kNoTiers,        // a Scheduler that sees all requests in one tier
  kNoAffinity,     // a Scheduler without prefix hashes and cache events
  kFullKnowledge,  // one queue for all routers that reads engine states
};

// Creates a fleet of `site` whose routers use the policy `kind`. Schedulers
// have only the parts that `parts` enables.
std::unique_ptr<FakeFleet> MakeFleet(const FakeSite& site,
                                     PolicyKind kind,
                                     const SchedulerParts& parts,
                                     const FleetLinks& links,
                                     uint64_t seed);

}  // namespace papaya::bench

#endif  // BENCH_BASELINE_POLICIES_H_
