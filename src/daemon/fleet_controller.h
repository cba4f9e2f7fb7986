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

// What this router knows of the fleet, on the control thread: which routers
// live, which configuration is in force, what is stopped or leaving. Works out
// the RoutingSnapshot from it on each change.
class FleetController {
 public:
  struct Hooks {
    std::function<void(const PeerAddress&, const PeerMessage&)> send;
    std::function<void(std::shared_ptr<const RoutingSnapshot>)> publish;
    // A revision went in force here.
    std::function<void(const std::shared_ptr<const FleetConfig>&)> in_force;
    // A version or one replica of it was found bad, here or elsewhere.
    std::function<void(const StopFact&)> stopped;
    // The fleet knows this router under a later incarnation from now on.
    std::function<void(Incarnation)> incarnation_changed;
    EventHook event;
  };

  // `store` must outlive this. `peer_address` is where others reach this
  // router.
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

  // The platform's VM list: VMs that are leaving, and all that run.
  void OnVmList(const std::set<VmId>& leaving,
                const std::set<VmId>& running,
                TimePoint now);

  // An upstream said that it is leaving.
  void OnUpstreamLeaving(const UpstreamId& upstream, TimePoint now);

  // This router's judge found something bad.
  void Stop(const StopFact& fact, TimePoint now);

  // A configuration that the store has just accepted from this router.
  void Offer(const FleetConfig& config, TimePoint now);

  // Tells the others that this router takes nothing new.
  void SetDraining(TimePoint now) { membership_->SetDraining(now); }
  // Tells the others that this router stops now.
  void Leave(TimePoint now) { membership_->Leave(now); }

  const FleetView& view() const { return membership_->view(); }
  RevisionReport Report() const { return spreader_->Report(); }
  // Null until a revision is in force.
  std::shared_ptr<const FleetConfig> config() const {
    return spreader_->config();
  }
  const FactSet& facts() const { return spreader_->facts(); }

  // The incarnation that others know this router by.
  Incarnation incarnation() const { return membership_->incarnation(); }

  // True if that incarnation of a router is believed to run.
  bool IsAlive(const RouterId& router, Incarnation incarnation) const;

  // True for the first few routers of the availability zone by rendezvous
  // hash, which may carry out release notes and clean up.
  bool IsCandidate() const { return spreader_->IsReader(); }

 private:
  void OnFacts(const FactSet& facts);
  void Publish();

  const RouterSettings settings_;
  const Hooks hooks_;
  TimePoint now_;
  std::unique_ptr<Membership> membership_;
  std::unique_ptr<ConfigSpreader> spreader_;
  // Stop facts of the notes that are in progress.
  StopSet stops_;
  std::set<StopFact> known_stops_;
  // VMs that the platform's list showed as leaving, and the revision whose
  // upstreams were compared with them.
  std::set<VmId> leaving_vms_;
  Revision leaving_revision_;
};

}  // namespace papaya

#endif  // SRC_DAEMON_FLEET_CONTROLLER_H_
