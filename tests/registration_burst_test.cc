#include <catch2/catch.hpp>
#include <chrono>

#include "tests/fakes/gateway_fixture.h"

namespace papaya {
namespace {

using std::chrono::milliseconds;

constexpr Duration kLatest = milliseconds(600);

TEST_CASE("Gateway: each change of a registration delayed all requests",
          "[gateway]") {
  constexpr int kChanges = 80;
  GatewayFixture f(RequestKind::kIdempotent);
  const int before = f.snapshots;
  const TimePoint start = SteadyNow();
  for (int i = 0; i < kChanges; ++i) {
    f.records[1].slots = 5 + i;
    f.SetUpstreams();
  }
  f.RunUntil([&] { return SteadyNow() - start > kLatest; });
  CHECK(f.snapshots > before);
  CHECK(f.snapshots - before <= 3);
}

TEST_CASE("Gateway: the last of many changes of registrations is in force",
          "[gateway]") {
  GatewayFixture f(RequestKind::kIdempotent);
  const std::vector<UpstreamRecord> both = f.records;
  const TimePoint start = SteadyNow();
  for (int i = 0; i < 9; ++i) {
    f.records = both;
    if (i % 2 == 0) {
      f.records.erase(f.records.begin());
    }
    f.SetUpstreams();
  }
  f.RunUntil([&] { return SteadyNow() - start > kLatest; });
  std::vector<std::unique_ptr<RawPeer>> callers;
  for (size_t i = 0; i < 4; ++i) {
    callers.push_back(f.Call(kPostRequest));
  }
  f.RunUntil([&] { return f.RequestsAt(1) == callers.size(); });
  CHECK(f.RequestsAt(0) == 0);
}

}  // namespace
}  // namespace papaya
