#include "src/admission/demand_pacer.h"

#include <algorithm>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "include/base/random.h"

namespace papaya {
namespace {

constexpr Duration kInterval = std::chrono::milliseconds(250);
constexpr Duration kTick = std::chrono::milliseconds(20);
constexpr Bytes kBudget(6000);
const TimePoint kStart(std::chrono::hours(1));

}  // namespace

TEST_CASE("DemandPacer: small reports go out at the minimum interval",
          "[admission]") {
  DemandPacer pacer(kInterval, kBudget);
  REQUIRE(pacer.MayReport(kStart));
  pacer.OnReport(Bytes(1000), kStart);
  CHECK(pacer.interval() == kInterval);
  CHECK(!pacer.MayReport(kStart + kInterval - kTick));
  CHECK(pacer.MayReport(kStart + kInterval));
}

TEST_CASE("DemandPacer: after a large report the next waits for the budget",
          "[admission]") {
  DemandPacer pacer(kInterval, kBudget);
  pacer.OnReport(Bytes(9000), kStart);
  const Duration paid = std::chrono::milliseconds(1500);
  CHECK(pacer.interval() == paid);
  CHECK(!pacer.MayReport(kStart + paid - kTick));
  CHECK(pacer.MayReport(kStart + paid));
}

TEST_CASE(
    "DemandPacer: an urgent report goes out at once and delays later ones",
    "[admission]") {
  DemandPacer pacer(kInterval, kBudget);
  pacer.OnReport(Bytes(6000), kStart);
  const TimePoint next = kStart + std::chrono::milliseconds(60);
  REQUIRE(pacer.MayReportUrgently(next));
  pacer.OnReport(Bytes(6000), next);
  CHECK(!pacer.MayReportUrgently(next + std::chrono::milliseconds(60)));
  CHECK(!pacer.MayReport(kStart + std::chrono::milliseconds(1900)));
  CHECK(pacer.MayReport(kStart + std::chrono::seconds(2)));
}

TEST_CASE("DemandPacer: reports about a shortage ignore the budget",
          "[admission]") {
  DemandPacer pacer(kInterval, kBudget);
  TimePoint now = kStart;
  for (int i = 0; i < 100; ++i) {
    pacer.OnReport(Bytes(6000), now);
    CHECK(!pacer.MayReportShortage(now + kInterval - kTick));
    now += kInterval;
    REQUIRE(pacer.MayReportShortage(now));
  }
  // The bytes spent during the shortage do not delay later reports.
  CHECK(pacer.MayReport(now + std::chrono::seconds(2)));
}

TEST_CASE("DemandPacer: urgent reports do not exceed the budget",
          "[admission]") {
  rc::prop("any sizes", [](uint64_t seed) {
    Random random(seed);
    DemandPacer pacer(kInterval, kBudget);
    const double urgent = random.Uniform();
    const uint64_t largest = 1 + random.Below(12000);
    int64_t sent = 0;
    TimePoint last = kStart;
    const TimePoint end = kStart + std::chrono::seconds(120);
    for (TimePoint now = kStart; now < end; now += kTick) {
      if (pacer.MayReport(now) ||
          (random.Chance(urgent) && pacer.MayReportUrgently(now))) {
        const int64_t cost = static_cast<int64_t>(1 + random.Below(largest));
        pacer.OnReport(Bytes(cost), now);
        sent += cost;
        last = now;
      }
      RC_ASSERT(now - last <= std::chrono::seconds(2));
    }
    const double allowed =
        static_cast<double>(kBudget.value()) * (ToSeconds(end - kStart) + 1.0);
    RC_ASSERT(static_cast<double>(sent) <= allowed + 12000.0);
  });
}

}  // namespace papaya
