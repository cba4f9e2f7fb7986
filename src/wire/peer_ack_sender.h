#ifndef SRC_WIRE_PEER_ACK_SENDER_H_
#define SRC_WIRE_PEER_ACK_SENDER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "include/base/units.h"

namespace papaya {

class PeerSocket;

// The content of the frame that acknowledges `frames`, and the reverse; empty
// if `content` is none. Eight bytes, the lowest first.
std::string MakePeerAck(uint64_t frames);
std::optional<uint64_t> ParsePeerAck(const std::string& content);

// Acknowledges the frames received on a connection of another router: the
// first at once, further ones together after kInterval. Closes the connection
// if the other router does not take the acknowledgements. Same thread as the
// socket.
class PeerAckSender : public std::enable_shared_from_this<PeerAckSender> {
 public:
  static constexpr Duration kInterval = std::chrono::milliseconds(250);

  explicit PeerAckSender(std::shared_ptr<PeerSocket> socket,
                         const boost::asio::any_io_executor& executor);
  ~PeerAckSender();

  // A frame was received.
  void OnFrame();

  // Sends nothing more.
  void Stop();

 private:
  boost::asio::awaitable<void> Run();

  const std::shared_ptr<PeerSocket> socket_;
  boost::asio::any_io_executor executor_;
  boost::asio::steady_timer timer_;
  uint64_t received_ = 0;
  uint64_t acknowledged_ = 0;
  bool is_running_ = false;
  bool stopped_ = false;
};

}  // namespace papaya

#endif  // SRC_WIRE_PEER_ACK_SENDER_H_
