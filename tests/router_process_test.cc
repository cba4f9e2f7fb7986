#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "include/base/text_file.h"
#include "include/config/fleet_config.h"
#include "include/config/fleet_config_json.h"
#include "include/standin/answer_check.h"
#include "include/standin/ledger_check.h"
#include "include/standin/load_runner.h"
#include "include/wire/http_client.h"
#include "include/wire/sse_reader.h"
#include "tests/child_process.h"
#include "tests/loopback.h"

namespace papaya {
namespace {

namespace asio = boost::asio;

constexpr const char* kToken = "skokan-hire-desk";

// Stand-ins and routers in processes of their own.
class ProcessFleet {
 public:
  explicit ProcessFleet(const std::vector<std::string>& engine_flags = {}) {
    directory_ = std::filesystem::temp_directory_path() /
                 absl::StrCat("papaya-test-", getpid());
    std::filesystem::create_directories(directory_);
    platform_ = StartStandin("platform", {"--role=platform"});
    FleetConfig config;
    config.revision = Revision(1);
    for (const char* name : {"booking-1", "booking-2"}) {
      const std::string address = StartStandin(name, {"--role=service"});
      services_.push_back(address);
      config.upstreams.push_back(SpecOf(name, address, "booking"));
    }
    for (const char* name : {"engine-1", "engine-2"}) {
      std::vector<std::string> flags = {"--role=engine", "--token_ms=2"};
      flags.insert(flags.end(), engine_flags.begin(), engine_flags.end());
      const std::string address = StartStandin(name, flags);
      config.upstreams.push_back(SpecOf(name, address, "assistant"));
    }
    PutConfig(FleetConfigToJson(config));
  }

  ~ProcessFleet() { std::filesystem::remove_all(directory_); }

  // Starts a router and waits until it is ready.
  void StartRouter(const std::string& name) {
    const std::string path = directory_ / (name + ".ini");
    std::ofstream(path) << SettingsOf(name);
    routers_[name] = std::make_unique<ChildProcess>(
        std::vector<std::string>{"papayad", "--settings=" + path});
    ChildProcess& router = *routers_[name];
    const std::string line = router.ReadLineWith("\"role\":\"callers\"");
    addresses_[name] =
        absl::StrCat("127.0.0.1:", ChildProcess::TextIn(line, "port"));
    router.ReadLineWith("\"name\":\"router_ready\"");
  }

  ChildProcess& router(const std::string& name) { return *routers_.at(name); }
  const std::string& address(const std::string& name) const {
    return addresses_.at(name);
  }

  std::vector<std::string> addresses() const {
    std::vector<std::string> all;
    for (const auto& [name, address] : addresses_) {
      all.push_back(address);
    }
    return all;
  }

  // How often each booking was run, over both services.
  std::map<std::string, uint64_t> Ledger() {
    std::map<std::string, uint64_t> runs;
    for (const std::string& service : services_) {
      HttpRequest request;
      request.target = "/ledger";
      REQUIRE(AddLedger(Ask(service, request).body, runs).ok());
    }
    return runs;
  }

  HttpResponse Ask(const std::string& address, const HttpRequest& request) {
    absl::StatusOr<HttpResponse> response = absl::UnknownError("not asked");
    RunOn(context_, [&]() -> asio::awaitable<void> {
      response = co_await FetchHttp(address, request, TestDeadline());
    });
    INFO(response.status());
    REQUIRE(response.ok());
    return *std::move(response);
  }

  asio::io_context& context() { return context_; }

 private:
  std::string StartStandin(const std::string& name,
                           std::vector<std::string> flags) {
    flags.insert(flags.begin(), {"papaya_standin", "--name=" + name});
    standins_.push_back(std::make_unique<ChildProcess>(flags));
    return ChildProcess::TextIn(
        standins_.back()->ReadLineWith("\"ready\":true"), "address");
  }

  static UpstreamSpec SpecOf(const std::string& name,
                             const std::string& address,
                             const std::string& pool) {
    UpstreamSpec spec;
    spec.id = UpstreamId(name);
    spec.vm = VmId("vm-" + name);
    spec.address = address;
    spec.zone = AvailabilityZoneId("sk-west-a");
    spec.kind = pool == "booking" ? UpstreamKind::kPlainService
                                  : UpstreamKind::kModelEngine;
    spec.pool = PoolId(pool);
    spec.version = VersionId("v1");
    spec.generation = GenerationId("g1");
    spec.slots = 16;
    spec.refusal_means_not_run = true;
    return spec;
  }

  void PutConfig(const std::string& json) {
    HttpRequest request;
    request.method = "PUT";
    request.target = "/objects/skokan/papaya/config?expected=0&operation=test";
    request.body = json;
    REQUIRE(Ask(platform_, request).status == 200);
  }

  // The settings of settings/skokan.ini, with this test's addresses.
  std::string SettingsOf(const std::string& name) const {
    const absl::StatusOr<std::string> text =
        ReadTextFile(PAPAYA_SOURCE_DIR "/settings/skokan.ini");
    REQUIRE(text.ok());
    return absl::StrReplaceAll(
        *text, {{"id = skokan-1", "id = " + name},
                {"10.20.1.10:8080", "127.0.0.1:0"},
                {"10.20.1.10:8081", "127.0.0.1:0"},
                {"10.20.1.10:8082", "127.0.0.1:0"},
                {"seeds = 10.20.1.11:8081, 10.20.1.12:8081", "seeds ="},
                {"10.20.1.2:7000", platform_},
                {"chart_directory = charts",
                 "chart_directory = " PAPAYA_SOURCE_DIR "/charts"}});
  }

  std::filesystem::path directory_;
  asio::io_context context_;
  std::vector<std::unique_ptr<ChildProcess>> standins_;
  std::map<std::string, std::unique_ptr<ChildProcess>> routers_;
  std::map<std::string, std::string> addresses_;
  std::vector<std::string> services_;
  std::string platform_;
};

LoadOptions LoadOn(const ProcessFleet& fleet) {
  LoadOptions options;
  options.routers = fleet.addresses();
  options.token = kToken;
  options.rates = {40, 3, 20};
  options.duration = std::chrono::seconds(2);
  options.report_tokens = Tokens(100);
  // Each bookings brings its own key, so that any router can decide it.
  options.with_ticket = Permille(0);
  return options;
}

// Sends the load; `at` is called once, when half of its time is over.
LoadTally RunLoad(ProcessFleet& fleet,
                  const LoadOptions& options,
                  const std::function<void()>& at_half = nullptr) {
  asio::io_context& context = fleet.context();
  bool is_over = false;
  LoadRunner runner(&context, options, [&is_over] { is_over = true; });
  asio::steady_timer half(context);
  half.expires_after(std::chrono::duration_cast<std::chrono::nanoseconds>(
      options.duration / 2));
  half.async_wait([&at_half](const boost::system::error_code& error) {
    if (!error && at_half) {
      at_half();
    }
  });
  context.restart();
  runner.Start();
  while (!is_over) {
    context.run_one();
  }
  return runner.tally();
}

uint64_t CountAll(const LoadTally& tally, CallEnd end) {
  uint64_t count = 0;
  for (const LoadKind kind : kAllLoadKinds) {
    count += tally.Count(kind, end);
  }
  return count;
}

TEST_CASE("papayad: carries chats, streams and bookings, each whole",
          "[process]") {
  ProcessFleet fleet;
  fleet.StartRouter("r1");
  const LoadTally tally = RunLoad(fleet, LoadOn(fleet));
  INFO(tally.ToJson());
  for (const LoadKind kind : kAllLoadKinds) {
    CHECK(tally.Count(kind, CallEnd::kWhole) > 0);
  }
  for (const CallEnd end : {CallEnd::kNotRun, CallEnd::kUnknown,
                            CallEnd::kFailed, CallEnd::kWrong, CallEnd::kCut}) {
    CHECK(CountAll(tally, end) == 0);
  }
  const LedgerCheck ledger = CheckLedger(tally.bookings(), fleet.Ledger());
  CHECK(ledger.IsGood());
  CHECK(ledger.once == tally.Count(LoadKind::kBooking, CallEnd::kWhole));
  fleet.router("r1").Signal(SIGTERM);
  CHECK(fleet.router("r1").Wait() == 0);
}

TEST_CASE("papayad: SIGTERM with a long stream in flight cuts nothing",
          "[process]") {
  ProcessFleet fleet({"--token_ms=10"});
  fleet.StartRouter("r1");
  constexpr int kTokens = 200;
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/chat/completions";
  request.headers.Set("Authorization", std::string("Bearer ") + kToken);
  request.body = absl::StrCat(
      R"({"model":"assistant","messages":[{"role":"user","content":"long"}],)",
      R"("stream":true,"max_tokens":)", kTokens, "}");
  AnswerCheck check("long", Tokens(kTokens));
  RunOn(fleet.context(), [&]() -> asio::awaitable<void> {
    absl::StatusOr<std::unique_ptr<HttpClient>> client =
        co_await HttpClient::Connect(fleet.address("r1"), TestDeadline());
    REQUIRE(client.ok());
    const absl::Status sent = co_await (*client)->Send(request, TestDeadline());
    REQUIRE(sent.ok());
    const absl::StatusOr<HttpResponse> head =
        co_await (*client)->ReadHead(TestDeadline());
    REQUIRE(head.ok());
    if (head->status != 200) {
      const absl::StatusOr<std::string> body =
          co_await (*client)->ReadPiece(TestDeadline());
      FAIL("the router answered " << head->status << " " << *body);
    }
    SseReader reader(Bytes(64 * 1024));
    bool is_signalled = false;
    while (!check.is_whole() && !check.is_wrong()) {
      const absl::StatusOr<std::string> piece =
          co_await (*client)->ReadPiece(TestDeadline());
      REQUIRE(piece.ok());
      REQUIRE_FALSE(piece->empty());
      std::vector<SseEvent> events;
      REQUIRE(reader.Feed(*piece, &events).ok());
      for (const SseEvent& event : events) {
        check.OnEvent(event);
      }
      if (!is_signalled && check.next() > 0) {
        fleet.router("r1").Signal(SIGTERM);
        is_signalled = true;
      }
    }
  });
  CHECK(check.is_whole());
  CHECK(fleet.router("r1").Wait() == 0);
}

TEST_CASE("papayad: callers go on through other routers when one is killed",
          "[process]") {
  ProcessFleet fleet;
  for (const char* name : {"r1", "r2", "r3"}) {
    fleet.StartRouter(name);
  }
  const LoadTally tally = RunLoad(
      fleet, LoadOn(fleet), [&fleet] { fleet.router("r2").Signal(SIGKILL); });
  INFO(tally.ToJson());
  for (const LoadKind kind : {LoadKind::kChat, LoadKind::kReport}) {
    CHECK(tally.Count(kind, CallEnd::kWhole) > 0);
    for (const CallEnd end :
         {CallEnd::kNotRun, CallEnd::kUnknown, CallEnd::kFailed,
          CallEnd::kWrong, CallEnd::kCut}) {
      CHECK(tally.Count(kind, end) == 0);
    }
  }
  CHECK(tally.Count(LoadKind::kBooking, CallEnd::kWhole) > 0);
  CHECK(CheckLedger(tally.bookings(), fleet.Ledger()).IsGood());
}

}  // namespace
}  // namespace papaya
