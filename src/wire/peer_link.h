#ifndef SRC_WIRE_PEER_LINK_H_
#define SRC_WIRE_PEER_LINK_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "include/wire/peer_network.h"
#include "src/wire/peer_liveness.h"

namespace papaya {

class PeerSocket;

// The way to one address: connects when there is something to send, proves the
// fleet secret, writes what waits, and connects anew after a break. What waits
// while the other end can't be reached is dropped, as it would be stale.
//
// A connection can go silent without an error. If nothing is acknowledged in
// time, what is to be sent waits while a new connection is opened. That one
// replaces the old one unless the old one shows life first, as the other end
// may only be slow. Frames that were written to the old one are not repeated.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
 public:
  struct Hooks {
    // A message went out, or was dropped; its bytes.
    std::function<void(size_t)> sent;
    std::function<void(size_t)> dropped;
    // The other end was refused or can't be reached.
    std::function<void(const absl::Status&)> failed;
    // A new connection has replaced one on which nothing was acknowledged for
    // `silence`.
    std::function<void(const RouterId& peer, Duration silence)> renewed;
    // Nothing was sent for the idle time; the link is of no use any more.
    std::function<void()> idle;
  };

  // `options` must outlive the link, but not its coroutine.
  PeerLink(boost::asio::io_context& context,
           const PeerNetwork::Options& options,
           std::string address,
           Hooks hooks);

  // Takes an encoded message for `router`, or for whoever is there if empty.
  void Send(const RouterId& router, std::string content);

  // Ends the link; what waits is dropped without notice.
  void Stop();

 private:
  struct Waiting {
    RouterId router;
    std::string content;
  };

  // A connection whose other end has proven its name.
  struct Connection {
    std::shared_ptr<PeerSocket> socket;
    RouterId peer;
    bool acknowledges = false;
  };

  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<absl::StatusOr<Connection>> Open();
  // Makes `connection` the one that is written to.
  void Use(Connection connection);
  // Takes the acknowledgements on `socket` until it ends.
  boost::asio::awaitable<void> ReadAcks(std::shared_ptr<PeerSocket> socket);
  // Writes all that waits; then waits for more.
  boost::asio::awaitable<absl::Status> WriteOn();
  boost::asio::awaitable<absl::Status> WriteBatch();
  // Replaces the connection, which has gone silent.
  boost::asio::awaitable<absl::Status> Renew();
  boost::asio::awaitable<void> Sleep(Duration duration);
  void DropAll();

  boost::asio::io_context& context_;
  const PeerNetwork::Options options_;
  const std::string address_;
  Hooks hooks_;
  boost::asio::steady_timer wake_;
  std::deque<Waiting> waiting_;
  int64_t waiting_bytes_ = 0;
  MemoryCharge charge_;
  Connection connection_;
  // The other end has closed connection_, or it broke.
  bool has_ended_ = false;
  PeerLiveness liveness_;
  // The connection that is being opened; null if there is none.
  std::shared_ptr<PeerSocket> dialing_;
  bool is_running_ = false;
  bool stopped_ = false;
};

}  // namespace papaya

#endif  // SRC_WIRE_PEER_LINK_H_
