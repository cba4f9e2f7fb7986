// What a router adds between a caller and an upstream, over loopback. Figures
// are wall-clock: each ratio compares both ways in one run.

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <chrono>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "bench/measure.h"
#include "include/config/fleet_config.h"
#include "include/config/fleet_config_json.h"
#include "include/daemon/router_daemon.h"
#include "include/telemetry/logger.h"
#include "include/wire/http_client.h"
#include "include/wire/http_exchange.h"
#include "include/wire/http_server.h"
#include "include/wire/sse_reader.h"
#include "include/wire/steady_time.h"
#include "src/daemon/token_digest.h"
#include "src/daemon/worker_thread.h"
#include "tests/fakes/loopback_settings.h"

namespace papaya::bench {
namespace {

namespace asio = boost::asio;

constexpr int kWarmUp = 200;
constexpr int kChats = 2000;
constexpr int kStreams = 100;
constexpr int kStreamTokens = 500;
constexpr int kCallers = 32;
constexpr int kWaiting = 500;

TimePoint Soon() {
  return SteadyNow() + std::chrono::seconds(60);
}

HttpResponse PlainFault(const HttpFault& fault) {
  HttpResponse response;
  response.status = fault.status;
  return response;
}

// Upstream `held` never answers; `m` answers at once, or with a long stream.
asio::awaitable<void> ServeUpstream(HttpExchange& exchange) {
  const HttpRequest request = exchange.TakeRequest();
  if (absl::StrContains(request.body, "held")) {
    asio::steady_timer never(exchange.executor(),
                             asio::steady_timer::time_point::max());
    exchange.OnCallerGone([&never] { never.cancel(); });
    boost::system::error_code cancelled;
    co_await never.async_wait(
        asio::redirect_error(asio::use_awaitable, cancelled));
    co_return;
  }
  HttpResponse response;
  if (!absl::StrContains(request.body, "true")) {
    response.body = R"({"choices":[{"message":{"content":"hello"}}]})";
    (co_await exchange.Respond(std::move(response))).IgnoreError();
    co_return;
  }
  response.headers.Set("Content-Type", "text/event-stream");
  (co_await exchange.StartStream(std::move(response))).IgnoreError();
  for (int64_t i = 0; i < kStreamTokens; ++i) {
    const SseEvent event{.index = i, .data = R"({"content":"a token "})"};
    std::string text = FormatSseEvent(event);
    (co_await exchange.Write(std::move(text))).IgnoreError();
  }
  const SseEvent end{.index = kStreamTokens, .data = "[DONE]"};
  std::string last = FormatSseEvent(end);
  (co_await exchange.Write(std::move(last))).IgnoreError();
  (co_await exchange.EndStream()).IgnoreError();
}

UpstreamSpec MakeUpstream(const std::string& pool, const std::string& address) {
  UpstreamSpec spec;
  spec.id = UpstreamId("u-" + pool);
  spec.vm = VmId("vm-" + pool);
  spec.address = address;
  spec.zone = AvailabilityZoneId("zone-a");
  spec.pool = PoolId(pool);
  spec.version = VersionId("v1");
  spec.generation = GenerationId("g1");
  spec.slots = pool == "held" ? 1 : 64;
  return spec;
}

// An upstream, an Object API and a router on loopback.
class Loopback {
 public:
  Loopback() {
    config_.revision = Revision(1);
    config_.upstreams = {MakeUpstream("held", upstream_.address()),
                         MakeUpstream("m", upstream_.address())};
    thread_.Start();
    logger_ = std::make_unique<Logger>(log_, Severity::kError);
    const int64_t before = LiveHeapBytes();
    daemon_ = *RouterDaemon::Create(MakeSettings(), logger_.get());
    if (!daemon_->Start().ok()) {
      std::abort();
    }
    while (!daemon_->IsReady()) {
      std::this_thread::yield();
    }
    idle_bytes_ = LiveHeapBytes() - before;
  }

  ~Loopback() {
    daemon_.reset();
    thread_.Stop();
  }

  std::string router() const {
    return absl::StrCat("127.0.0.1:", daemon_->caller_port());
  }
  std::string operators() const {
    return absl::StrCat("127.0.0.1:", daemon_->operator_port());
  }
  std::string upstream() const { return upstream_.address(); }
  int64_t idle_bytes() const { return idle_bytes_; }

 private:
  struct Server {
    Server(HttpServer::Handler handler, asio::io_context* context)
        : server({context}, Options(), std::move(handler), &PlainFault) {
      if (!server.Start().ok()) {
        std::abort();
      }
    }
    static HttpServerOptions Options() {
      HttpServerOptions options;
      options.address = "127.0.0.1:0";
      return options;
    }
    std::string address() const {
      return absl::StrCat("127.0.0.1:", server.port());
    }
    HttpServer server;
  };

  asio::awaitable<void> ServeStore(HttpExchange& exchange) {
    HttpResponse response;
    response.status = 404;
    if (absl::StartsWith(exchange.request().target, "/objects/bench/config")) {
      const boost::json::object object = {
          {"key", "bench/config"},
          {"version", 1},
          {"operation", "setup"},
          {"value", FleetConfigToJson(config_)}};
      response.status = 200;
      response.body = boost::json::serialize(object);
    }
    (co_await exchange.Respond(std::move(response))).IgnoreError();
  }

  RouterSettings MakeSettings() {
    RouterSettings settings = LoopbackSettings("bench", store_.address());
    settings.chart_directory = "charts";
    settings.operator_token_sha256 = absl::BytesToHexString(Sha256("operator"));
    AccountSettings account;
    account.id = AccountId("acme");
    account.token_sha256 = absl::BytesToHexString(Sha256("token"));
    settings.accounts = {account};
    RouteSettings route;
    route.id = RouteId("chat");
    route.path = "/v1/chat/completions";
    route.deadline = std::chrono::seconds(60);
    route.attempt_timeout = std::chrono::seconds(60);
    settings.routes = {route};
    return settings;
  }

  FleetConfig config_;
  WorkerThread thread_;
  Server upstream_{&ServeUpstream, &thread_.context()};
  Server store_{[this](HttpExchange& exchange) { return ServeStore(exchange); },
                &thread_.context()};
  std::ostringstream log_;
  std::unique_ptr<Logger> logger_;
  std::unique_ptr<RouterDaemon> daemon_;
  int64_t idle_bytes_ = 0;
};

HttpRequest Chat(const std::string& model, bool stream) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/chat/completions";
  request.headers.Set("Authorization", "Bearer token");
  request.body = absl::StrCat(
      R"({"messages":[{"role":"user","content":"hello"}],"model":")", model,
      R"(","stream":)", stream ? "true" : "false", "}");
  return request;
}

// Sends one request and reads its answer whole; aborts on any failure.
asio::awaitable<void> Ask(HttpClient& client, const HttpRequest& request) {
  const absl::Status sent = co_await client.Send(request, Soon());
  const absl::StatusOr<HttpResponse> head = co_await client.ReadHead(Soon());
  if (!sent.ok() || !head.ok() || head->status != 200) {
    std::abort();
  }
  while (true) {
    const absl::StatusOr<std::string> piece = co_await client.ReadPiece(Soon());
    if (!piece.ok()) {
      std::abort();
    }
    if (piece->empty()) {
      co_return;
    }
  }
}

asio::awaitable<void> AskMany(std::string address,
                              HttpRequest request,
                              int count,
                              std::vector<double>* seconds) {
  absl::StatusOr<std::unique_ptr<HttpClient>> client =
      co_await HttpClient::Connect(address, Soon());
  for (int i = 0; i < count; ++i) {
    const TimePoint start = SteadyNow();
    co_await Ask(**client, request);
    seconds->push_back(ToSeconds(SteadyNow() - start));
  }
}

// Latencies in seconds, sorted, of `count` requests one after another.
std::vector<double> Latencies(const std::string& address,
                              const HttpRequest& request,
                              int count) {
  asio::io_context context;
  std::vector<double> seconds;
  asio::co_spawn(context, AskMany(address, request, count, &seconds),
                 asio::detached);
  context.run();
  std::sort(seconds.begin(), seconds.end());
  return seconds;
}

double Quantile(const std::vector<double>& sorted, double q) {
  return sorted[static_cast<size_t>(q *
                                    static_cast<double>(sorted.size() - 1))];
}

void AddLatency(const Loopback& loopback,
                const std::string& name,
                bool stream,
                int count,
                std::vector<Measurement>* figures) {
  const HttpRequest request = Chat("m", stream);
  Latencies(loopback.router(), request, stream ? 1 : kWarmUp);
  const std::vector<double> direct =
      Latencies(loopback.upstream(), request, count);
  const std::vector<double> routed =
      Latencies(loopback.router(), request, count);
  for (const auto& [label, q] : std::vector<std::pair<std::string, double>>{
           {"p50", 0.5}, {"p99", 0.99}}) {
    const double ratio = Quantile(routed, q) / Quantile(direct, q);
    figures->push_back({.name = absl::StrCat(name, "_ratio[", label, "]"),
                        .value = ratio,
                        .unit = "ratio",
                        .baseline = 1.0});
    figures->push_back(
        {.name = absl::StrCat(name, "_added[", label, "]"),
         .value = 1e6 * (Quantile(routed, q) - Quantile(direct, q)),
         .unit = "us"});
  }
}

Measurement MeasureThroughput(const Loopback& loopback) {
  asio::io_context context;
  std::vector<double> seconds;
  for (int i = 0; i < kCallers; ++i) {
    asio::co_spawn(context,
                   AskMany(loopback.router(), Chat("m", false),
                           kChats / kCallers, &seconds),
                   asio::detached);
  }
  const TimePoint start = SteadyNow();
  context.run();
  const double elapsed = ToSeconds(SteadyNow() - start);
  return {.name = "wire.requests_per_second[one traffic thread,32 callers]",
          .value = static_cast<double>(seconds.size()) / elapsed,
          .unit = "1/s"};
}

asio::awaitable<void> Hold(std::string address,
                           std::vector<std::unique_ptr<HttpClient>>* clients) {
  for (int i = 0; i < kWaiting; ++i) {
    absl::StatusOr<std::unique_ptr<HttpClient>> client =
        co_await HttpClient::Connect(address, Soon());
    const HttpRequest request = Chat("held", false);
    (co_await (*client)->Send(request, Soon())).IgnoreError();
    clients->push_back(*std::move(client));
  }
}

// Requests that the router has taken in and not answered.
int64_t CountTaken(const Loopback& loopback) {
  HttpRequest request;
  request.target = "/v1/status";
  request.headers.Set("Authorization", "Bearer operator");
  absl::StatusOr<HttpResponse> page = absl::UnknownError("not asked");
  asio::io_context context;
  asio::co_spawn(context, FetchHttp(loopback.operators(), request, Soon()),
                 [&page](const std::exception_ptr&,
                         absl::StatusOr<HttpResponse> response) {
                   page = std::move(response);
                 });
  context.run();
  if (!page.ok() || page->status != 200) {
    std::abort();
  }
  const boost::json::value status = boost::json::parse(page->body);
  return status.at("queued").to_number<int64_t>() +
         status.at("running").to_number<int64_t>();
}

// Heap that kWaiting unanswered requests to `address` take, callers' included,
// once `is_settled` holds.
int64_t HeldBytes(const std::string& address,
                  const std::function<bool()>& is_settled) {
  asio::io_context context;
  std::vector<std::unique_ptr<HttpClient>> clients;
  clients.reserve(kWaiting);
  const int64_t before = LiveHeapBytes();
  asio::co_spawn(context, Hold(address, &clients), asio::detached);
  context.run();
  while (!is_settled()) {
  }
  return LiveHeapBytes() - before;
}

Measurement MeasureWaiting(const Loopback& loopback) {
  // Nobody accepts here: what is held is the callers' own.
  asio::io_context context;
  asio::ip::tcp::acceptor silent(
      context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  const int64_t callers =
      HeldBytes(absl::StrCat("127.0.0.1:", silent.local_endpoint().port()),
                [] { return true; });
  const int64_t all = HeldBytes(loopback.router(), [&loopback] {
    return CountTaken(loopback) >= kWaiting;
  });
  return {.name = "wire.waiting_request",
          .value = static_cast<double>(all - callers) / kWaiting,
          .unit = "bytes"};
}

std::vector<Measurement> RunWire() {
  const Loopback loopback;
  std::vector<Measurement> figures;
  figures.push_back({.name = "wire.idle_router_heap",
                     .value = static_cast<double>(loopback.idle_bytes()),
                     .unit = "bytes"});
  AddLatency(loopback, "wire.chat", false, kChats, &figures);
  AddLatency(loopback, "wire.stream", true, kStreams, &figures);
  figures.push_back(MeasureThroughput(loopback));
  figures.push_back(MeasureWaiting(loopback));
  return figures;
}

const bool kRegistered = RegisterMeasure({"wire", &RunWire});

}  // namespace
}  // namespace papaya::bench
