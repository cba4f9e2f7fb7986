// Where a gateway learns that upstreams are cold: the manifest, the settings,
// registrations and responses.

#include <algorithm>
#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "include/gateway/upstream_directory.h"
#include "platform/header_codec.h"
#include "platform/object_codec.h"
#include "platform/settings_reader.h"
#include "tests/fakes/gateway_fixture.h"

namespace papaya {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A registration as its upstream writes it.
PlatformObject Registration(uint64_t version, const std::string& warmup) {
  PlatformObject object;
  object.name = "i-1";
  object.version = ObjectVersion(version);
  object.spec = boost::json::parse(absl::StrCat(
      R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v",)",
      R"("slots":5,"state":"ready","born":17,"sequence":)", version,
      R"(,"warmup_left_ms":)", warmup, "}"));
  return object;
}

bool Mentions(const absl::Status& status, const std::string& text) {
  return Has(std::string(status.message()), text);
}

// Sends requests until `count` have been received by the upstreams together.
std::vector<std::unique_ptr<RawPeer>> CallUntil(GatewayFixture* f,
                                                size_t count) {
  std::vector<std::unique_ptr<RawPeer>> callers;
  for (size_t i = 0; i < count; ++i) {
    callers.push_back(f->Call(absl::StrReplaceAll(
        kPostRequest, {{"Id: a1", absl::StrCat("Id: b", i)}})));
  }
  f->RunUntil([&] { return f->RequestsAt(0) + f->RequestsAt(1) >= count + 1; });
  return callers;
}

}  // namespace

TEST_CASE("Gateway: an upstream is cold while its responses say so",
          "[gateway]") {
  const bool has_bounds = GENERATE(true, false);
  const bool is_registration = GENERATE(false, true);
  GatewayFixture f(RequestKind::kNonIdempotent);
  GatewayBounds bounds;
  if (has_bounds) {
    bounds.cold_over = 1.5;
  }
  f.dispatcher.SetBounds(bounds);
  auto config = std::make_shared<GatewayConfig>();
  config->routes = {f.route};
  config->services = {
      {.id = PoolId("s"), .warmup = {.time = seconds(3), .per_second = 1.0}}};
  config->accounts = {{.id = AccountId("school"), .api_keys = {"secret"}}};
  f.dispatcher.SetTable(std::make_shared<const RouteTable>(config));
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  RawPeer* upstream = f.AwaitRequest();
  const size_t cold = f.IndexOf(upstream);
  upstream->Send(absl::StrReplaceAll(
      kOkResponse,
      {{"Seal: s",
        is_registration ? "Seal: s" : "Papayaarch-Warmup-Ms: 60000"}}));
  f.RunUntil([&] { return Has(caller->received, "ok"); });
  if (is_registration) {
    const int before = f.snapshots;
    f.dispatcher.OnWarmup(f.records[cold].id, seconds(60));
    CHECK(f.snapshots == before);
  }
  const size_t logged = static_cast<size_t>(
      std::count(f.events.begin(), f.events.end(), EventId::kUpstreamCold));
  CHECK(logged == (has_bounds ? 1 : 0));
  // As many as the other upstream has slots, then one more.
  const auto callers = CallUntil(&f, 4);
  CHECK((f.RequestsAt(cold) == 1) == has_bounds);
}

TEST_CASE("Gateway: a lost connection makes an upstream presumed cold",
          "[gateway]") {
  GatewayFixture f(RequestKind::kNonIdempotent);
  GatewayBounds bounds;
  bounds.cold_over = 1.5;
  f.dispatcher.SetBounds(bounds);
  auto config = std::make_shared<GatewayConfig>();
  config->routes = {f.route};
  config->services = {
      {.id = PoolId("s"), .warmup = {.time = seconds(3), .per_second = 1.0}}};
  config->accounts = {{.id = AccountId("school"), .api_keys = {"secret"}}};
  f.dispatcher.SetTable(std::make_shared<const RouteTable>(config));
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  RawPeer* upstream = f.AwaitRequest();
  SECTION("but not one that answers with an error") {
    upstream->Send(
        "HTTP/1.1 500 Oops\r\nPapayaarch-Attempt-Id: a1\r\n"
        "Content-Length: 2\r\n\r\nno");
    f.RunUntil([&] { return !f.reports.empty(); });
    CHECK(f.dispatcher.warmup().cold_upstreams() == 0);
  }
  SECTION("at once") {
    upstream->Reset();
    f.RunUntil([&] { return !f.reports.empty(); });
    CHECK(f.dispatcher.warmup().cold_upstreams() == 1);
  }
}

TEST_CASE("UpstreamDirectory: passes cold times on without a change",
          "[gateway]") {
  int changes = 0;
  std::vector<Duration> cold;
  std::vector<Event> events;
  UpstreamDirectory directory(
      {.decode = &platform::DecodeUpstream,
       .changed = [&] { ++changes; },
       .event = [&](const Event& event) { events.push_back(event); },
       .cold = [&](const UpstreamId&,
                   Duration left) { cold.push_back(left); }});
  const TimePoint now(seconds(100));
  directory.Apply(Registration(1, "2400"), now);
  directory.Apply(Registration(2, "1200"), now);
  // A list that is older than the last change.
  directory.Replace({Registration(1, "2400")}, now);
  directory.Apply(Registration(3, "0"), now);
  CHECK(changes == 1);
  CHECK(cold ==
        std::vector<Duration>{milliseconds(2400), milliseconds(1200), {}});
  SECTION("and keeps an upstream whose cold time is invalid") {
    const std::string value = GENERATE("-1", "1e300", "\"x\"", "[3]");
    events.clear();
    directory.Apply(Registration(4, value), now);
    REQUIRE(events.size() == 1);
    CHECK(events[0].id == EventId::kWarmupRefused);
    CHECK(Has(events[0].fields[1].second, "i-1.warmup_left_ms"));
    CHECK(Has(events[0].fields[1].second, "from 0 to 600000, got"));
    CHECK(directory.Records().size() == 1);
    CHECK(cold.size() == 3);
    CHECK(changes == 1);
  }
}

TEST_CASE("Platform: reads warm-up times, rates and bounds", "[platform]") {
  const auto manifest = [](const std::string& fields) {
    PlatformObject object;
    object.name = "main";
    object.spec = boost::json::parse(
        absl::StrCat(R"({"version":1,"services":[{"name":"s")", fields, "}]}"));
    return platform::DecodeManifest(object);
  };
  const auto settings = [](const std::string& bounds) {
    return platform::ParseSettings(
        absl::StrCat(R"({"node_name":"r","ip":"10.0.0.1","region":"r1",)",
                     R"("zone":"z","listen":{"frontend":"10.0.0.1:1",)",
                     R"("ready":"10.0.0.1:2"},"seeds":[],"limits":{},)",
                     R"("platform":{"address":"10.9.0.1:9"},"bounds":{)",
                     bounds, "}}"),
        "file");
  };
  CHECK(manifest(R"(,"warmup_s":3.0,"warmup_per_s":10)")->services[0].warmup ==
        WarmupRate{.time = seconds(3), .per_second = 10.0});
  CHECK_FALSE(manifest("")->services[0].warmup.IsLimited());
  const auto negative = manifest(R"(,"warmup_s":-2)");
  REQUIRE_FALSE(negative.ok());
  CHECK(Mentions(negative.status(), "main.services.0.warmup_s"));
  CHECK(Mentions(negative.status(), "from 0 to 600, got -2"));
  const auto good = settings(R"("cold_over":1.5,"cold_slack":5)");
  REQUIRE(good.ok());
  CHECK(good->bounds.cold_over == 1.5);
  CHECK(good->bounds.cold_slack == 5.0);
  CHECK_FALSE(settings("")->bounds.cold_over.has_value());
  CHECK(Mentions(settings(R"("cold_over":"x")").status(),
                 "file.bounds.cold_over"));
  const HeaderCodec codec = platform::MakeHeaderCodec();
  const auto header = [&codec](const std::string& value) {
    return codec.read_response(200, {{"Papayaarch-Warmup-Ms", value}});
  };
  CHECK(header("1500").warmup_left == milliseconds(1500));
  CHECK_FALSE(header("-1").warmup_left.has_value());
  CHECK(Has(header("-1").warmup_error, "from 0 to 600000, got -1"));
  CHECK_FALSE(codec.read_response(200, {}).HasWarmup());
}

}  // namespace papaya
