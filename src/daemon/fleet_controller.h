#ifndef SRC_DAEMON_FLEET_CONTROLLER_H_
#define SRC_DAEMON_FLEET_CONTROLLER_H_

#include <functional>
#include <memory>
#include <set>
#include <vector>

#include "include/base/ids.h"
#include "include/base/units.h"
#include "include/config/config_spreader.h"
#include "include/membership/membership.h"
#include "include/rollout/stop_fact.h"
#include "include/routing/routing_snapshot.h"
#include "include/settings/router_settings.h"
#include "include/telemetry/event.h"
#include "include/wire/peer_message.h"

namespace papaya {

class ObjectStore;

// Keeps this router's view of the fleet: live routers, the configuration in
// force, and stopped versions and leaving upstreams. Builds a new
// RoutingSnapshot on each change. Runs on the control thread.
class FleetController {
 public:
  struct Hooks {
    std::function<void(const PeerAddress&, const PeerMessage&)> send;
    std::function<void(std::shared_ptr<const RoutingSnapshot>)> publish;
    // Called when this router puts a revision in force.
    std::function<void(const std::shared_ptr<const FleetConfig>&)> in_force;
    // Called once for each new stop fact: a version, or one upstream that runs
    // it, was found bad by this or another router.
    std::function<void(const StopFact&)> stopped;
    // Called when this router moves to a later incarnation.
    std::function<void(Incarnation)> incarnation_changed;
    EventHook event;
  };

  // `store` must outlive the controller. Other routers reach this one at
  // `peer_address`.
  FleetController(const RouterSettings& settings,
                  Incarnation incarnation,
                  const std::string& peer_address,
                  ObjectStore* store,
                  Hooks hooks,
                  uint64_t seed,
                  TimePoint now);
  ~FleetController();

  // Call every 100 ms.
  void OnTick(TimePoint now);

  void OnMessage(const RouterId& from,
                 const MemberMessage& message,
                 TimePoint now);
  void OnMessage(const RouterId& from,
                 const ConfigMessage& message,
                 TimePoint now);

  // Applies the platform's VM list: the leaving VMs, and all other VMs that
  // run.
  void OnVmList(const std::set<VmId>& leaving,
                const std::set<VmId>& running,
                TimePoint now);

  // Records that `upstream` announced that it is leaving.
  void OnUpstreamLeaving(const UpstreamId& upstream, TimePoint now);

  // Adds a stop fact found by this router's judge and spreads it to the other
  // routers.
  void Stop(const StopFact& fact, TimePoint now);

  // Takes over a configuration that the Object API has just accepted from this
  // router.
  void Offer(const FleetConfig& config, TimePoint now);

  // Announces that this router accepts no new requests.
  void SetDraining(TimePoint now) { membership_->SetDraining(now); }
  // Announces that this router is stopping.
  void Leave(TimePoint now) { membership_->Leave(now); }

  const FleetView& view() const { return membership_->view(); }
  RevisionReport Report() const { return spreader_->Report(); }
  // Null until a revision is in force.
  std::shared_ptr<const FleetConfig> config() const {
    return spreader_->config();
  }
  const FactSet& facts() const { return spreader_->facts(); }

  // The incarnation under which the other routers know this one.
  Incarnation incarnation() const { return membership_->incarnation(); }

  // True if `incarnation` of `router` is a member that is not declared dead.
  bool IsAlive(const RouterId& router, Incarnation incarnation) const;

  // True for the routers that rank first in their availability zone by
  // rendezvous hash. Only these read the configuration, execute release notes
  // and sweep claims.
  bool IsCandidate() const { return spreader_->IsReader(); }

 private:
  void OnFacts(const FactSet& facts);
  void Publish();

  const RouterSettings settings_;
  const Hooks hooks_;
  TimePoint now_;
  std::unique_ptr<Membership> membership_;
  std::unique_ptr<ConfigSpreader> spreader_;
  // Stop facts of the release notes in progress.
  StopSet stops_;
  std::set<StopFact> known_stops_;
  // The leaving VMs of the last VM list, and the revision whose upstreams were
  // compared with them.
  std::set<VmId> leaving_vms_;
  Revision leaving_revision_;
};

}  // namespace papaya

#endif  // SRC_DAEMON_FLEET_CONTROLLER_H_
