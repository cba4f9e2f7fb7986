#include "include/gateway/route_table.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>

namespace papaya {
namespace {

ServiceRoute MakeRoute(const std::string& name,
                       const std::string& prefix,
                       int priority = 0) {
  ServiceRoute route;
  route.id = RouteId(name);
  route.host = "hire.example";
  route.path_prefix = prefix;
  route.services = {{.service = PoolId("booking")}};
  route.priority = priority;
  return route;
}

std::string FindName(const RouteTable& table,
                     const std::string& host,
                     const std::string& target) {
  const ServiceRoute* route = table.FindRoute(host, target);
  return route == nullptr ? "" : route->id.value();
}

TEST_CASE("RouteTable: selects the longest matching prefix of the host",
          "[gateway]") {
  auto config = std::make_shared<GatewayConfig>();
  config->routes = {MakeRoute("all", "/"), MakeRoute("hire", "/hire/"),
                    MakeRoute("deep", "/hire/chat/")};
  const RouteTable table(config);
  CHECK(FindName(table, "hire.example", "/hire/chat/1") == "deep");
  CHECK(FindName(table, "hire.example", "/hire/chat/") == "deep");
  CHECK(FindName(table, "hire.example", "/hire/chat") == "hire");
  CHECK(FindName(table, "hire.example", "/hirechat/1") == "all");
  CHECK(FindName(table, "HIRE.example:8080", "/hire/x?to=/hire/chat/") ==
        "hire");
  CHECK(FindName(table, "other.example", "/hire/chat/1").empty());
  CHECK(FindName(table, "hire.example", "*").empty());
}

TEST_CASE("RouteTable: finds accounts by API key", "[gateway]") {
  auto config = std::make_shared<GatewayConfig>();
  config->accounts = {{.id = AccountId("school"), .api_keys = {"k1", "k2"}}};
  const RouteTable table(config);
  REQUIRE(table.FindAccount("k2") != nullptr);
  CHECK(table.FindAccount("k2")->id == AccountId("school"));
  CHECK(table.FindAccount("k3") == nullptr);
  CHECK(table.FindAccount("") == nullptr);
}

TEST_CASE(
    "RouteTable: the route's priority orders requests of accounts with "
    "equal priority",
    "[gateway]") {
  auto config = std::make_shared<GatewayConfig>();
  config->routes = {MakeRoute("plan", "/plan/", 0),
                    MakeRoute("chat", "/chat/", 1),
                    MakeRoute("sort", "/sort/", 2)};
  config->accounts = {{.id = AccountId("a"), .priority = 1},
                      {.id = AccountId("b"), .priority = 1}};
  const RouteTable table(config);
  const ClientAccount* account = config->accounts.data();
  CHECK(table.TierOf(config->routes[0], account) == Tier::kInteractive);
  CHECK(table.TierOf(config->routes[1], account) == Tier::kStandard);
  CHECK(table.TierOf(config->routes[2], account) == Tier::kBatch);
}

TEST_CASE("RouteTable: an account's priority takes precedence over a route's",
          "[gateway]") {
  auto config = std::make_shared<GatewayConfig>();
  config->routes = {MakeRoute("plan", "/plan/", 0),
                    MakeRoute("sort", "/sort/", 2)};
  config->accounts = {{.id = AccountId("a"), .priority = 0},
                      {.id = AccountId("b"), .priority = 3}};
  const RouteTable table(config);
  CHECK(table.TierOf(config->routes[1], config->accounts.data()) <
        table.TierOf(config->routes[0], &config->accounts[1]));
}

TEST_CASE("RouteTable: finds hosts with a port and IPv6 literals",
          "[gateway]") {
  auto config = std::make_shared<GatewayConfig>();
  config->routes = {MakeRoute("plan", "/plan/")};
  config->routes[0].host = "[2001:db8::1]";
  const RouteTable literal(config);
  CHECK(literal.FindRoute("[2001:DB8::1]", "/plan/x") != nullptr);
  CHECK(literal.FindRoute("[2001:db8::1]:8221", "/plan/x") != nullptr);
  CHECK(literal.FindRoute("[2001:db8::2]", "/plan/x") == nullptr);
  auto named = std::make_shared<GatewayConfig>(*config);
  named->routes[0].host = "h.example";
  const RouteTable table(named);
  CHECK(table.FindRoute("H.example", "/plan/x") != nullptr);
  CHECK(table.FindRoute("h.example:80", "/plan/x") != nullptr);
}

TEST_CASE("ChooseService: distributes requests by weight", "[gateway]") {
  ServiceRoute route = MakeRoute("plan", "/plan/");
  route.services = {{.service = PoolId("old"), .weight = 90},
                    {.service = PoolId("new"), .weight = 10}};
  int chosen = 0;
  constexpr int kRequests = 20000;
  for (int i = 0; i < kRequests; ++i) {
    const uint64_t hash = static_cast<uint64_t>(i) * 0x9e3779b97f4a7c15;
    chosen += ChooseService(route, hash) == PoolId("new") ? 1 : 0;
  }
  CHECK(chosen > kRequests / 12);
  CHECK(chosen < kRequests / 8);
}

}  // namespace
}  // namespace papaya
