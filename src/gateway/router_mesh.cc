#include "src/gateway/router_mesh.h"

#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"
#include "include/base/random.h"
#include "include/base/stable_hash.h"
#include "include/wire/steady_time.h"

namespace papaya {

namespace {

PeerNetwork::Options NetworkOptions(const GatewaySettings& settings,
                                    std::shared_ptr<MemoryBudget> memory) {
  PeerNetwork::Options options;
  options.fleet = FleetId(settings.store_address);
  options.self = settings.router;
  // The platform provides no secret, so it is derived from the store's address,
  // which all routers know. This separates fleets but does not authenticate
  // peers: only the platform's network keeps others out.
  options.fleet_secret = absl::StrCat("fleet of ", settings.store_address);
  options.listen_address = settings.peer_address;
  options.memory = std::move(memory);
  return options;
}

Membership::Options MemberOptions(const GatewaySettings& settings,
                                  Incarnation incarnation) {
  Membership::Options options;
  options.self = settings.router;
  options.incarnation = incarnation;
  options.address = settings.peer_address;
  options.region = settings.region;
  options.zone = settings.zone;
  options.seeds = settings.seeds;
  return options;
}

}  // namespace

RouterMesh::RouterMesh(boost::asio::io_context& context,
                       const GatewaySettings& settings,
                       Incarnation incarnation,
                       std::shared_ptr<MemoryBudget> memory,
                       Hooks hooks)
    : hooks_(std::move(hooks)) {
  PeerNetwork::Hooks network_hooks;
  network_hooks.receive = [this](const RouterId& from,
                                 const PeerMessage& message) {
    OnMessage(from, message);
  };
  network_hooks.event = hooks_.event;
  network_ = std::make_unique<PeerNetwork>(
      context, NetworkOptions(settings, std::move(memory)),
      std::move(network_hooks));
  Membership::Hooks member_hooks;
  member_hooks.send = [this](const PeerAddress& to,
                             const MemberMessage& message) {
    network_->Send(to, message);
  };
  member_hooks.view_changed = [this](const FleetView&) { hooks_.changed(); };
  member_hooks.incarnation_changed = [](Incarnation) {};
  member_hooks.event = hooks_.event;
  membership_ = std::make_unique<Membership>(
      MemberOptions(settings, incarnation), std::move(member_hooks),
      Random(StableHash(settings.router.value(), incarnation.value())),
      SteadyNow());
}

RouterMesh::~RouterMesh() = default;

absl::Status RouterMesh::Start() {
  return network_->Start();
}

void RouterMesh::OnTick(TimePoint now) {
  membership_->OnTick(now);
}

void RouterMesh::SetSeeds(const std::vector<std::string>& seeds,
                          TimePoint now) {
  membership_->SetSeeds(seeds, now);
}

void RouterMesh::OnMessage(const RouterId& from, const PeerMessage& message) {
  const MemberMessage* gossip = std::get_if<MemberMessage>(&message);
  if (gossip != nullptr) {
    membership_->OnMessage(from, *gossip, SteadyNow());
  } else {
    hooks_.receive(from, message);
  }
}

void RouterMesh::Send(const RouterId& router, const PeerMessage& message) {
  const RouterView* view = FindRouter(membership_->view(), router);
  if (view != nullptr) {
    network_->Send({.router = router, .address = view->address}, message);
  }
}

std::vector<RouterLocation> RouterMesh::Routers() const {
  std::vector<RouterLocation> places;
  for (const RouterView& router : membership_->view().routers) {
    places.push_back({.id = router.id, .zone = router.zone});
  }
  return places;
}

const std::vector<RouterId>& RouterMesh::Neighbours() const {
  return membership_->view().neighbours;
}

void RouterMesh::SetDraining(TimePoint now) {
  membership_->SetDraining(now);
}

void RouterMesh::Leave(TimePoint now) {
  membership_->Leave(now);
  network_->Stop();
}

}  // namespace papaya
