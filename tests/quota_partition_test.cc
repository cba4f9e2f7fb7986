// Guards against a quota that is granted twice: by the owners on both sides of
// a partition, by an owner that has just taken a bucket over, and by routers
// that restarted together. Also guards against requests within the quota that
// are rejected on the way there.

#include <set>

#include <catch2/catch.hpp>

#include "tests/fakes/quota_fleet.h"

namespace papaya {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kRate = QuotaCase().rate;

// Every `step`-th router, `count` of them.
std::set<size_t> EveryNth(size_t count, size_t step, size_t first) {
  std::set<size_t> routers;
  for (size_t i = 0; i < count; ++i) {
    routers.insert(first + i * step);
  }
  return routers;
}

TEST_CASE("AccountQuotas: both sides of a partition stay within the quota",
          "[admission][partition]") {
  const int routers = GENERATE(7, 60, 300);
  const double share = GENERATE(0.15, 0.3, 0.5);
  const double load_before = GENERATE(0.3, 4.0);
  const size_t first = GENERATE(size_t{0}, size_t{1});
  QuotaFleet fleet(routers, 1);
  const auto count = static_cast<size_t>(share * routers);
  const auto step = static_cast<size_t>(1.0 / share);
  fleet.Load(load_before * kRate, 5000.0, seconds(10));
  fleet.Partition(EveryNth(count, step, first));
  fleet.Load(7.5 * kRate, 5000.0, seconds(14));
  fleet.Rejoin();
  fleet.Load(7.5 * kRate, 5000.0, seconds(14));
  CAPTURE(routers, share, load_before, first);
  CHECK(fleet.Peak() <= QuotaCase().Allowed());
}

// Guards against several owners of one quota that each count the same routers:
// connections that went silent in one direction leave routers with views that
// differ (review/5).
TEST_CASE("AccountQuotas: routers with different views stay within the quota",
          "[admission][partition]") {
  const double share = GENERATE(0.3, 0.7, 0.9);
  const double load_before = GENERATE(0.3, 4.0);
  for (uint64_t seed = 1; seed <= 8; ++seed) {
    constexpr size_t kRouters = 7;
    QuotaFleet fleet(static_cast<int>(kRouters), seed);
    fleet.Load(load_before * kRate, 5000.0, seconds(10));
    Random random(seed);
    std::vector<std::set<size_t>> views(kRouters);
    for (std::set<size_t>& view : views) {
      for (size_t i = 0; i < kRouters; ++i) {
        if (!random.Chance(share)) {
          view.insert(i);
        }
      }
    }
    fleet.SetViews(views);
    fleet.Load(7.5 * kRate, 5000.0, seconds(20));
    CAPTURE(share, load_before, seed);
    CHECK(fleet.Peak() <= QuotaCase().Allowed());
  }
}

TEST_CASE("AccountQuotas: routers that restarted apart stay within the quota",
          "[admission][partition]") {
  const int routers = GENERATE(7, 60, 300);
  const double share = GENERATE(0.15, 0.45);
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    QuotaFleet fleet(routers, seed);
    fleet.Load(4.0 * kRate, 5000.0, seconds(10));
    fleet.RestartApart(EveryNth(static_cast<size_t>(share * routers), 2, 0),
                       milliseconds(500), milliseconds(2000));
    fleet.Load(7.5 * kRate, 5000.0, seconds(16));
    CAPTURE(routers, share, seed);
    CHECK(fleet.Peak() <= QuotaCase().Allowed());
  }
}

void CheckLittleTraffic(int routers) {
  QuotaFleet fleet(routers, 3);
  fleet.Load(0.3 * kRate, 5000.0, seconds(10));
  fleet.Partition(EveryNth(static_cast<size_t>(0.3 * routers), 3, 1));
  fleet.Load(0.3 * kRate, 5000.0, seconds(14));
  fleet.Rejoin();
  fleet.Load(0.3 * kRate, 5000.0, seconds(10));
  CAPTURE(routers, fleet.rejected(), fleet.requested());
  CHECK(fleet.rejected() <= fleet.requested() / 50);
}

TEST_CASE(
    "AccountQuotas: 7 routers in a partition reject little within the quota",
    "[admission][partition]") {
  CheckLittleTraffic(7);
}

TEST_CASE(
    "AccountQuotas: 60 routers in a partition reject little within the quota",
    "[admission][partition]") {
  CheckLittleTraffic(60);
}

// Guards against routers that each spend from the same total before they report
// (review/9).
TEST_CASE("AccountQuotas: a batch at all routers at once stays in the quota",
          "[admission][calm]") {
  const int routers = GENERATE(2, 3, 7, 12, 23);
  const double rate = GENERATE(6500.0, 20000.0, 160000.0);
  const double cost = GENERATE(500.0, 3500.0);
  const QuotaCase quota{.rate = rate, .burst = rate};
  QuotaFleet fleet(routers, 6, quota);
  fleet.Load(0.9 * rate, cost, seconds(10));
  const double all = 8.0 * quota.Allowed();
  fleet.SendBatch(static_cast<int>(all / cost / routers), cost);
  fleet.Load(0.9 * rate, cost, seconds(8));
  CAPTURE(routers, rate, cost);
  CHECK(fleet.Peak() <= quota.Allowed());
}

// The calm day of 128 routers with one quota lowered.
TEST_CASE("AccountQuotas: 128 routers reject little within a lowered quota",
          "[admission][calm]") {
  const double lowered = GENERATE(12000.0, 40000.0);
  const int at_once = GENERATE(1, 4);
  const double loss = GENERATE(0.0, 0.02);
  const double cost = GENERATE(1500.0, 6000.0);
  QuotaFleet fleet(128, 4);
  fleet.loss = loss;
  fleet.requests_at_once = at_once;
  fleet.Load(0.2 * lowered, cost * at_once, seconds(5));
  fleet.SetQuota({.rate = lowered, .burst = lowered});
  fleet.Load(0.5 * lowered, cost * at_once, seconds(30));
  WARN("lowered to " << lowered << ", " << at_once << " at once of " << cost
                     << ", loss " << loss << ": " << fleet.rejected() << " of "
                     << fleet.requested() << " rejected");
  CHECK(fleet.rejected() <= fleet.requested() / 100);
}

TEST_CASE("AccountQuotas: one router may serve all requests of an account",
          "[admission][calm]") {
  const int at_once = GENERATE(1, 8, 20);
  QuotaFleet fleet(128, 5);
  fleet.only_router = 17;
  fleet.requests_at_once = at_once;
  fleet.Load(0.5 * kRate, 1000.0 * at_once, seconds(30));
  WARN(at_once << " at once at one router: " << fleet.rejected() << " of "
               << fleet.requested() << " rejected");
  CHECK(fleet.rejected() <= fleet.requested() / 100);
}

}  // namespace
}  // namespace papaya
