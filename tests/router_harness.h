#ifndef TESTS_ROUTER_HARNESS_H_
#define TESTS_ROUTER_HARNESS_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "include/config/fleet_config.h"
#include "include/daemon/router_daemon.h"
#include "include/settings/router_settings.h"
#include "include/telemetry/logger.h"
#include "include/wire/http_exchange.h"
#include "include/wire/http_message.h"
#include "include/wire/http_server.h"

namespace papaya {

// An upstream on loopback that responds through `handler` and records all
// requests except polls, to which it responds with 404.
class FakeUpstream {
 public:
  FakeUpstream(boost::asio::io_context& context, HttpServer::Handler handler);

  std::string address() const;

  // Recorded requests, in order of arrival.
  const std::vector<HttpRequest>& received() const { return received_; }

 private:
  std::vector<HttpRequest> received_;
  HttpServer::Handler handler_;
  HttpServer server_;
};

// Returns the events of `count` tokens from `first` on, without the final
// event.
std::string StreamText(int64_t first, int64_t count);

// Sends a stream of `count` tokens from `first` on, with the final event.
boost::asio::awaitable<void> SendStream(HttpExchange& exchange,
                                        int64_t first,
                                        int64_t count);

// Runs routers in this process with a fake Object API that contains the
// configuration.
class RouterHarness {
 public:
  explicit RouterHarness(std::vector<UpstreamSpec> upstreams);
  ~RouterHarness();

  // Make an upstream of the pool `m` (model engine) or `booking` (plain
  // service).
  static UpstreamSpec Engine(const std::string& id, const FakeUpstream& fake);
  static UpstreamSpec Service(const std::string& id, const FakeUpstream& fake);

  // Runs `body` once all routers are ready.
  void Run(std::function<boost::asio::awaitable<void>()> body);

  // Sends a request of the client account `acme` to the first router.
  boost::asio::awaitable<HttpResponse> Fetch(HttpRequest request);

  // Like the overload above, to `router`.
  boost::asio::awaitable<HttpResponse> Fetch(RouterDaemon& router,
                                             HttpRequest request);

  // Requests a ticket from `router`.
  boost::asio::awaitable<std::string> IssueTicket(RouterDaemon& router);

  // Starts another router of the fleet, which has the first one as its seed and
  // cannot reach the Object API.
  RouterDaemon& AddRouter(const std::string& id);

  // Destroys the first router without a drain.
  void Kill();

  // File to which all routers append their spans.
  static std::string SpanFile();

  // A chat request to model `m`.
  static HttpRequest Chat(bool stream);

  // A booking, which must run at most once.
  static HttpRequest Booking(const std::string& key);

  std::string caller_address() const;
  std::string operator_address() const;
  RouterDaemon& daemon() { return *daemon_; }

  // Context of the test thread, on which the fakes run.
  static boost::asio::io_context& context();

 private:
  std::unique_ptr<RouterDaemon> StartRouter(const RouterSettings& settings);
  boost::asio::awaitable<void> AwaitReady(RouterDaemon& router);

  FleetConfig config_;
  // Keys written to the fake Object API.
  std::set<std::string> claims_;
  std::unique_ptr<FakeUpstream> store_;
  std::ostringstream log_;
  std::unique_ptr<Logger> logger_;
  std::unique_ptr<RouterDaemon> daemon_;
  std::vector<std::unique_ptr<RouterDaemon>> others_;
};

}  // namespace papaya

#endif  // TESTS_ROUTER_HARNESS_H_
