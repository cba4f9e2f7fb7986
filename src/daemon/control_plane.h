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

// All that lives on the control thread: the fleet, release notes, requests that
// must not run twice, polls of engines and of the platform. Takes messages of
// other routers and gives each to whom it is for.
class ControlPlane {
 public:
  struct Hooks {
    std::function<void(const PeerAddress&, const PeerMessage&)> send;
    // What routing follows from now on.
    std::function<void(std::shared_ptr<const RoutingSnapshot>)> publish;
    // A revision went in force.
    std::function<void(Revision)> in_force;
    std::function<void(const UpstreamId&, const LoadReport&)> load;
    std::function<void(const UpstreamId&, const CacheEvent&)> cache;
    std::function<void(const DemandReport&)> demand;
    // Another router handed over a request; `reply` goes back to it.
    std::function<void(const ForwardRequest&,
                       std::function<void(HttpResponse)> reply)>
        forwarded;
    EventHook event;
  };

  // `context` is the control thread's and must outlive this.
  ControlPlane(boost::asio::io_context& context,
               const RouterSettings& settings,
               Incarnation incarnation,
               const std::shared_ptr<const StateChart>& note_chart,
               Hooks hooks);
  ~ControlPlane();

  // Begins; `peer_address` is where other routers reach this one. All methods
  // from here on are called on the control thread only, unless they say
  // otherwise.
  void Start(const std::string& peer_address);

  // Ends the ticks, and tells the others that this router stops.
  void Stop();

  void OnMessage(const RouterId& from, const PeerMessage& message);

  // Passes the scheduler's demand on, to each router its part.
  void SendDemand(const DemandParts& parts);

  // Tells the others that this router takes nothing new.
  void SetDraining();

  // Counts the end of an attempt. Any thread.
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
  // Quotas are kept by gateways only.
  void Handle(const RouterId&, const UsageReport&) {}
  void Handle(const RouterId&, const UsageTotals&) {}

  void MakeOnce();
  void MakeRollout(const std::shared_ptr<const StateChart>& note_chart);
  void MakeFleet(const std::string& peer_address);
  void Publish(std::shared_ptr<const RoutingSnapshot> snapshot);
  // Sends to a router of the view; does nothing if it has none of that name.
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
  // The names of snapshot_.
  DemandNameResolver demand_names_;
  TimePoint next_slow_tick_;
  TimePoint next_vm_read_;
  bool stopped_ = false;
  // Expires with the plane; calls in flight check it.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace papaya

#endif  // SRC_DAEMON_CONTROL_PLANE_H_
