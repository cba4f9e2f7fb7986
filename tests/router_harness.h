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

// An upstream on loopback that answers by a function and keeps all requests but
// for polls of its load, which it refuses.
class FakeUpstream {
 public:
  FakeUpstream(boost::asio::io_context& context, HttpServer::Handler handler);

  std::string address() const;

  // Requests seen, in order.
  const std::vector<HttpRequest>& received() const { return received_; }

 private:
  std::vector<HttpRequest> received_;
  HttpServer::Handler handler_;
  HttpServer server_;
};

// The text of a stream of `count` tokens from `first` on, without its end.
std::string StreamText(int64_t first, int64_t count);

// Sends a stream of `count` tokens from `first` on, with its end.
boost::asio::awaitable<void> SendStream(HttpExchange& exchange,
                                        int64_t first,
                                        int64_t count);

// A router in this process, with a fake Object API that holds `config`.
class RouterHarness {
 public:
  explicit RouterHarness(std::vector<UpstreamSpec> upstreams);
  ~RouterHarness();

  // An upstream of pool `m` (model engine) or `booking` (plain service).
  static UpstreamSpec Engine(const std::string& id, const FakeUpstream& fake);
  static UpstreamSpec Service(const std::string& id, const FakeUpstream& fake);

  // Runs `body` once all routers are ready.
  void Run(std::function<boost::asio::awaitable<void>()> body);

  // Sends a request of the account `acme` to the router.
  boost::asio::awaitable<HttpResponse> Fetch(HttpRequest request);

  // The same to another router.
  boost::asio::awaitable<HttpResponse> Fetch(RouterDaemon& router,
                                             HttpRequest request);

  // A ticket that `router` issues.
  boost::asio::awaitable<std::string> IssueTicket(RouterDaemon& router);

  // Starts another router of the fleet that knows the first one's address and
  // can't reach the Object API.
  RouterDaemon& AddRouter(const std::string& id);

  // Ends the first router as it stands, whatever is in flight.
  void Kill();

  // Where all routers append their spans.
  static std::string SpanFile();

  // A chat request to model `m`.
  static HttpRequest Chat(bool stream);

  // A confirmation that must not run twice.
  static HttpRequest Booking(const std::string& key);

  std::string caller_address() const;
  std::string operator_address() const;
  RouterDaemon& daemon() { return *daemon_; }

  // The context of the test's own thread; fakes live on it.
  static boost::asio::io_context& context();

 private:
  std::unique_ptr<RouterDaemon> StartRouter(const RouterSettings& settings);
  boost::asio::awaitable<void> AwaitReady(RouterDaemon& router);

  FleetConfig config_;
  // Keys that were written to the fake Object API.
  std::set<std::string> claims_;
  std::unique_ptr<FakeUpstream> store_;
  std::ostringstream log_;
  std::unique_ptr<Logger> logger_;
  std::unique_ptr<RouterDaemon> daemon_;
  std::vector<std::unique_ptr<RouterDaemon>> others_;
};

}  // namespace papaya

#endif  // TESTS_ROUTER_HARNESS_H_
