#ifndef INCLUDE_GATEWAY_VERSION_MOVES_H_
#define INCLUDE_GATEWAY_VERSION_MOVES_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "include/base/ids.h"
#include "include/base/units.h"
#include "include/config/fleet_config.h"
#include "include/gateway/canary_plan.h"
#include "include/gateway/move_order.h"
#include "include/gateway/request_rate.h"
#include "include/rollout/exposure_bounds.h"
#include "include/rollout/move_approval.h"
#include "include/rollout/stop_fact.h"
#include "include/rollout/version_judge.h"
#include "include/rollout/version_stats.h"
#include "include/telemetry/event.h"

namespace papaya {

// Carries out orders for version moves, together with the other routers, in
// the stages of CanaryPlan: a small share of the requests spread over all
// upstreams of the new version, then full load on a few of them, then all
// requests on the new version. The last stage is entered only if the new
// version was shown to be good: nothing returns requests to the old version
// after the order is completed. Otherwise the move is rolled back, and the new
// version gets no more requests.
//
// Each router times the stages from when it first received the order. The
// routers that judge a service receive the request counts of all routers, and
// tell all routers once the new version is shown to be good. Any judge that
// finds the new version worse rolls back at once. Other states are written to
// the order by the first judge by rank, or by the next one if that does not
// happen in time. Does no I/O and reads no clock; not thread-safe.
class VersionMoves {
 public:
  struct Hooks {
    // Stores the state of the order unless the order has changed in the store
    // in the meantime.
    std::function<void(const MoveOrder&, MoveState)> write_state;
    std::function<void(const RouterId&, const StatsReport&)> send;
    std::function<void(const RouterId&, const MoveApproval&)> approve;
    // The result of Apply has changed.
    std::function<void()> changed;
    EventHook event;
  };

  VersionMoves(const RouterId& self, Incarnation incarnation, Hooks hooks);

  void OnOrder(const MoveOrder& order, TimePoint now);
  void OnOrderRemoved(const PoolId& service);
  void SetRouters(const std::vector<RouterId>& routers) { routers_ = routers; }
  void SetBounds(const ExposureBounds& bounds) { bounds_ = bounds; }

  // Returns `config` with the version shares of the current moves. The
  // upstreams of `config` must have their versions set; those of services
  // without an order get the empty version, so that all are treated alike.
  FleetConfig Apply(FleetConfig config);

  // True if requests to `service` are counted for a comparison of versions.
  bool IsCounting(const PoolId& service) const {
    return stats_.IsCounting(service);
  }
  // A request was sent to an upstream of the service.
  void OnSent(const PoolId& service, const VersionId& version, TimePoint now);
  // Counts an attempt that has ended. `latency` is its ComparableLatency.
  void OnAttemptEnd(const PoolId& service,
                    const VersionId& version,
                    const RouteId& route,
                    const UpstreamId& upstream,
                    bool failed,
                    Duration latency);

  void OnReport(const StatsReport& report) { judge_.OnReport(report); }
  // Another router has shown the new version to be good.
  void OnApproval(const MoveApproval& approval);

  // Call every 100 ms.
  void OnTick(TimePoint now);

 private:
  struct Move {
    MoveOrder order;
    NoteId note;
    TimePoint start_time;
    CanaryStage stage = CanaryStage::kSpread;
    // Computed from the current numbers of upstreams and the rate of requests.
    CanaryPlan plan;
    // When the new version's first upstream was seen.
    std::optional<TimePoint> ready_time;
    // A router has shown the new version to be good.
    bool is_approved = false;
    // The new version gets no requests for now: what it may get before it is
    // approved is spent, or the time of the order is over.
    bool is_held = false;
    // Requests that this router has sent to the new version.
    uint64_t sent = 0;
    TimePoint next_approval;
    // The upstreams of the new version that get full load in kLoaded.
    std::set<UpstreamId> loaded;
    TimePoint next_write;
    // The store has lost the state that the order had, so it is written again.
    bool must_restore = false;
  };

  void OnStop(const StopFact& fact);
  // Requests a second to the service, from all routers together.
  double FleetRate(const PoolId& service) const;
  // Approves the move if this router's judge has shown the new version to be
  // good, and tells the others.
  void ApproveIfGood(Move* move, TimePoint now);
  // Returns true if the new version may get no more requests for now.
  bool MustHold(const Move& move, TimePoint now) const;
  void Decide(Move* move, TimePoint now);
  void Write(Move* move, MoveState state, const char* reason, TimePoint now);
  // Returns the evidence of this router's judge against the new version.
  VersionEvidence EvidenceAgainst(const Move& move) const;
  void EnterStage(Move* move, CanaryStage stage);
  void StopVersion(const Move& move);
  // Returns this router's rank among the routers that judge the service, from
  // 0, or -1 if it is not one of them.
  int JudgeRank(const Move& move) const;
  // Chooses the upstreams of the new version that get full load in kLoaded.
  void ChooseLoadedUpstreams(const FleetConfig& config, Move* move) const;
  // Returns the new version's share of the requests.
  static Permille ShareOf(const Move& move);
  void AssignShares(Move* move, FleetConfig* config) const;
  // Makes the loaded upstreams part of the old version for routing and gives
  // the other upstreams of the new version no requests. If the loaded upstreams
  // had a share of their own, its requests would queue at few upstreams: a good
  // version would look slow, and callers would wait for a bad one.
  static void MergeLoadedUpstreams(const Move& move, FleetConfig* config);

  const RouterId self_;
  const Hooks hooks_;
  std::vector<RouterId> routers_;
  std::map<PoolId, Move> moves_;
  std::map<PoolId, RequestRate> rates_;
  ExposureBounds bounds_;
  TimePoint now_;
  VersionStats stats_;
  VersionJudge judge_;
  StopSet stops_;
  TimePoint next_report_;
};

}  // namespace papaya

#endif  // INCLUDE_GATEWAY_VERSION_MOVES_H_
