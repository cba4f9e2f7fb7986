#ifndef SRC_DAEMON_ROLLOUT_CONTROLLER_H_
#define SRC_DAEMON_ROLLOUT_CONTROLLER_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "include/base/ids.h"
#include "include/base/random.h"
#include "include/base/units.h"
#include "include/rollout/note_runner.h"
#include "include/rollout/release_note_store.h"
#include "include/rollout/stats_sender.h"
#include "include/rollout/stop_fact.h"
#include "include/rollout/version_judge.h"
#include "include/rollout/version_stats.h"
#include "include/settings/router_settings.h"
#include "include/telemetry/event.h"
#include "src/daemon/engine_client.h"

namespace papaya {

class ObjectStore;
class StateChart;
struct FleetView;

// The result of one attempt at an upstream, for the comparison of versions.
struct ReplySample {
  PoolId pool;
  VersionId version;
  RouteId route;
  UpstreamId upstream;
  // The attempt failed because of the upstream.
  bool failed = false;
  Duration first_token{};
  Duration total_time{};
  Tokens tokens;
};

// Runs release notes in this router: stores the notes of operators, collects
// and judges statistics of new versions, and executes notes while this router
// holds the lease. Runs on the control thread.
class RolloutController {
 public:
  struct Hooks {
    std::function<void(const RouterId&, const StatsReport&)> send_stats;
    // Called when this router's judge found a version or one of its upstreams
    // bad.
    std::function<void(const StopFact&)> stop;
    // Called when the Object API accepted a configuration from this router.
    std::function<void(const FleetConfig&)> offer;
    EventHook event;
  };

  // `store` must outlive the controller.
  RolloutController(boost::asio::io_context& context,
                    const RouterSettings& settings,
                    Incarnation incarnation,
                    const std::shared_ptr<const StateChart>& note_chart,
                    ObjectStore* store,
                    Hooks hooks,
                    uint64_t seed);
  ~RolloutController();

  // Must be called every 100 ms with the live routers. A candidate may take the
  // lease.
  void OnTick(TimePoint now, const FleetView& view, bool is_candidate);

  void OnConfig(const std::shared_ptr<const FleetConfig>& config);
  void OnStopFact(const StopFact& fact);
  void OnReport(const StatsReport& report);
  void OnReply(const ReplySample& sample);

  // True if replies of any pool are counted. May be called on any thread.
  bool IsCounting() const { return is_counting_; }

  ReleaseNoteStore& note_store() { return note_store_; }
  const NoteRunner& runner() const { return runner_; }

 private:
  NoteRunnerHooks MakeRunnerHooks();

  const RouterSettings settings_;
  const Hooks hooks_;
  Random random_;
  EngineClient engine_client_;
  ReleaseNoteStore note_store_;
  VersionStats stats_;
  StatsSender sender_;
  VersionJudge judge_;
  NoteRunner runner_;
  // Addresses of the engines whose state this router has read.
  std::map<UpstreamId, std::string> addresses_;
  std::atomic<bool> is_counting_ = false;
};

}  // namespace papaya

#endif  // SRC_DAEMON_ROLLOUT_CONTROLLER_H_
