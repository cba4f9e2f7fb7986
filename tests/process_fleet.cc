#include "tests/process_fleet.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <catch2/catch.hpp>
#include <fstream>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_replace.h"
#include "include/base/text_file.h"
#include "include/config/fleet_config.h"
#include "include/config/fleet_config_json.h"
#include "include/standin/ledger_check.h"
#include "include/standin/load_runner.h"
#include "include/wire/http_client.h"
#include "include/wire/sse_reader.h"
#include "tests/loopback.h"

namespace papaya {

namespace asio = boost::asio;

namespace {

// Long enough for a router to detect that another one is dead.
constexpr std::chrono::seconds kCallTimeout{60};

UpstreamSpec SpecOf(const std::string& name,
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

std::string EventText(const std::string& event) {
  return absl::StrCat("\"name\":\"", event, "\"");
}

}  // namespace

ProcessFleet::ProcessFleet(const Flags& flags) {
  directory_ = std::filesystem::temp_directory_path() /
               absl::StrCat("papaya-test-", getpid());
  std::filesystem::create_directories(directory_);
  StartStandin("platform", {"--role=platform"}, flags.platform);
  FleetConfig config;
  config.revision = Revision(1);
  for (const char* name : {"booking-1", "booking-2"}) {
    const std::string address =
        StartStandin(name, {"--role=service"}, flags.service);
    config.upstreams.push_back(SpecOf(name, address, "booking"));
  }
  for (const char* name : {"engine-1", "engine-2"}) {
    const std::string address =
        StartStandin(name, {"--role=engine", "--token_ms=2"}, flags.engine);
    config.upstreams.push_back(SpecOf(name, address, "assistant"));
  }
  PutConfig(FleetConfigToJson(config));
}

ProcessFleet::~ProcessFleet() {
  std::filesystem::remove_all(directory_);
}

void ProcessFleet::StartRouter(const std::string& name,
                               const std::string& more) {
  const std::string path = directory_ / (name + ".ini");
  std::ofstream(path) << SettingsOf(name, more);
  routers_[name] = std::make_unique<ChildProcess>(
      std::vector<std::string>{"papayad", "--settings=" + path});
  const auto read_address = [this, &name](const std::string& role) {
    const std::string line =
        router(name).ReadLineWith("\"role\":\"" + role + "\"");
    return absl::StrCat("127.0.0.1:", ChildProcess::TextIn(line, "port"));
  };
  addresses_[name] = read_address("callers");
  operator_addresses_[name] = read_address("operators");
  peer_addresses_[name] = read_address("routers");
  // The events may come in any order.
  std::set<std::string> awaited = {EventText("router_ready")};
  for (const auto& [other, address] : peer_addresses_) {
    if (other != name) {
      awaited.insert("\"router\":\"" + other + "\"");
    }
  }
  while (!awaited.empty()) {
    const std::string line = router(name).ReadLineWith("\"name\":\"router_");
    std::erase_if(awaited, [&line](const std::string& part) {
      return line.find(part) != std::string::npos;
    });
  }
  for (const auto& [other, process] : routers_) {
    if (other != name && peer_addresses_.contains(other)) {
      AwaitEvent(other, "router_joined", name);
    }
  }
}

void ProcessFleet::KillRouter(const std::string& name) {
  router(name).Signal(SIGKILL);
  router(name).Wait();
  addresses_.erase(name);
  peer_addresses_.erase(name);
}

void ProcessFleet::AwaitEvent(const std::string& router_name,
                              const std::string& event,
                              const std::string& subject) {
  const std::string mark = absl::StrCat(EventText(event), ",");
  std::string line;
  do {
    line = router(router_name).ReadLineWith(mark);
  } while (line.find("\"" + subject + "\"") == std::string::npos);
}

std::vector<std::string> ProcessFleet::addresses() const {
  std::vector<std::string> all;
  for (const auto& [name, address] : addresses_) {
    all.push_back(address);
  }
  return all;
}

int64_t ProcessFleet::StatusOf(const std::string& router_name,
                               const std::string& key) {
  HttpRequest request;
  request.target = "/v1/status";
  request.headers.Set("Authorization", "Bearer skokan-operators");
  const HttpResponse page = Fetch(operator_addresses_.at(router_name), request);
  return boost::json::parse(page.body).at(key).to_number<int64_t>();
}

void ProcessFleet::SetFaults(const std::string& name,
                             const std::string& faults) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/faults";
  request.body = faults;
  REQUIRE(Fetch(standins_.at(name), request).status == 200);
}

std::map<std::string, uint64_t> ProcessFleet::Ledger() {
  std::map<std::string, uint64_t> runs;
  for (const char* service : {"booking-1", "booking-2"}) {
    for (const auto& [key, count] : LedgerOf(service)) {
      runs[key] += count;
    }
  }
  return runs;
}

std::map<std::string, uint64_t> ProcessFleet::LedgerOf(
    const std::string& service) {
  HttpRequest request;
  request.target = "/ledger";
  std::map<std::string, uint64_t> runs;
  REQUIRE(AddLedger(Fetch(standins_.at(service), request).body, runs).ok());
  return runs;
}

void ProcessFleet::AwaitRun(const std::string& key) {
  const TimePoint deadline = SteadyNow() + Duration(kCallTimeout);
  while (RunsOf(key) == 0) {
    INFO("waiting for the run of " << key);
    REQUIRE(SteadyNow() < deadline);
  }
}

HttpResponse ProcessFleet::Fetch(const std::string& address,
                                 const HttpRequest& request) {
  absl::StatusOr<HttpResponse> response = absl::UnknownError("not asked");
  RunOn(context_, [&]() -> asio::awaitable<void> {
    response = co_await FetchHttp(address, request,
                                  SteadyNow() + Duration(kCallTimeout));
  });
  INFO(request.method << " " << request.target << " " << request.body);
  INFO(response.status());
  REQUIRE(response.ok());
  return *std::move(response);
}

std::unique_ptr<ProcessFleet::Call> ProcessFleet::Begin(
    const std::string& router_name,
    const HttpRequest& request) {
  auto call = std::make_unique<Call>(&context_);
  asio::co_spawn(context_,
                 FetchHttp(address(router_name), request,
                           SteadyNow() + Duration(kCallTimeout)),
                 [state = call.get()](const std::exception_ptr&,
                                      absl::StatusOr<HttpResponse> response) {
                   state->response_ = std::move(response);
                   state->is_over_ = true;
                 });
  return call;
}

absl::StatusOr<HttpResponse> ProcessFleet::Call::End() {
  context_.restart();
  while (!is_over_) {
    context_.run_one();
  }
  return response_;
}

std::vector<std::string> ProcessFleet::Tickets(const std::string& router_name,
                                               int count) {
  const HttpResponse response =
      Fetch(address(router_name),
            Post("/v1/tickets", absl::StrCat(R"({"count":)", count, "}")));
  REQUIRE(response.status == 200);
  std::vector<std::string> tickets;
  const boost::json::value body = boost::json::parse(response.body);
  for (const boost::json::value& ticket : body.at("tickets").as_array()) {
    tickets.emplace_back(ticket.as_string());
  }
  return tickets;
}

HttpRequest ProcessFleet::Post(const std::string& target,
                               const std::string& body) {
  HttpRequest request;
  request.method = "POST";
  request.target = target;
  request.headers.Set("Authorization", absl::StrCat("Bearer ", kToken));
  request.body = body;
  return request;
}

HttpRequest ProcessFleet::Booking(const std::string& key,
                                  const std::string& header,
                                  const std::string& value) {
  HttpRequest request =
      Post("/svc/booking/hires", absl::StrCat(R"({"key":")", key, R"("})"));
  request.headers.Set(header, value);
  return request;
}

HttpRequest ProcessFleet::Chat(const std::string& prompt, Tokens max_tokens) {
  HttpRequest request =
      Post("/v1/chat/completions",
           absl::StrCat(R"({"model":"assistant","stream":true,"max_tokens":)",
                        max_tokens.value(),
                        R"(,"messages":[{"role":"user","content":")", prompt,
                        R"("}]})"));
  request.headers.Set("papaya-route", "plan");
  return request;
}

asio::awaitable<std::string> ProcessFleet::ReadStream(
    std::string address,
    HttpRequest request,
    ResponseChecker* check,
    std::function<void()> read) {
  const TimePoint deadline = SteadyNow() + Duration(kCallTimeout);
  absl::StatusOr<std::unique_ptr<HttpClient>> client =
      co_await HttpClient::Connect(address, deadline);
  REQUIRE(client.ok());
  const absl::Status sent = co_await (*client)->Send(request, deadline);
  REQUIRE(sent.ok());
  const absl::StatusOr<HttpResponse> head =
      co_await (*client)->ReadHead(deadline);
  REQUIRE(head.ok());
  REQUIRE(head->status == 200);
  SseReader reader(Bytes(64 * 1024));
  while (!check->is_complete() && !check->is_invalid()) {
    const absl::StatusOr<std::string> piece =
        co_await (*client)->ReadPiece(deadline);
    if (!piece.ok() || piece->empty()) {
      break;
    }
    std::vector<SseEvent> events;
    REQUIRE(reader.Feed(*piece, &events).ok());
    for (const SseEvent& event : events) {
      check->OnEvent(event);
    }
    if (read != nullptr) {
      read();
    }
  }
  co_return head->headers.Get("papaya-stream-id");
}

LoadTally ProcessFleet::RunLoad(const LoadOptions& options,
                                const std::function<void()>& at_half) {
  bool is_over = false;
  LoadRunner runner(&context_, options, [&is_over] { is_over = true; });
  asio::steady_timer half(context_);
  half.expires_after(std::chrono::duration_cast<std::chrono::nanoseconds>(
      options.duration / 2));
  half.async_wait([&at_half](const boost::system::error_code& error) {
    if (!error && at_half) {
      at_half();
    }
  });
  context_.restart();
  runner.Start();
  while (!is_over) {
    context_.run_one();
  }
  return runner.tally();
}

LoadOptions ProcessFleet::MixedLoad() const {
  LoadOptions options;
  options.routers = addresses();
  options.token = kToken;
  options.rates = {40, 3, 20};
  options.duration = std::chrono::seconds(2);
  options.report_tokens = Tokens(100);
  return options;
}

std::string ProcessFleet::StartStandin(const std::string& name,
                                       std::vector<std::string> flags,
                                       const std::vector<std::string>& more) {
  flags.insert(flags.begin(), {"papaya_standin", "--name=" + name});
  flags.insert(flags.end(), more.begin(), more.end());
  processes_.push_back(std::make_unique<ChildProcess>(flags));
  standins_[name] = ChildProcess::TextIn(
      processes_.back()->ReadLineWith("\"ready\":true"), "address");
  return standins_[name];
}

void ProcessFleet::PutConfig(const std::string& json) {
  HttpRequest request;
  request.method = "PUT";
  request.target = "/objects/skokan/papaya/config?expected=0&operation=test";
  request.body = json;
  REQUIRE(Fetch(standins_.at("platform"), request).status == 200);
}

std::string ProcessFleet::SettingsOf(const std::string& name,
                                     const std::string& more) const {
  const absl::StatusOr<std::string> text =
      ReadTextFile(PAPAYA_SOURCE_DIR "/settings/skokan.ini");
  REQUIRE(text.ok());
  std::vector<std::string> seeds;
  for (const auto& [router_name, address] : peer_addresses_) {
    seeds.push_back(address);
  }
  return absl::StrReplaceAll(
      *text, {{"id = skokan-1", absl::StrCat("id = ", name, "\n", more)},
              {"10.20.1.10:8080", "127.0.0.1:0"},
              {"10.20.1.10:8081", "127.0.0.1:0"},
              {"10.20.1.10:8082", "127.0.0.1:0"},
              {"10.20.1.11:8081, 10.20.1.12:8081", absl::StrJoin(seeds, ", ")},
              {"10.20.1.2:7000", standins_.at("platform")},
              {"chart_directory = charts",
               "chart_directory = " PAPAYA_SOURCE_DIR "/charts"}});
}

}  // namespace papaya
