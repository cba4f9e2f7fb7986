#ifndef BENCH_FLEET_OPTIONS_H_
#define BENCH_FLEET_OPTIONS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "bench/fake_engine.h"
#include "bench/fleet_links.h"
#include "bench/router_policy.h"
#include "include/admission/scheduler.h"
#include "include/config/fleet_config.h"

namespace papaya::bench {

// What a FakeFleet is made of.
struct FleetOptions {
  std::vector<UpstreamSpec> upstreams;
  std::vector<FakeEngineSpeed> speeds;  // by upstream
  std::vector<VersionShare> shares;
  size_t routers = 7;
  FleetLinks links;
  uint64_t seed = 1;
  // Makes the policy of router number `router`.
  std::function<std::unique_ptr<RouterPolicy>(size_t router, SchedulerHooks)>
      make_policy;
};

}  // namespace papaya::bench

#endif  // BENCH_FLEET_OPTIONS_H_
