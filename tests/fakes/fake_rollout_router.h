#ifndef TESTS_FAKES_FAKE_ROLLOUT_ROUTER_H_
#define TESTS_FAKES_FAKE_ROLLOUT_ROUTER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "include/base/ids.h"
#include "include/base/random.h"
#include "include/base/units.h"
#include "include/config/fleet_config.h"
#include "include/rollout/note_runner.h"
#include "include/rollout/stats_sender.h"
#include "include/rollout/stop_fact.h"
#include "include/rollout/version_judge.h"
#include "include/rollout/version_stats.h"
#include "tests/fakes/fake_object_store.h"

namespace papaya {

// The reply of an upstream to one request.
struct FakeReply {
  bool failed = false;
  Duration latency{};
};

// One router: its objects of the rollout module and the data it has received.
struct FakeRouter {
  RouterId id;
  std::unique_ptr<FakeObjectStore> store;
  std::unique_ptr<Random> random;
  std::unique_ptr<NoteRunner> runner;
  std::unique_ptr<VersionJudge> judge;
  std::unique_ptr<VersionStats> stats;
  std::unique_ptr<StatsSender> sender;
  StopSet stops;
  FleetConfig config;
  // `config` without stopped versions and upstreams.
  FleetConfig routed;
  bool is_paused = false;
  bool is_cut_off = false;
  // Time of the last start or resume; from then on it receives what it missed.
  TimePoint awake_since;
  uint64_t incarnation = 0;
};

struct FakeRolloutOptions {
  size_t routers = 7;
  NoteRunnerOptions runner;
  VersionJudgeOptions judge;
  Duration tick = std::chrono::milliseconds(500);
  std::vector<RouteId> routes = {RouteId("plan")};
  // The pools that receive requests, in equal parts.
  std::vector<PoolId> pools = {PoolId("plans")};
  // Fraction of gossip messages that are lost; each is repeated after one
  // second.
  double lost_gossip = 0.1;
  Duration load_time = std::chrono::seconds(40);
};

}  // namespace papaya

#endif  // TESTS_FAKES_FAKE_ROLLOUT_ROUTER_H_
