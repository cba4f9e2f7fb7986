#ifndef SRC_GATEWAY_CALLER_LISTENER_H_
#define SRC_GATEWAY_CALLER_LISTENER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/status/status.h"
#include "include/base/units.h"
#include "src/gateway/caller_connection.h"

namespace papaya {

// Listens at an address and owns its connections. Single-threaded.
class CallerListener {
 public:
  using RequestHook =
      std::function<void(const std::shared_ptr<CallerConnection>&,
                         HttpRequest)>;

  // `context` must outlive the listener. New connections beyond
  // `max_connections` are closed at once.
  CallerListener(boost::asio::io_context& context,
                 int max_connections,
                 RequestHook request);
  ~CallerListener();

  // Listens at `address`. Port 0 selects a free port.
  absl::Status Start(const std::string& address);
  // Returns the port listened on; 0 before Start.
  uint16_t port() const { return port_; }

  // See CallerShared::read_delay.
  void SetReadDelayHook(std::function<Duration()> read_delay) {
    shared_->read_delay = std::move(read_delay);
  }

  // Charges all connections accepted from now on to a budget.
  void SetMemory(CallerMemory memory) { shared_->memory = std::move(memory); }

  void SetLimits(const CallerLimits& limits) { shared_->limits = limits; }

  // From now on, responses carry `Connection: close`.
  void AnnounceClose() { shared_->announces_close = true; }
  // Closes the idle connections, and from now on each other connection after
  // its current response.
  void CloseIdle();
  // Accepts the connections that are in the backlog, then no more. Returns
  // false if it was called before. Requests that these connections have sent
  // are read when the event loop runs next.
  bool StopAccepting();

  void OnTick(TimePoint now);

  size_t connections() const { return connections_.size(); }

 private:
  // What AcceptBacklog has left in the backlog.
  enum class Backlog : uint8_t { kEmpty, kMore, kFailed };

  void Accept();
  // Accepts connections of the backlog, as many as one event may.
  Backlog AcceptBacklog();
  void Add(boost::asio::ip::tcp::socket socket);

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  const int max_connections_;
  uint16_t port_ = 0;
  // Accepting failed; the next tick goes on.
  bool is_paused_ = false;
  std::shared_ptr<CallerShared> shared_;
  absl::flat_hash_map<CallerConnection*, std::shared_ptr<CallerConnection>>
      connections_;
};

}  // namespace papaya

#endif  // SRC_GATEWAY_CALLER_LISTENER_H_
