#ifndef SRC_GATEWAY_ROUTER_MESH_H_
#define SRC_GATEWAY_ROUTER_MESH_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "include/gateway/gateway_settings.h"
#include "include/membership/membership.h"
#include "include/routing/routing_snapshot.h"
#include "include/wire/peer_network.h"

namespace papaya {

// Finds the other routers of the fleet by gossip and exchanges messages with
// them. Single-threaded.
class RouterMesh {
 public:
  struct Hooks {
    // The result of Routers has changed.
    std::function<void()> changed;
    // Receives all messages except gossip.
    std::function<void(const RouterId& from, const PeerMessage& message)>
        receive;
    EventHook event;
  };

  // `context` must outlive the mesh. `memory` may be null.
  RouterMesh(boost::asio::io_context& context,
             const GatewaySettings& settings,
             Incarnation incarnation,
             std::shared_ptr<MemoryBudget> memory,
             Hooks hooks);
  ~RouterMesh();

  absl::Status Start();
  // Call every 100 ms.
  void OnTick(TimePoint now);

  // Replaces the addresses of the routers to contact first.
  void SetSeeds(const std::vector<std::string>& seeds, TimePoint now);

  // Does nothing if no router of that name is known.
  void Send(const RouterId& router, const PeerMessage& message);

  // Returns the live routers, including this one.
  std::vector<RouterLocation> Routers() const;

  // Returns the few routers with which this one exchanges gossip.
  const std::vector<RouterId>& Neighbours() const;

  PeerNetwork::Counts counts() const { return network_->counts(); }

  // Announces to the other routers that this one is draining.
  void SetDraining(TimePoint now);
  // Announces to the other routers that this one stops, and closes the network.
  void Leave(TimePoint now);

 private:
  void OnMessage(const RouterId& from, const PeerMessage& message);

  const Hooks hooks_;
  std::unique_ptr<PeerNetwork> network_;
  std::unique_ptr<Membership> membership_;
};

}  // namespace papaya

#endif  // SRC_GATEWAY_ROUTER_MESH_H_
