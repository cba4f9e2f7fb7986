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

// One of the users' deployments, for one pool of model engines.
struct Deployment {
  std::string name;
  size_t replicas = 0;
  double requests_per_second = 0.0;
  std::vector<RouteId> routes;
};

const std::vector<Deployment>& Deployments();

// What is wrong with a version, or with the world around a good one.
enum class Kind : uint8_t {
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

const char* KindName(Kind kind);

struct Scenario {
  Deployment deployment;
  Kind kind = Kind::kGoodInNoise;
  // Failures +5 points or latency +50%; else +1 point or +15%.
  bool is_large = true;
  uint64_t seed = 0;

  bool IsBad() const { return kind < Kind::kGoodInNoise; }
};

// The time from submitting the note to `traffic_by`.
inline constexpr Duration kWindow = std::chrono::hours(2);

// How upstreams answer in a scenario.
class TrafficModel {
 public:
  TrafficModel(const Scenario& scenario, Random* random);

  // The reply of `upstream`, serving `version`, to a request at `now`.
  FakeReply Serve(const UpstreamId& upstream,
                  const VersionId& version,
                  const RouteId& route,
                  TimePoint now);

  // Requests a second, over all upstreams.
  double Rate(TimePoint now) const;

  // The scenario's times count from here.
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
  // When the scenario's event sets in, after the note or after the first
  // request of the new version.
  Duration onset_{};
  UpstreamId affected_upstream_;
  uint64_t requests_ = 0;
  uint64_t bad_requests_ = 0;
};

// What became of one note.
struct RunResult {
  bool is_done = false;
  bool is_rolled_back = false;
  bool is_in_time = false;
  bool is_stuck = false;
  // The operator was told what store, configuration or engines do not bear out.
  bool is_status_wrong = false;
  int stale_engines = 0;
  // Share of all requests in the window that the new version got.
  double exposure = 0.0;
  std::string reason;
};

// Carries out a note that moves the pool to another version.
RunResult RunScenario(const Scenario& scenario);

// The same world under a fixed thin share on one replica for ten minutes, fixed
// thresholds on failures and mean latency, and no bake time.
RunResult RunBaseline(const Scenario& scenario);

}  // namespace papaya::bench

#endif  // BENCH_ROLLOUT_SCENARIO_H_
