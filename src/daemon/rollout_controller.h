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

// How one attempt at an upstream ended, for comparing versions.
struct ReplySample {
  PoolId pool;
  VersionId version;
  RouteId route;
  UpstreamId upstream;
  // The upstream was at fault.
  bool failed = false;
  Duration first_token{};
  Duration total_time{};
  Tokens tokens;
};

// Release notes in this router, on the control thread: serves operators, counts
// and judges replies of new versions, and carries notes out while it holds the
// lease.
class RolloutController {
 public:
  struct Hooks {
    std::function<void(const RouterId&, const StatsReport&)> send_stats;
    // This router's judge found something bad.
    std::function<void(const StopFact&)> stop;
    // The store has accepted a configuration from this router.
    std::function<void(const FleetConfig&)> offer;
    EventHook event;
  };

  // `store` must outlive this.
  RolloutController(boost::asio::io_context& context,
                    const RouterSettings& settings,
                    Incarnation incarnation,
                    const std::shared_ptr<const StateChart>& note_chart,
                    ObjectStore* store,
                    Hooks hooks,
                    uint64_t seed);
  ~RolloutController();

  // Call every 100 ms with the routers that live.
  void OnTick(TimePoint now, const FleetView& view, bool is_candidate);

  void OnConfig(const std::shared_ptr<const FleetConfig>& config);
  void OnStopFact(const StopFact& fact);
  void OnReport(const StatsReport& report);
  void OnReply(const ReplySample& sample);

  // True if replies are counted at all now. Any thread.
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
  // Of engines that this router has read the state of.
  std::map<UpstreamId, std::string> addresses_;
  std::atomic<bool> is_counting_ = false;
};

}  // namespace papaya

#endif  // SRC_DAEMON_ROLLOUT_CONTROLLER_H_
