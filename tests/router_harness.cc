#include "tests/router_harness.h"

#include <unistd.h>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>
#include <filesystem>
#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "include/config/fleet_config_json.h"
#include "include/wire/http_client.h"
#include "include/wire/sse_reader.h"
#include "src/daemon/token_digest.h"
#include "tests/fakes/loopback_settings.h"
#include "tests/loopback.h"

namespace papaya {

namespace {

namespace asio = boost::asio;

HttpServerOptions LoopbackOptions() {
  HttpServerOptions options;
  options.address = "127.0.0.1:0";
  return options;
}

HttpResponse MakeStatusResponse(const HttpFault& fault) {
  HttpResponse response;
  response.status = fault.status;
  return response;
}

std::string HexSha256(const std::string& text) {
  return absl::BytesToHexString(Sha256(text));
}

RouteSettings MakeRoute(const std::string& id, const std::string& path) {
  RouteSettings route;
  route.id = RouteId(id);
  route.path = path;
  route.deadline = std::chrono::seconds(10);
  route.attempt_timeout = std::chrono::seconds(10);
  return route;
}

RouterSettings MakeSettings(const std::string& store_address) {
  RouterSettings settings = LoopbackSettings("test", store_address);
  settings.operator_token_sha256 = HexSha256("operator");
  settings.span_file = RouterHarness::SpanFile();
  settings.chart_directory = PAPAYA_SOURCE_DIR "/charts";
  AccountSettings acme;
  acme.id = AccountId("acme");
  acme.token_sha256 = HexSha256("acme token");
  settings.accounts = {acme};
  settings.routes = {MakeRoute("chat", "/v1/chat/completions"),
                     MakeRoute("confirm", "/svc/booking/hires")};
  settings.routes[1].pool = PoolId("booking");
  settings.routes[1].idempotent = false;
  settings.routes[1].tier = Tier::kCritical;
  return settings;
}

// Polls of engines, which may arrive at any time.
bool IsPoll(const HttpRequest& request) {
  return request.target == "/v1/load" ||
         request.target.starts_with("/v1/cache_events");
}

asio::awaitable<void> RespondNotFound(HttpExchange& exchange) {
  HttpResponse response;
  response.status = 404;
  (co_await exchange.Respond(std::move(response))).IgnoreError();
}

}  // namespace

FakeUpstream::FakeUpstream(asio::io_context& context,
                           HttpServer::Handler handler)
    : handler_(std::move(handler)),
      server_(
          {&context},
          LoopbackOptions(),
          [this](HttpExchange& exchange) {
            if (IsPoll(exchange.request())) {
              return RespondNotFound(exchange);
            }
            received_.push_back(exchange.request());
            return handler_(exchange);
          },
          &MakeStatusResponse) {
  REQUIRE(server_.Start().ok());
}

std::string FakeUpstream::address() const {
  return LoopbackAddress(server_.port());
}

std::string StreamText(int64_t first, int64_t count) {
  std::string text;
  for (int64_t i = first; i < first + count; ++i) {
    text += FormatSseEvent({i, absl::StrCat("token ", i)});
  }
  return text;
}

asio::awaitable<void> SendStream(HttpExchange& exchange,
                                 int64_t first,
                                 int64_t count) {
  HttpResponse head;
  head.headers.Set("Content-Type", "text/event-stream");
  (co_await exchange.StartStream(std::move(head))).IgnoreError();
  std::string text = StreamText(first, count) + "data: [DONE]\n\n";
  (co_await exchange.Write(std::move(text))).IgnoreError();
  (co_await exchange.EndStream()).IgnoreError();
}

asio::io_context& RouterHarness::context() {
  static asio::io_context context;
  return context;
}

RouterHarness::RouterHarness(std::vector<UpstreamSpec> upstreams) {
  config_.revision = Revision(1);
  config_.upstreams = std::move(upstreams);
  store_ = std::make_unique<FakeUpstream>(
      context(), [this](HttpExchange& exchange) -> asio::awaitable<void> {
        HttpResponse response;
        if (exchange.request().target == "/objects/test/config") {
          const boost::json::object object = {
              {"key", "test/config"},
              {"version", 1},
              {"operation", "setup"},
              {"value", FleetConfigToJson(config_)}};
          response.body = boost::json::serialize(object);
        } else if (exchange.request().method == "PUT") {
          // A claim can be created once per key.
          const std::string key = exchange.request().target.substr(
              0, exchange.request().target.find('?'));
          response.status = claims_.insert(key).second ? 200 : 412;
          response.body = R"({"version":1})";
        } else {
          response.status = 404;
        }
        (co_await exchange.Respond(std::move(response))).IgnoreError();
      });
  logger_ = std::make_unique<Logger>(log_, Severity::kInfo);
  daemon_ = StartRouter(MakeSettings(store_->address()));
}

std::unique_ptr<RouterDaemon> RouterHarness::StartRouter(
    const RouterSettings& settings) {
  absl::StatusOr<std::unique_ptr<RouterDaemon>> daemon =
      RouterDaemon::Create(settings, logger_.get());
  REQUIRE(daemon.ok());
  REQUIRE((*daemon)->Start().ok());
  return *std::move(daemon);
}

RouterDaemon& RouterHarness::AddRouter(const std::string& id) {
  // Connections to port 1 of loopback are refused.
  RouterSettings settings = MakeSettings("127.0.0.1:1");
  settings.router = RouterId(id);
  settings.seeds = {LoopbackAddress(daemon_->peer_port())};
  others_.push_back(StartRouter(settings));
  return *others_.back();
}

void RouterHarness::Kill() {
  daemon_ = nullptr;
}

RouterHarness::~RouterHarness() {
  std::filesystem::remove(SpanFile());
}

std::string RouterHarness::SpanFile() {
  return std::filesystem::temp_directory_path() /
         absl::StrCat("papaya-spans-", getpid());
}

UpstreamSpec RouterHarness::Engine(const std::string& id,
                                   const FakeUpstream& fake) {
  UpstreamSpec spec;
  spec.id = UpstreamId(id);
  spec.vm = VmId("vm-" + id);
  spec.address = fake.address();
  spec.zone = AvailabilityZoneId("zone-a");
  spec.pool = PoolId("m");
  spec.version = VersionId("v1");
  spec.generation = GenerationId("g1");
  spec.slots = 4;
  return spec;
}

UpstreamSpec RouterHarness::Service(const std::string& id,
                                    const FakeUpstream& fake) {
  UpstreamSpec spec = Engine(id, fake);
  spec.kind = UpstreamKind::kPlainService;
  spec.pool = PoolId("booking");
  return spec;
}

void RouterHarness::Run(std::function<asio::awaitable<void>()> body) {
  RunOn(context(), [this, &body]() -> asio::awaitable<void> {
    co_await AwaitReady(*daemon_);
    for (const std::unique_ptr<RouterDaemon>& other : others_) {
      co_await AwaitReady(*other);
    }
    co_await body();
  });
}

asio::awaitable<void> RouterHarness::AwaitReady(RouterDaemon& router) {
  HttpRequest probe;
  probe.target = "/readyz";
  int status = 0;
  while (status != 200) {
    const absl::StatusOr<HttpResponse> response = co_await FetchHttp(
        LoopbackAddress(router.operator_port()), probe, TestDeadline());
    REQUIRE(response.ok());
    status = response->status;
  }
}

asio::awaitable<HttpResponse> RouterHarness::Fetch(HttpRequest request) {
  co_return co_await Fetch(*daemon_, std::move(request));
}

asio::awaitable<HttpResponse> RouterHarness::Fetch(RouterDaemon& router,
                                                   HttpRequest request) {
  if (request.headers.Find("Authorization") == nullptr) {
    request.headers.Set("Authorization", "Bearer acme token");
  }
  const absl::StatusOr<HttpResponse> response =
      co_await FetchHttp(LoopbackAddress(router.caller_port()),
                         std::move(request), TestDeadline());
  REQUIRE(response.ok());
  co_return *response;
}

asio::awaitable<std::string> RouterHarness::IssueTicket(RouterDaemon& router) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/tickets";
  request.body = R"({"count":1})";
  const HttpResponse issued = co_await Fetch(router, request);
  REQUIRE(issued.status == 200);
  const boost::json::value body = boost::json::parse(issued.body);
  co_return std::string(body.at("tickets").at(0).as_string());
}

HttpRequest RouterHarness::Chat(bool stream) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/chat/completions";
  request.body = absl::StrCat(
      R"({"model":"m","messages":[{"role":"user","content":"hi"}],"stream":)",
      stream ? "true" : "false", "}");
  return request;
}

HttpRequest RouterHarness::Booking(const std::string& key) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/svc/booking/hires";
  request.headers.Set("Idempotency-Key", key);
  request.body = "one van";
  return request;
}

std::string RouterHarness::caller_address() const {
  return LoopbackAddress(daemon_->caller_port());
}

std::string RouterHarness::operator_address() const {
  return LoopbackAddress(daemon_->operator_port());
}

}  // namespace papaya
