#include "include/admission/account_quota.h"

#include <catch2/catch.hpp>

#include "tests/fakes/quota_fleet.h"

namespace papaya {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kRate = QuotaCase().rate;

const double kAllowed = QuotaCase().Allowed();

TEST_CASE("AccountQuotas: an account within its quota is never rejected",
          "[admission]") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    QuotaFleet fleet(7, seed);
    fleet.Load(0.9 * kRate, 5000.0, seconds(30));
    CHECK(fleet.requested() > 0);
    CHECK(fleet.rejected() == 0);
  }
}

TEST_CASE(
    "AccountQuotas: a hot account is limited to its quota over all routers",
    "[admission]") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    QuotaFleet fleet(7, seed);
    fleet.Load(0.5 * kRate, 5000.0, seconds(10));
    fleet.Load(5.0 * kRate, 5000.0, seconds(20));
    CHECK(fleet.Peak() <= kAllowed);
    CHECK(fleet.Peak() >= 0.95 * kRate * 9.0);
  }
}

// Each of hundreds of routers sees a request of an account every few seconds,
// and its even share is far below the cost of one.
TEST_CASE("AccountQuotas: a large fleet rejects little within the quota",
          "[admission]") {
  for (const int routers : {24, 60, 300}) {
    QuotaFleet fleet(routers, 1);
    fleet.Load(0.55 * kRate, 7000.0, seconds(30));
    CAPTURE(routers, fleet.rejected(), fleet.requested());
    CHECK(fleet.requested() > 0);
    CHECK(fleet.rejected() <= fleet.requested() / 100);
  }
}

TEST_CASE("AccountQuotas: a large fleet limits a hot account", "[admission]") {
  for (const int routers : {24, 60, 300}) {
    QuotaFleet fleet(routers, 2);
    fleet.Load(0.5 * kRate, 7000.0, seconds(10));
    fleet.Load(7.5 * kRate, 7000.0, seconds(20));
    CAPTURE(routers);
    CHECK(fleet.Peak() <= kAllowed);
    CHECK(fleet.Peak() >= 0.9 * kRate * 8.0);
  }
}

TEST_CASE("AccountQuotas: a large fleet keeps the quota while routers die",
          "[admission]") {
  const bool is_noticed = GENERATE(true, false);
  QuotaFleet fleet(60, 4);
  fleet.Load(5.0 * kRate, 7000.0, seconds(10));
  for (int i = 0; i < 30; ++i) {
    if (is_noticed) {
      fleet.Kill(2 * i, milliseconds(800));
    } else {
      fleet.KillUnnoticed(2 * i, milliseconds(800));
    }
    fleet.Load(5.0 * kRate, 7000.0, milliseconds(300));
  }
  CHECK(fleet.Peak() <= kAllowed);
}

TEST_CASE("AccountQuotas: spending before a kill of all routers counts",
          "[admission]") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    QuotaFleet fleet(7, seed);
    fleet.Load(4.0 * kRate, 5000.0, seconds(12));
    for (int router = 0; router < 7; ++router) {
      fleet.Kill(router, milliseconds(1000));
    }
    fleet.Load(4.0 * kRate, 5000.0, seconds(12));
    CHECK(fleet.Peak() <= kAllowed);
  }
}

TEST_CASE("AccountQuotas: spending before a kill of one router counts",
          "[admission]") {
  for (int killed = 0; killed < 7; ++killed) {
    QuotaFleet fleet(7, 3);
    fleet.Load(4.0 * kRate, 5000.0, seconds(10));
    fleet.Kill(killed, milliseconds(800));
    fleet.Load(4.0 * kRate, 5000.0, seconds(10));
    CHECK(fleet.Peak() <= kAllowed);
  }
}

TEST_CASE(
    "AccountQuotas: kills of one router after another do not exceed the quota",
    "[admission]") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    for (const milliseconds pause : {milliseconds(300), milliseconds(700)}) {
      QuotaFleet fleet(7, seed);
      fleet.Load(4.0 * kRate, 5000.0, seconds(10));
      for (int i = 0; i < 14; ++i) {
        fleet.Kill(i % 7, milliseconds(400));
        fleet.Load(4.0 * kRate, 5000.0, pause);
      }
      CHECK(fleet.Peak() <= kAllowed);
    }
  }
}

TEST_CASE(
    "AccountQuotas: a dead router does not let a hot account exceed its quota",
    "[admission]") {
  for (int killed = 0; killed < 7; ++killed) {
    QuotaFleet fleet(7, 5);
    fleet.Load(0.5 * kRate, 5000.0, seconds(10));
    fleet.KillUnnoticed(killed, milliseconds(2000));
    fleet.Load(7.0 * kRate, 5000.0, seconds(10));
    CHECK(fleet.Peak() <= kAllowed);
  }
}

TEST_CASE(
    "AccountQuotas: after a restart of all routers few requests are rejected",
    "[admission]") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    QuotaFleet fleet(7, seed);
    fleet.Load(0.55 * kRate, 5000.0, seconds(10));
    for (int router = 0; router < 7; ++router) {
      fleet.Kill(router, milliseconds(500));
    }
    fleet.Load(0.55 * kRate, 5000.0, seconds(12));
    // Right after the start the time may be too short to tell this account from
    // one that exceeds its quota.
    CHECK(fleet.rejected() <= fleet.requested() / 50);
  }
}

TEST_CASE("AccountQuotas: a partitioned router limits itself to its share",
          "[admission]") {
  for (int cut = 0; cut < 7; ++cut) {
    QuotaFleet fleet(7, 11);
    fleet.Load(2.0 * kRate, 5000.0, seconds(10));
    fleet.Cut(cut);
    fleet.Load(4.0 * kRate, 5000.0, seconds(12));
    fleet.Heal();
    fleet.Load(4.0 * kRate, 5000.0, seconds(6));
    CHECK(fleet.Peak() <= kAllowed);
  }
}

}  // namespace
}  // namespace papaya
