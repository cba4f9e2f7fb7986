#ifndef INCLUDE_GATEWAY_VERSION_MOVES_H_
#define INCLUDE_GATEWAY_VERSION_MOVES_H_

#include <functional>
#include <map>
#include <set>
#include <vector>

#include "include/base/ids.h"
#include "include/base/units.h"
#include "include/config/fleet_config.h"
#include "include/gateway/canary_plan.h"
#include "include/gateway/move_order.h"
#include "include/rollout/stop_fact.h"
#include "include/rollout/version_judge.h"
#include "include/rollout/version_stats.h"
#include "include/telemetry/event.h"

namespace papaya {

// Carries out orders to move services between versions, together with the
// other routers, in stages: a small share of the requests over all upstreams of
// the new version; then some of these with the load that they will have; then
// all requests; then the order is told completed (CanaryPlan). Both versions
// are compared all the while. A version found worse gets nothing more and is
// told taken back, as is one that too few requests have tried.
//
// All routers time the stages from when they first saw the order. The routers
// that judge a service hear the counts of all; any of them may take back, and
// the first of them by rank tells the rest, the next one if it does not. Does
// no I/O and reads no clock; not thread-safe.
class VersionMoves {
 public:
  struct Hooks {
    // Write that state of the order, unless it was changed meanwhile.
    std::function<void(const MoveOrder&, MoveState)> write_state;
    std::function<void(const RouterId&, const StatsReport&)> send;
    // Apply gives something else from now on.
    std::function<void()> changed;
    EventHook event;
  };

  VersionMoves(const RouterId& self, Incarnation incarnation, Hooks hooks);

  void OnOrder(const MoveOrder& order, TimePoint now);
  void OnOrderRemoved(const PoolId& service);
  void SetRouters(const std::vector<RouterId>& routers) { routers_ = routers; }

  // `config`, whose upstreams have their versions, with the shares that orders
  // give them. Versions of services without an order are made alike.
  FleetConfig Apply(FleetConfig config);

  // True if requests to `service` are counted now.
  bool IsCounting(const PoolId& service) const {
    return stats_.IsCounting(service);
  }
  // An attempt has ended; `latency` is ComparableLatency.
  void OnAttemptEnd(const PoolId& service,
                    const VersionId& version,
                    const RouteId& route,
                    const UpstreamId& upstream,
                    bool failed,
                    Duration latency);

  void OnReport(const StatsReport& report) { judge_.OnReport(report); }

  // Call every 100 ms.
  void OnTick(TimePoint now);

 private:
  struct Move {
    MoveOrder order;
    NoteId note;
    TimePoint start_time;
    CanaryStage stage = CanaryStage::kSpread;
    // For the upstreams that the version has now.
    CanaryPlan plan;
    // The upstreams that have their load in that stage.
    std::set<UpstreamId> loaded;
    TimePoint next_write;
  };

  void OnStop(const StopFact& fact);
  void Decide(Move* move, TimePoint now);
  void Write(Move* move, MoveState state, const char* reason, TimePoint now);
  // What this router's judge has on the new version.
  VersionEvidence EvidenceAgainst(const Move& move) const;
  void EnterStage(Move* move, CanaryStage stage);
  // Takes the new version back if the evidence against it reaches `bound`.
  void StopIfWorse(const Move& move, double bound);
  // This router's place among those that judge the service; -1 if it does not.
  int JudgeRank(const Move& move) const;
  // Picks the upstreams that get their load.
  void ChooseLoaded(const FleetConfig& config, Move* move) const;
  // What the new version gets of the requests.
  static Permille ShareOf(const Move& move);
  void AssignShares(Move* move, FleetConfig* config) const;
  // Has the loaded upstreams serve as if they were of the old version, and the
  // others of the new version rest. Requests of their own would queue at few
  // upstreams, which makes a good version slow and callers wait for a bad one.
  static void MergeLoadedUpstreams(const Move& move, FleetConfig* config);

  const RouterId self_;
  const Hooks hooks_;
  std::vector<RouterId> routers_;
  std::map<PoolId, Move> moves_;
  VersionStats stats_;
  VersionJudge judge_;
  StopSet stops_;
  TimePoint next_report_;
};

}  // namespace papaya

#endif  // INCLUDE_GATEWAY_VERSION_MOVES_H_
