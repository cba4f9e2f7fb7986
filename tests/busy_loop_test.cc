#include <catch2/catch.hpp>
#include <memory>
#include <vector>

#include "tests/fakes/gateway_fixture.h"

namespace papaya {
namespace {

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

}  // namespace
}  // namespace papaya
