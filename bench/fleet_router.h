#ifndef BENCH_FLEET_ROUTER_H_
#define BENCH_FLEET_ROUTER_H_

#include <memory>

#include "bench/router_policy.h"
#include "include/admission/demand_name_resolver.h"
#include "include/base/units.h"
#include "include/routing/routing_snapshot.h"

namespace papaya::bench {

// One router of a FakeFleet.
struct FleetRouter {
  std::unique_ptr<RouterPolicy> policy;
  bool is_alive = true;
  // The snapshots of the others have it.
  bool is_listed = true;
  TimePoint paused_until;
  DemandNameResolver names;
};

}  // namespace papaya::bench

#endif  // BENCH_FLEET_ROUTER_H_
