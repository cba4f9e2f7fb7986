#ifndef BENCH_ROLLOUT_SCENARIO_H_
#define BENCH_ROLLOUT_SCENARIO_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "include/base/ids.h"
#include "include/base/random.h"
#include "include/base/units.h"
#include "tests/fakes/fake_rollout_fleet.h"

namespace papaya::bench {

// A model of one of the users' deployments with one pool of model engines.
struct Deployment {
  std::string name;
  size_t replicas = 0;
  double requests_per_second = 0.0;
  std::vector<RouteId> routes;
};

const std::vector<Deployment>& Deployments();

// What is wrong with the new version, or which disturbance a good version meets
// (kGood...).
enum class ScenarioKind : uint8_t {
  kFailsAtOnce,
  kSlowAtOnce,
  kFailsLater,
  kFailsUnderLoad,
  kFailsOnOneRoute,
  kSlowDecay,
  kGoodInNoise,
  kGoodOneBadVm,
  kGoodInOverload,
  kGoodWithStraggler,
  kGoodInStoreOutage,
};

const char* ScenarioKindName(ScenarioKind kind);

struct Scenario {
  Deployment deployment;
  ScenarioKind kind = ScenarioKind::kGoodInNoise;
  // If true, a bad version adds 5 percentage points of failures or 50% of
  // latency, otherwise 1 point or 15%.
  bool is_large = true;
  uint64_t seed = 0;

  bool IsBad() const { return kind < ScenarioKind::kGoodInNoise; }
};

// The time between the submission of the note and its `traffic_by`.
inline constexpr Duration kWindow = std::chrono::hours(2);

// Simulates the replies and the request rate of a scenario.
class TrafficModel {
 public:
  TrafficModel(const Scenario& scenario, Random* random);

  // Returns the reply of `upstream`, which serves `version`, to a request at
  // `now`.
  FakeReply Serve(const UpstreamId& upstream,
                  const VersionId& version,
                  const RouteId& route,
                  TimePoint now);

  // Returns the requests per second to all upstreams together.
  double Rate(TimePoint now) const;

  // Sets the time from which the scenario's times are counted.
  void Begin(TimePoint now) { start_ = now; }

  bool IsStoreUnavailable(TimePoint now) const;

  uint64_t requests() const { return requests_; }
  uint64_t bad_requests() const { return bad_requests_; }

 private:
  struct Load {
    double rate = 0.0;
    TimePoint at;
  };

  double ObserveLoad(const UpstreamId& upstream, TimePoint now);
  bool IsDuring(TimePoint now, Duration length) const;

  const Scenario scenario_;
  Random* const random_;
  std::map<UpstreamId, Load> loads_;
  std::map<UpstreamId, double> vm_factors_;
  TimePoint start_;
  std::optional<TimePoint> first_served_;
  // The delay of the scenario's event: after the start, or for kFailsLater
  // after the first request to the new version.
  Duration onset_{};
  UpstreamId affected_upstream_;
  uint64_t requests_ = 0;
  uint64_t bad_requests_ = 0;
};

// The outcome of one note.
struct RunResult {
  bool is_done = false;
  bool is_rolled_back = false;
  bool is_on_time = false;
  bool is_stuck = false;
  // True if the state reported to the operator does not match the configuration
  // or the versions that engines serve.
  bool is_status_wrong = false;
  int stale_engines = 0;
  // The share of all requests in the window that a bad version received.
  double exposure = 0.0;
  std::string reason;
};

// Runs a note that moves the pool to another version.
RunResult RunScenario(const Scenario& scenario);

// Runs the same scenario with a fixed canary: a small share on one replica for
// ten minutes, fixed thresholds on failures and mean latency, no bake time.
RunResult RunBaseline(const Scenario& scenario);

}  // namespace papaya::bench

#endif  // BENCH_ROLLOUT_SCENARIO_H_
