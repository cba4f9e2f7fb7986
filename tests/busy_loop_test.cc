#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <vector>

#include "tests/fakes/gateway_fixture.h"

namespace papaya {
namespace {

using std::chrono::milliseconds;

TEST_CASE("Gateway: a busy event loop accepted one connection in each pass",
          "[gateway]") {
  constexpr size_t kCallers = 20;
  GatewayFixture f(RequestKind::kIdempotent);
  std::vector<std::unique_ptr<RawPeer>> callers;
  for (size_t i = 0; i < kCallers; ++i) {
    callers.push_back(f.Call(kPostRequest));
  }
  f.context.restart();
  while (f.listener.connections() == 0) {
    f.context.poll_one();
  }
  CHECK(f.listener.connections() == kCallers);
}

TEST_CASE("Gateway: unread responses made upstreams look silent", "[gateway]") {
  GatewayFixture f(RequestKind::kIdempotent);
  // An attempt times out after four times the objective.
  f.route.latency_objective = milliseconds(20);
  f.PublishRoute();
  f.read_delay = std::chrono::seconds(10);
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  f.AwaitRequest();
  const TimePoint later = SteadyNow() + milliseconds(200);
  f.RunUntil([&] { return SteadyNow() >= later; });
  CHECK(f.RequestsAt(0) + f.RequestsAt(1) == 1);
  // Everything has been read, so the silence is the upstream's.
  f.read_delay = Duration();
  f.RunUntil([&] { return f.RequestsAt(0) + f.RequestsAt(1) == 2; });
}

}  // namespace
}  // namespace papaya
