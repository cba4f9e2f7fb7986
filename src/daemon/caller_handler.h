#ifndef SRC_DAEMON_CALLER_HANDLER_H_
#define SRC_DAEMON_CALLER_HANDLER_H_

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <variant>

#include "src/daemon/account_directory.h"
#include "src/daemon/request_session.h"
#include "src/daemon/router_error.h"

namespace papaya {

class HttpExchange;
struct TrafficServices;

// Handles HTTP requests of callers: authenticates the bearer token, finds the
// route, extracts the properties that scheduling needs, and starts a
// RequestSession. Runs on any traffic thread.
class CallerHandler {
 public:
  // `services` must outlive the handler.
  explicit CallerHandler(TrafficServices* services);

  // Serves one request from a caller.
  boost::asio::awaitable<void> Serve(HttpExchange& exchange);

  // Serves a request that another router forwarded to this one because this
  // router issued its ticket. The other router has authenticated the caller as
  // `account`; `time_left` is what remains until the request's deadline.
  boost::asio::awaitable<void> ServeForwarded(HttpExchange& exchange,
                                              AccountId account,
                                              std::string ticket,
                                              Duration time_left);

 private:
  using Checked = std::variant<AcceptedRequest, RouterError>;

  boost::asio::awaitable<void> ServeCounted(HttpExchange& exchange);
  boost::asio::awaitable<void> ServeAccepted(HttpExchange& exchange,
                                             Checked checked);
  boost::asio::awaitable<void> ServeTickets(HttpExchange& exchange,
                                            const AccountSettings& account);
  boost::asio::awaitable<void> ResumeStream(HttpExchange& exchange,
                                            const AccountSettings& account);
  Checked Check(HttpRequest request, const AccountSettings& account);
  std::optional<RouterError> CheckOnce(const HttpRequest& request,
                                       AcceptedRequest& accepted) const;
  std::optional<RouterError> CheckPool(const PoolId& pool) const;
  RequestSpec MakeSpec(const RouteSettings& route,
                       const AccountSettings& account,
                       const HttpRequest& request);

  TrafficServices* services_;
  AccountDirectory accounts_;
};

}  // namespace papaya

#endif  // SRC_DAEMON_CALLER_HANDLER_H_
