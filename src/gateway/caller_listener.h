#ifndef SRC_GATEWAY_CALLER_LISTENER_H_
#define SRC_GATEWAY_CALLER_LISTENER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/status/status.h"
#include "include/base/units.h"
#include "src/gateway/caller_connection.h"

namespace papaya {

// A listening address and its connections. One thread.
class CallerListener {
 public:
  using RequestHook =
      std::function<void(const std::shared_ptr<CallerConnection>&,
                         HttpRequest)>;

  // `context` must outlive this. Connections beyond `max_connections` are
  // closed at once.
  CallerListener(boost::asio::io_context& context,
                 int max_connections,
                 RequestHook request);
  ~CallerListener();

  // Listens at `address`; port 0 takes a free one.
  absl::Status Start(const std::string& address);
  // The port listened on; 0 before Start.
  uint16_t port() const { return port_; }

  void SetLimits(const CallerLimits& limits) { shared_->limits = limits; }

  // Answers say from now on that their connection ends.
  void AnnounceClose() { shared_->announces_close = true; }
  // Closes the connections that have no request, and from now on each other one
  // after its answer.
  void CloseIdle();
  // Takes no new connections.
  void StopAccepting();

  void OnTick(TimePoint now);

  size_t connections() const { return connections_.size(); }

 private:
  void Accept();
  void Add(boost::asio::ip::tcp::socket socket);

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  const int max_connections_;
  uint16_t port_ = 0;
  std::shared_ptr<CallerShared> shared_;
  absl::flat_hash_map<CallerConnection*, std::shared_ptr<CallerConnection>>
      connections_;
};

}  // namespace papaya

#endif  // SRC_GATEWAY_CALLER_LISTENER_H_
