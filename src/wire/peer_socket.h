#ifndef SRC_WIRE_PEER_SOCKET_H_
#define SRC_WIRE_PEER_SOCKET_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "include/admission/memory_budget.h"
#include "include/base/units.h"
#include "src/wire/peer_frame.h"
#include "src/wire/peer_handshake.h"

namespace papaya {

// A TCP connection to another router that carries frames. Every wait ends with
// kDeadlineExceeded after the timeout given, and the connection is of no use
// then. One read and one write may be in progress at the same time.
class PeerSocket : public std::enable_shared_from_this<PeerSocket> {
 public:
  explicit PeerSocket(boost::asio::ip::tcp::socket socket);

  // Connects to `endpoint`.
  boost::asio::awaitable<absl::Status> Connect(
      boost::asio::ip::tcp::endpoint endpoint,
      Duration timeout);

  // Runs `handshake` to its end; frames may be larger from then on.
  boost::asio::awaitable<absl::Status> Prove(PeerHandshake* handshake,
                                             Duration timeout);

  // The content of the next frame.
  boost::asio::awaitable<absl::StatusOr<std::string>> ReadFrame(
      Duration timeout);

  // Charges what is held of incomplete frames. `memory` may be null.
  void SetMemory(std::shared_ptr<MemoryBudget> memory);

  // Writes whole frames.
  boost::asio::awaitable<absl::Status> Write(std::string bytes,
                                             Duration timeout);

  // Fails all waits. Same thread.
  void Close();

 private:
  // Closes the socket after `timeout`, unless Disarm is called before.
  void Arm(boost::asio::steady_timer* timer, Duration timeout);
  // Each operation ends its own timeout. Otherwise the socket would be closed
  // while it is idle, and the next message written to it would be lost.
  static void Disarm(boost::asio::steady_timer* timer);
  absl::Status ToStatus(const boost::system::error_code& error,
                        const char* step) const;

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer read_timer_;
  // Also of Connect.
  boost::asio::steady_timer write_timer_;
  PeerFrameReader reader_;
  std::shared_ptr<MemoryBudget> memory_;
  MemoryCharge charge_;
  std::string peer_;
  bool timed_out_ = false;
};

}  // namespace papaya

#endif  // SRC_WIRE_PEER_SOCKET_H_
