#ifndef SRC_GATEWAY_ROUTER_MESH_H_
#define SRC_GATEWAY_ROUTER_MESH_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "absl/status/status.h"
#include "include/gateway/gateway_settings.h"
#include "include/membership/membership.h"
#include "include/routing/routing_snapshot.h"
#include "include/wire/peer_network.h"

namespace papaya {

// The other routers of the fleet, found by gossip, and messages to them. One
// thread.
class RouterMesh {
 public:
  struct Hooks {
    // The routers that run have changed.
    std::function<void()> changed;
    // A message other than gossip.
    std::function<void(const RouterId& from, const PeerMessage& message)>
        receive;
    EventHook event;
  };

  // `context` must outlive this.
  RouterMesh(boost::asio::io_context& context,
             const GatewaySettings& settings,
             Incarnation incarnation,
             Hooks hooks);
  ~RouterMesh();

  absl::Status Start();
  // Call every 100 ms.
  void OnTick(TimePoint now);

  // Does nothing if no router of that name is known.
  void Send(const RouterId& router, const PeerMessage& message);

  // The routers that run, this one among them.
  std::vector<RouterLocation> Routers() const;

  // Tells the others that this router takes nothing new.
  void SetDraining(TimePoint now);
  // Tells the others that this router stops now.
  void Leave(TimePoint now);

 private:
  void OnMessage(const RouterId& from, const PeerMessage& message);

  const Hooks hooks_;
  std::unique_ptr<PeerNetwork> network_;
  std::unique_ptr<Membership> membership_;
};

}  // namespace papaya

#endif  // SRC_GATEWAY_ROUTER_MESH_H_
