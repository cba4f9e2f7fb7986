#ifndef BENCH_FAKE_SITE_H_
#define BENCH_FAKE_SITE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "bench/fake_engine.h"
#include "include/base/request_spec.h"
#include "include/base/units.h"
#include "include/config/fleet_config.h"

namespace papaya::bench {

// One kind of request that a site's callers send.
struct TrafficClass {
  RouteId route;
  PoolId pool;
  Tier tier = Tier::kStandard;
  // Part of the requests to its pool.
  double fraction = 0.0;
  // Tokens of the prompt; 0 for plain services.
  int64_t prompt = 0;
  // Median and spread of the answer's length; for plain services, of
  // thousandths of a second of work.
  double output = 0.0;
  double output_sigma = 0.0;
  // From arrival to the beginning of work.
  Duration max_queue_time{};
  bool idempotent = true;
  // Prompts go on with earlier ones, and share the blocks of those.
  bool is_conversation = false;
};

// One deployment of the brief, with traffic like its own.
struct FakeSite {
  std::string name;
  std::vector<UpstreamSpec> upstreams;
  std::vector<FakeEngineSpeed> speeds;
  std::vector<TrafficClass> classes;
  size_t routers = 7;
  // Parts of the requests that the balancer sends to each router.
  std::vector<double> router_fractions;
  // Client accounts, and the part of the requests that each sends.
  std::vector<double> account_fractions;

  // Requests a second to `pool` that fill all its slots.
  double Capacity(const PoolId& pool) const;
};

// Prompt tokens of one block of the prefix cache.
inline constexpr int64_t kBlockTokens = 128;

// 9 assistant and 3 booking upstreams; plans, chat and damage notes.
FakeSite MakeSkokan();

// 18 report-writer and 3 bidding upstreams; long reports, chat and tags.
FakeSite MakeWadiRum();

}  // namespace papaya::bench

#endif  // BENCH_FAKE_SITE_H_
