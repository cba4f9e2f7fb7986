#ifndef SRC_DAEMON_CONTROL_PLANE_H_
#define SRC_DAEMON_CONTROL_PLANE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "include/admission/demand_name_resolver.h"
#include "include/settings/router_settings.h"
#include "include/telemetry/event.h"
#include "include/wire/http_object_store.h"
#include "include/wire/peer_message.h"
#include "src/daemon/fleet_controller.h"
#include "src/daemon/forward_dispatcher.h"
#include "src/daemon/once_controller.h"
#include "src/daemon/rollout_controller.h"
#include "src/daemon/upstream_poller.h"

namespace papaya {

class StateChart;

// Owns everything that runs on the control thread: fleet membership and
// configuration, release notes, at-most-once requests, and the polling of
// engines and of the platform. Dispatches messages from other routers to the
// component that handles them.
class ControlPlane {
 public:
  struct Hooks {
    std::function<void(const PeerAddress&, const PeerMessage&)> send;
    // Publishes a new snapshot for routing.
    std::function<void(std::shared_ptr<const RoutingSnapshot>)> publish;
    // Called when a revision comes into force.
    std::function<void(Revision)> in_force;
    std::function<void(const UpstreamId&, const LoadReport&)> load;
    std::function<void(const UpstreamId&, const CacheEvent&)> cache;
    std::function<void(const DemandReport&)> demand;
    // Called for a request that another router forwarded; `reply` sends the
    // response back to that router.
    std::function<void(const ForwardRequest&,
                       std::function<void(HttpResponse)> reply)>
        forwarded;
    EventHook event;
  };

  // `context` is run by the control thread and must outlive this object.
  ControlPlane(boost::asio::io_context& context,
               const RouterSettings& settings,
               Incarnation incarnation,
               const std::shared_ptr<const StateChart>& note_chart,
               Hooks hooks);
  ~ControlPlane();

  // Starts the ticks. Other routers reach this one at `peer_address`. From here
  // on all methods must be called on the control thread, except where noted.
  void Start(const std::string& peer_address);

  // Stops the ticks and announces to the other routers that this router is
  // stopping.
  void Stop();

  void OnMessage(const RouterId& from, const PeerMessage& message);

  // Sends each router its part of the scheduler's demand report.
  void SendDemand(const DemandParts& parts);

  // Announces to the other routers that this router accepts no new requests.
  void SetDraining();

  // Records the result of an attempt for the comparison of versions. May be
  // called on any thread.
  void CountReply(const ReplySample& sample);

  // Null before Start.
  FleetController* fleet() { return fleet_.get(); }
  OnceController& once() { return *once_; }
  ForwardDispatcher& forwards() { return forwards_; }
  RolloutController& rollout() { return *rollout_; }
  const HttpObjectStore& store() const { return store_; }

 private:
  void Handle(const RouterId& from, const MemberMessage& message);
  void Handle(const RouterId& from, const ConfigMessage& message);
  void Handle(const RouterId& from, const StatsReport& report);
  void Handle(const RouterId& from, const DemandNotice& notice);
  void Handle(const RouterId& from, const ClaimQuery& query);
  void Handle(const RouterId& from, const ClaimReply& reply);
  void Handle(const RouterId& from, const ForwardRequest& request);
  void Handle(const RouterId& from, const ForwardReply& reply);
  // Ignored: only gateways keep quotas, feed each other, quarantine prompts and
  // move versions by the platform's orders.
  void Handle(const RouterId&, const UsageReport&) {}
  void Handle(const RouterId&, const UsageTotals&) {}
  void Handle(const RouterId&, const FeedRequest&) {}
  void Handle(const RouterId&, const FeedUpdate&) {}
  void Handle(const RouterId&, const CrashNews&) {}
  void Handle(const RouterId&, const MoveApproval&) {}

  void MakeOnce();
  void MakeRollout(const std::shared_ptr<const StateChart>& note_chart);
  void MakeFleet(const std::string& peer_address);
  void Publish(std::shared_ptr<const RoutingSnapshot> snapshot);
  // Sends `message` to `router`; does nothing if the fleet view has no such
  // router.
  void SendTo(const RouterId& router, const PeerMessage& message);
  void ScheduleTick();
  void Tick();
  void ReadVmList(TimePoint now);

  boost::asio::io_context& context_;
  boost::asio::steady_timer timer_;
  const RouterSettings settings_;
  const Incarnation incarnation_;
  const Hooks hooks_;
  HttpObjectStore store_;
  std::unique_ptr<FleetController> fleet_;
  std::unique_ptr<RolloutController> rollout_;
  std::unique_ptr<OnceController> once_;
  ForwardDispatcher forwards_;
  UpstreamPoller poller_;
  std::shared_ptr<const RoutingSnapshot> snapshot_;
  // Resolves the names in demand notices against snapshot_.
  DemandNameResolver demand_names_;
  TimePoint next_slow_tick_;
  TimePoint next_vm_read_;
  bool stopped_ = false;
  // Calls in flight hold a weak_ptr to this to detect that the ControlPlane was
  // destroyed.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace papaya

#endif  // SRC_DAEMON_CONTROL_PLANE_H_
