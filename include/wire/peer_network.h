#ifndef INCLUDE_WIRE_PEER_NETWORK_H_
#define INCLUDE_WIRE_PEER_NETWORK_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "include/admission/memory_budget.h"
#include "include/base/ids.h"
#include "include/base/units.h"
#include "include/membership/member_messages.h"
#include "include/telemetry/event.h"
#include "include/wire/peer_message.h"

namespace papaya {

// The connections between this router and others. A connection carries
// messages from the router that opened it to the other; both ends prove the
// fleet secret first. The other router acknowledges what it receives, so that a
// connection that goes silent without an error is noticed and replaced.
// Messages may be lost, never changed or put in another order on one
// connection. Lives on the control thread.
class PeerNetwork {
 public:
  struct Options {
    FleetId fleet;
    RouterId self;
    std::string fleet_secret;
    // IP:PORT; port 0 takes a free one.
    std::string listen_address;
    // Bytes that wait for one router at most; further messages are dropped.
    Bytes max_queued_bytes{4 * 1024 * 1024};
    // What waits for routers, and frames that are received in part, is charged
    // to this budget; messages beyond its part for routers are dropped. May be
    // null.
    std::shared_ptr<MemoryBudget> memory;
    // Connections from other routers at most.
    int max_inbound = 1024;
    Duration handshake_timeout = std::chrono::seconds(3);
    // A connection that carried nothing for so long is closed.
    Duration idle_timeout = std::chrono::seconds(60);
    // A connection on which messages are not acknowledged for this long has
    // gone silent and is replaced. A router that acknowledged later before gets
    // up to four times as long. Above PeerAckSender::kInterval, with time for
    // a router whose event loop is late.
    Duration ack_timeout = std::chrono::milliseconds(700);
  };

  struct Hooks {
    // A message from a router that has proven its name.
    std::function<void(const RouterId& from, const PeerMessage& message)>
        receive;
    EventHook event;
  };

  // What went through, for metrics.
  struct Counts {
    uint64_t sent_messages = 0;
    uint64_t sent_bytes = 0;
    uint64_t received_messages = 0;
    uint64_t received_bytes = 0;
    // Not sent for lack of room or of a connection.
    uint64_t dropped_messages = 0;
    // Connections refused or closed for a fault of the other end.
    uint64_t refused = 0;
    // Connections that went silent and were replaced.
    uint64_t renewed = 0;
  };

  // `context` must be run by one thread and outlive this.
  PeerNetwork(boost::asio::io_context& context, Options options, Hooks hooks);
  ~PeerNetwork();
  PeerNetwork(const PeerNetwork&) = delete;
  PeerNetwork& operator=(const PeerNetwork&) = delete;

  // Opens the listening socket and starts to accept.
  absl::Status Start();

  // The port that is listened on; 0 before Start.
  uint16_t port() const;

  // Sends `message` to the router at `to`, connecting if need be. If `to`
  // names a router and another one answers there, the message is dropped.
  void Send(const PeerAddress& to, const PeerMessage& message);

  // Closes everything; what waits is dropped.
  void Stop();

  Counts counts() const;

 private:
  class Impl;

  std::shared_ptr<Impl> impl_;
};

}  // namespace papaya

#endif  // INCLUDE_WIRE_PEER_NETWORK_H_
