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

// A class of requests that a site's callers send.
struct TrafficClass {
  RouteId route;
  PoolId pool;
  Tier tier = Tier::kStandard;
  // Arrival rate at load 1, as a fraction of the capacity of the pool.
  double fraction = 0.0;
  // Prompt tokens; 0 for plain services.
  int64_t prompt = 0;
  // Median of the log-normal output length in tokens, and sigma of its
  // logarithm. For plain services, in milliseconds of work.
  double output = 0.0;
  double output_sigma = 0.0;
  // Maximum time from the arrival of a request to the start of work on it.
  Duration max_queue_time{};
  bool idempotent = true;
  // Prompts continue earlier ones and share their blocks.
  bool is_conversation = false;
};

// Model of one deployment: its upstreams and its traffic.
struct FakeSite {
  std::string name;
  std::vector<UpstreamSpec> upstreams;
  std::vector<FakeEngineSpeed> speeds;
  std::vector<TrafficClass> classes;
  size_t routers = 7;
  // Weights by which the load balancer spreads requests over the routers.
  std::vector<double> router_fractions;
  // Weights by which requests are spread over the client accounts.
  std::vector<double> account_fractions;

  // Returns the requests per second that fill all slots of `pool`.
  double Capacity(const PoolId& pool) const;
};

// Prompt tokens per block of the prefix cache.
inline constexpr int64_t kBlockTokens = 128;

// Creates a site with 9 assistant and 3 booking upstreams. Its traffic is hire
// questions, chat, plans, damage notes and bookings.
FakeSite MakeSkokan();

// Creates a site with 18 report-writer and 3 bidding upstreams. Its traffic is
// bidder questions, chat, long reports, tags and bids.
FakeSite MakeWadiRum();

}  // namespace papaya::bench

#endif  // BENCH_FAKE_SITE_H_
