#include "include/once/claim_sweeper.h"

#include <catch2/catch.hpp>

#include "absl/strings/str_format.h"
#include "src/once/claim_record.h"
#include "tests/fakes/fake_object_store.h"

namespace papaya {
namespace {

WallTime ToWallTime(TimePoint time) {
  return WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(
      time.time_since_epoch()));
}

void PutClaim(FakeObjectStoreBackend& backend, const std::string& name) {
  const ClaimRecord record{.router = RouterId("gone"),
                           .incarnation = Incarnation(1),
                           .claimed_at = ToWallTime(backend.now)};
  REQUIRE(backend
              .Write({.key = "f/claims/" + name,
                      .value = EncodeClaimRecord(record)})
              .ok());
}

TEST_CASE("ClaimSweeper: one pass removes old claims and keeps recent ones",
          "[once]") {
  FakeObjectStoreBackend backend(3);
  FakeObjectStore store(&backend);
  PutClaim(backend, "00f0");
  PutClaim(backend, "fff0");
  backend.RunUntil(backend.now + std::chrono::hours(30));
  PutClaim(backend, "00f1");

  bool is_sweeper = false;
  ClaimSweeper sweeper(
      {.key_prefix = "f/"},
      {.is_sweeper = [&is_sweeper] { return is_sweeper; },
       .wall_now = [&backend] { return ToWallTime(backend.now); }},
      &store, 9);
  constexpr int kShardCount = 4096;
  const auto run_round = [&backend, &sweeper] {
    for (int i = 0; i < kShardCount; ++i) {
      sweeper.OnTick(backend.now);
      backend.RunUntil(backend.now + std::chrono::seconds(20));
    }
  };
  run_round();
  CHECK(backend.objects.size() == 3);

  is_sweeper = true;
  PutClaim(backend, "00f2");
  run_round();
  CHECK_FALSE(backend.objects.contains("f/claims/00f0"));
  CHECK_FALSE(backend.objects.contains("f/claims/fff0"));
  CHECK(backend.objects.contains("f/claims/00f2"));
}

}  // namespace
}  // namespace papaya
