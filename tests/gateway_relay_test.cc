#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "include/gateway/gateway_settings.h"
#include "include/rollout/version_stats.h"
#include "include/wire/steady_time.h"
#include "platform/header_codec.h"
#include "src/gateway/caller_listener.h"
#include "src/gateway/request_dispatcher.h"
#include "src/gateway/tcp_channel.h"

namespace papaya {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Long enough for a busy machine. A test that waits this long fails.
constexpr std::chrono::seconds kTestTimeout{20};

// One side of a connection whose bytes the test sends and reads itself.
class RawPeer {
 public:
  explicit RawPeer(tcp::socket socket)
      : channel_(std::make_shared<TcpChannel>(std::move(socket))) {}

  void Start() {
    TcpChannel::Hooks hooks;
    hooks.data = [this](std::string_view bytes) { received.append(bytes); };
    hooks.ended = [this](bool is_orderly, const std::string&) {
      has_ended = true;
      ended_orderly = is_orderly;
    };
    channel_->Start(std::move(hooks));
  }

  void Send(const std::string& bytes) { channel_->Write(bytes); }
  void Close() { channel_->Close(); }
  void Reset() { channel_->Reset(); }

  std::string received;
  bool has_ended = false;
  bool ended_orderly = false;

 private:
  std::shared_ptr<TcpChannel> channel_;
};

// An upstream whose connections the test serves itself.
class RawUpstream {
 public:
  explicit RawUpstream(asio::io_context& context)
      : acceptor_(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    Accept();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

  std::vector<std::unique_ptr<RawPeer>> peers;

 private:
  void Accept() {
    acceptor_.async_accept(
        [this](const boost::system::error_code& error, tcp::socket socket) {
          if (error) {
            return;
          }
          peers.push_back(std::make_unique<RawPeer>(std::move(socket)));
          peers.back()->Start();
          Accept();
        });
  }

  tcp::acceptor acceptor_;
};

// A RequestDispatcher between callers and two upstreams.
class Fixture {
 public:
  explicit Fixture(RequestKind kind, bool is_resumable = false)
      : header_codec_(platform::MakeHeaderCodec()),
        dispatcher(context,
                   Settings(),
                   Incarnation(1),
                   &header_codec_,
                   MakeHooks()),
        listener(context,
                 100,
                 [this](const std::shared_ptr<CallerConnection>& caller,
                        HttpRequest request) {
                   dispatcher.OnRequest(caller, std::move(request));
                 }) {
    for (int i = 0; i < 2; ++i) {
      upstreams.push_back(std::make_unique<RawUpstream>(context));
    }
    REQUIRE(listener.Start("127.0.0.1:0").ok());
    auto config = std::make_shared<GatewayConfig>();
    ServiceRoute route;
    route.id = RouteId("r");
    route.host = "h";
    route.path_prefix = "/p/";
    route.kind = kind;
    route.is_resumable = is_resumable;
    route.services = {{.service = PoolId("s")}};
    route.max_attempts = 2;
    route.latency_objective = std::chrono::seconds(30);
    config->routes = {route};
    config->accounts = {{.id = AccountId("school"), .api_keys = {"secret"}}};
    dispatcher.SetTable(std::make_shared<const RouteTable>(config));
    std::vector<UpstreamRecord> records;
    for (size_t i = 0; i < upstreams.size(); ++i) {
      UpstreamRecord record;
      record.instance = "i" + std::to_string(i);
      record.id = UpstreamId(record.instance + "#1");
      record.service = PoolId("s");
      record.address = upstreams[i]->address();
      record.slots = 4;
      records.push_back(record);
    }
    dispatcher.SetUpstreams(records, {{.id = RouterId("self")}});
  }

  static GatewaySettings Settings() {
    GatewaySettings settings;
    settings.router = RouterId("self");
    return settings;
  }

  RequestDispatcher::Hooks MakeHooks() {
    RequestDispatcher::Hooks hooks;
    hooks.send_demand = [](const DemandParts&) {};
    hooks.send_usage = [](const RouterId&, const UsageReport&) {};
    hooks.send_totals = [](const RouterId&, const UsageTotals&) {};
    hooks.report = [this](const RelayReport& report) {
      reports.push_back(report);
    };
    hooks.apply_moves = [](FleetConfig config) { return config; };
    hooks.measured = [this](const UpstreamRecord&, const RouteId&, bool failed,
                            Duration) { measured.push_back(failed); };
    hooks.rejected = [](const std::string&) {};
    hooks.event = [](const Event&) {};
    return hooks;
  }

  std::unique_ptr<RawPeer> Call(const std::string& request) {
    tcp::socket socket(context);
    socket.connect(
        tcp::endpoint(asio::ip::address_v4::loopback(), listener.port()));
    auto peer = std::make_unique<RawPeer>(std::move(socket));
    peer->Start();
    peer->Send(request);
    return peer;
  }

  // Runs the event loop and the dispatcher until `done` returns true. Fails
  // after kTestTimeout.
  void RunUntil(const std::function<bool()>& done) {
    const TimePoint end = SteadyNow() + kTestTimeout;
    while (!done()) {
      REQUIRE(SteadyNow() < end);
      dispatcher.OnTick(SteadyNow());
      context.restart();
      context.run_for(std::chrono::milliseconds(2));
    }
  }

  // Waits for the next request on one of at least `connections` upstream
  // connections with data, and returns its connection.
  RawPeer* AwaitRequest(size_t connections = 1) {
    RawPeer* found = nullptr;
    RunUntil([&] {
      size_t count = 0;
      for (const std::unique_ptr<RawUpstream>& upstream : upstreams) {
        for (const std::unique_ptr<RawPeer>& peer : upstream->peers) {
          count += peer->received.empty() ? 0 : 1;
          if (peer->received.find("\r\n\r\n") != std::string::npos &&
              !peer->has_ended) {
            found = peer.get();
          }
        }
      }
      return found != nullptr && count >= connections;
    });
    return found;
  }

  asio::io_context context{1};
  std::vector<std::unique_ptr<RawUpstream>> upstreams;
  std::vector<RelayReport> reports;
  // For each reported attempt, whether it failed.
  std::vector<bool> measured;

 private:
  HeaderCodec header_codec_;

 public:
  RequestDispatcher dispatcher;
  CallerListener listener;
};

constexpr char kPostRequest[] =
    "POST /p/x?y=1 HTTP/1.1\r\nHost: h\r\nPapayaarch-Attempt-Id: a1\r\n"
    "Papayaarch-Deadline-Ms: 60000\r\nAuthorization: Token secret\r\n"
    "Papayaarch-Tenant: forged\r\nPapayaarch-Hold: forged\r\n"
    "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nX-Kept: 2\r\n"
    "Content-Length: 5\r\n\r\nhello";
constexpr char kOkResponse[] =
    "HTTP/1.1 200 OK\r\nPapayaarch-Attempt-Id: a1\r\nSeal: s\r\n"
    "Content-Length: 2\r\n\r\nok";

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

TEST_CASE("Gateway: forwards a request with its body and without the API key",
          "[gateway]") {
  Fixture f(RequestKind::kNonIdempotent);
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  RawPeer* upstream = f.AwaitRequest();
  const std::string request = upstream->received;
  CHECK(request.starts_with("POST /p/x?y=1 HTTP/1.1\r\n"));
  CHECK(request.ends_with("\r\n\r\nhello"));
  CHECK(Has(request, "Papayaarch-Tenant: school\r\n"));
  CHECK(Has(request, "Papayaarch-Attempt-Id: a1\r\n"));
  CHECK(Has(request, "X-Kept: 2\r\n"));
  CHECK_FALSE(Has(request, "secret"));
  CHECK_FALSE(Has(request, "forged"));
  CHECK_FALSE(Has(request, "X-Hop"));
  upstream->Send(kOkResponse);
  f.RunUntil([&] { return Has(caller->received, "ok"); });
  CHECK(caller->received.starts_with("HTTP/1.1 200 OK\r\n"));
  CHECK(Has(caller->received, "Seal: s\r\n"));
}

TEST_CASE("Gateway: drops a response to another request", "[gateway]") {
  Fixture f(RequestKind::kNonIdempotent);
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  RawPeer* upstream = f.AwaitRequest();
  upstream->Send(
      "HTTP/1.1 200 OK\r\nPapayaarch-Attempt-Id: other\r\n"
      "Content-Length: 5\r\n\r\nwrong");
  upstream->Send(kOkResponse);
  f.RunUntil([&] { return Has(caller->received, "ok"); });
  CHECK_FALSE(Has(caller->received, "wrong"));
}

TEST_CASE("Gateway: does not repeat a request that may have run", "[gateway]") {
  Fixture f(RequestKind::kNonIdempotent);
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  f.AwaitRequest()->Reset();
  f.RunUntil([&] { return !f.reports.empty(); });
  f.RunUntil([&] { return !caller->received.empty(); });
  // The status does not promise that the request did not run.
  CHECK(caller->received.starts_with("HTTP/1.1 502"));
  CHECK(f.reports.front().attempts == 1);
  CHECK(f.reports.front().error.starts_with("answer: "));
}

TEST_CASE("Gateway: a 503 without the not-run header counts as may have run",
          "[gateway]") {
  Fixture f(RequestKind::kNonIdempotent);
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  f.AwaitRequest()->Send(
      "HTTP/1.1 503 Service Unavailable\r\nPapayaarch-Attempt-Id: a1\r\n"
      "Content-Length: 0\r\n\r\n");
  f.RunUntil([&] { return !caller->received.empty(); });
  CHECK(caller->received.starts_with("HTTP/1.1 502"));
}

TEST_CASE("Gateway: repeats a request that an upstream did not run",
          "[gateway]") {
  Fixture f(RequestKind::kNonIdempotent);
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  RawPeer* first = f.AwaitRequest();
  first->received.clear();
  first->Send(
      "HTTP/1.1 503 Service Unavailable\r\nPapayaarch-Not-Executed: 1\r\n"
      "Content-Length: 0\r\n\r\n");
  f.AwaitRequest()->Send(kOkResponse);
  f.RunUntil([&] { return Has(caller->received, "ok"); });
  CHECK(caller->received.starts_with("HTTP/1.1 200"));
}

std::string Chunk(const std::string& bytes) {
  return absl::StrCat(absl::Hex(bytes.size()), "\r\n", bytes, "\r\n");
}

constexpr char kStreamHead[] =
    "HTTP/1.1 200 OK\r\nPapayaarch-Attempt-Id: a1\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

TEST_CASE("Gateway: resumes a broken stream elsewhere with each event once",
          "[gateway]") {
  Fixture f(RequestKind::kStream, /*is_resumable=*/true);
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  RawPeer* first = f.AwaitRequest();
  first->Send(kStreamHead + Chunk("id: 1\ndata: a\n\n") +
              Chunk("id: 2\ndata: b\n\nid: 3\nda"));
  f.RunUntil([&] { return Has(caller->received, "data: b"); });
  CHECK_FALSE(Has(caller->received, "id: 3"));
  first->Reset();
  first->has_ended = true;
  RawPeer* second = f.AwaitRequest(2);
  CHECK(Has(second->received, "Last-Event-Id: 2\r\n"));
  second->Send(kStreamHead + Chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n");
  f.RunUntil([&] { return Has(caller->received, "0\r\n\r\n"); });
  CHECK(Has(caller->received, "id: 3\ndata: c\n\n"));
  CHECK(caller->received.find("HTTP/1.1") ==
        caller->received.rfind("HTTP/1.1"));
}

TEST_CASE("Gateway: resets the caller's connection if a stream can't resume",
          "[gateway]") {
  Fixture f(RequestKind::kStream, /*is_resumable=*/false);
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  RawPeer* upstream = f.AwaitRequest();
  upstream->Send(kStreamHead + Chunk("id: 1\ndata: a\n\n"));
  f.RunUntil([&] { return Has(caller->received, "data: a"); });
  upstream->Reset();
  f.RunUntil([&] { return caller->has_ended; });
  CHECK_FALSE(caller->ended_orderly);
  CHECK_FALSE(Has(caller->received, "\r\n0\r\n"));
}

TEST_CASE("Gateway: reports the latency of a long stream before it ends",
          "[gateway]") {
  Fixture f(RequestKind::kStream);
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  RawPeer* upstream = f.AwaitRequest();
  std::string response = kStreamHead;
  for (int64_t i = 0; i < kComparedTokens.value(); ++i) {
    response += Chunk(absl::StrCat("id: ", i, "\ndata: x\n\n"));
  }
  upstream->Send(response);
  f.RunUntil([&] { return !f.measured.empty(); });
  CHECK(f.reports.empty());
  upstream->Send("0\r\n\r\n");
  f.RunUntil([&] { return !f.reports.empty(); });
  CHECK(f.measured == std::vector<bool>{false});
}

TEST_CASE("Gateway: cancels the request of a disconnected caller",
          "[gateway]") {
  Fixture f(RequestKind::kStream);
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  RawPeer* upstream = f.AwaitRequest();
  caller->Close();
  f.RunUntil([&] { return upstream->has_ended; });
  f.RunUntil([&] { return !f.reports.empty(); });
  CHECK(f.reports.front().reason == "caller_gone");
  CHECK(f.dispatcher.in_flight() == 0);
}

TEST_CASE("Gateway: resets a connection that gets a request after its close",
          "[gateway]") {
  Fixture f(RequestKind::kNonIdempotent);
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  f.AwaitRequest()->Send(kOkResponse);
  f.RunUntil([&] { return Has(caller->received, "ok"); });
  f.listener.CloseIdle();
  caller->Send(kPostRequest);
  // The close does not depend on a timeout: the listener gets no tick.
  f.RunUntil([&] { return f.listener.connections() == 0; });
}

TEST_CASE("Gateway: closes the connection of a stream that ends in a shutdown",
          "[gateway]") {
  Fixture f(RequestKind::kStream);
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  RawPeer* upstream = f.AwaitRequest();
  // The response header promises to keep the connection open.
  upstream->Send(kStreamHead + Chunk("id: 1\ndata: a\n\n"));
  f.RunUntil([&] { return Has(caller->received, "data: a"); });
  f.listener.AnnounceClose();
  f.listener.CloseIdle();
  upstream->Send("0\r\n\r\n");
  f.RunUntil([&] { return Has(caller->received, "\r\n0\r\n"); });
  caller->Send(kPostRequest);
  f.RunUntil([&] { return f.listener.connections() == 0; });
  // The next request was not accepted.
  CHECK(f.reports.size() == 1);
  CHECK(f.dispatcher.in_flight() == 0);
}

TEST_CASE("Gateway: rejects unknown routes and API keys", "[gateway]") {
  Fixture f(RequestKind::kIdempotent);
  const std::unique_ptr<RawPeer> no_route =
      f.Call("GET /other/ HTTP/1.1\r\nHost: h\r\n\r\n");
  const std::unique_ptr<RawPeer> no_key = f.Call(
      "GET /p/ HTTP/1.1\r\nHost: h\r\nAuthorization: Token wrong\r\n\r\n");
  f.RunUntil(
      [&] { return !no_route->received.empty() && !no_key->received.empty(); });
  CHECK(no_route->received.starts_with("HTTP/1.1 404"));
  CHECK(no_key->received.starts_with("HTTP/1.1 401"));
}

}  // namespace
}  // namespace papaya
