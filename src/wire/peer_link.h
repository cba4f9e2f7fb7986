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
#include "include/wire/peer_network.h"

namespace papaya {

class PeerSocket;

// The way to one address: connects when there is something to send, proves the
// fleet secret, writes what waits, and connects anew after a break. What waits
// while the other end can't be reached is dropped, as it would be stale.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
 public:
  struct Hooks {
    // A message went out, or was dropped; its bytes.
    std::function<void(size_t)> sent;
    std::function<void(size_t)> dropped;
    // The other end was refused or can't be reached.
    std::function<void(const absl::Status&)> failed;
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

  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<absl::Status> Open();
  // Writes all that waits; then waits for more.
  boost::asio::awaitable<absl::Status> WriteOn();
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
  std::shared_ptr<PeerSocket> socket_;
  // Proven by the other end of socket_.
  RouterId peer_;
  bool is_running_ = false;
  bool stopped_ = false;
};

}  // namespace papaya

#endif  // SRC_WIRE_PEER_LINK_H_
