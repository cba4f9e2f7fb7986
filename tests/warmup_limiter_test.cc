// That all routers together keep the bound on requests to cold upstreams.

#include "include/admission/warmup_limiter.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>
#include <cmath>
#include <memory>
#include <optional>

#include "src/admission/warmup_plan.h"
#include "tests/fakes/warmup_fleet.h"

namespace papaya {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Applies random faults while zones turn cold, and returns the most requests
// that a cold upstream got in a second.
size_t PlayFaults(size_t routers, size_t upstreams, uint64_t seed) {
  WarmupFleet fleet(routers, upstreams, seed);
  Random& random = fleet.random();
  fleet.SetReportDelay(random.Chance(0.5) ? seconds(1) : seconds(4));
  const Duration outage = fleet.Between(seconds(1), seconds(3));
  const size_t zone = random.Below(WarmupFleet::kZones);
  fleet.At(seconds(2), [&] { fleet.LoseZone(zone, outage); });
  if (random.Chance(0.3)) {
    fleet.At(seconds(2),
             [&] { fleet.LoseZone((zone + 1) % WarmupFleet::kZones, outage); });
  }
  if (random.Chance(0.5)) {
    fleet.At(fleet.Below(seconds(6)), [&] {
      fleet.Partition(1 + random.Below(routers / 2),
                      fleet.Between(seconds(2), seconds(8)));
    });
  }
  const bool do_all_restart = random.Chance(0.3);
  if (do_all_restart) {
    // All at once; they read registrations that were written after the return.
    fleet.At(seconds(2) + outage + fleet.Below(seconds(2)), [&] {
      for (size_t i = 0; i < fleet.routers(); ++i) {
        fleet.Restart(i);
      }
    });
  } else {
    for (size_t i = random.Below(5); i > 0; --i) {
      fleet.At(fleet.Below(seconds(8)),
               [&] { fleet.Restart(random.Below(fleet.routers())); });
      fleet.At(fleet.Below(seconds(8)), [&] { fleet.Join(); });
    }
  }
  fleet.Run(seconds(12));
  // Cold upstreams are used all the same, unless no router knows the others.
  CHECK((do_all_restart || fleet.cold_requests() > 0));
  return fleet.worst();
}

}  // namespace

TEST_CASE("WarmupLimiter: no faults exceed the bound of a cold upstream",
          "[admission]") {
  rc::prop("7 routers", [](uint64_t seed) {
    RC_ASSERT(PlayFaults(7, 6, seed) <= WarmupFleet::kAllowed);
  });
  rc::prop("60 routers", [](uint64_t seed) {
    RC_ASSERT(PlayFaults(60, 24, seed) <= WarmupFleet::kAllowed);
  });
}

TEST_CASE("WarmupLimiter: 300 routers keep the bound", "[admission]") {
  for (uint64_t seed = 1; seed <= 4; ++seed) {
    INFO("seed " << seed);
    CHECK(PlayFaults(300, 40, seed) <= WarmupFleet::kAllowed);
  }
}

TEST_CASE("WarmupLimiter: the plan stays below any bound", "[admission]") {
  rc::prop("in any second", [] {
    const WarmupRate rate{.time = seconds(3),
                          .per_second = 0.1 * *rc::gen::inRange(1, 3000)};
    const WarmupBounds bounds{.over = 0.1 * *rc::gen::inRange(0, 30),
                              .slack = 0.1 * *rc::gen::inRange(0, 100)};
    const WarmupPlan plan = PlanWarmup(rate, bounds);
    const double allowed = rate.per_second * bounds.over + bounds.slack;
    // Each warmer's first request, and those that follow within a second.
    const double sent =
        plan.warmers == 0
            ? 0.0
            : plan.warmers * (1.0 + std::floor(plan.per_second / plan.warmers));
    RC_ASSERT(sent <= allowed);
    RC_ASSERT((plan.warmers > 0) == (allowed >= 1.0));
  });
}

TEST_CASE("WarmupLimiter: an upstream that is known to be warm is not limited",
          "[admission]") {
  const auto config = std::make_shared<FleetConfig>();
  UpstreamSpec spec;
  spec.id = UpstreamId("u");
  spec.pool = PoolId("chat");
  config->upstreams = {spec};
  RoutingInput input;
  input.config = config;
  input.self = {RouterId("r"), AvailabilityZoneId("z")};
  input.routers = {input.self};
  TimePoint now(std::chrono::hours(1));
  WarmupLimiter limiter({.self = input.self}, [](const Event&) {});
  limiter.SetLimits(WarmupBounds{.over = 1.5, .slack = 5.0},
                    {{PoolId("chat"), {.time = seconds(3), .per_second = 10}}},
                    now);
  limiter.SetRouters(input.routers, now);
  limiter.SetUpstreams(*RoutingSnapshot::Build(input), now);
  const std::shared_ptr<ColdGate> gate = limiter.GateOf(spec.id);
  REQUIRE(gate != nullptr);
  CHECK_FALSE(gate->IsCold(now));
  // Slow at one request, while others are answered.
  limiter.OnAnswer(spec.id, now);
  limiter.OnSilent(spec.id, now + milliseconds(900));
  CHECK_FALSE(gate->IsCold(now + milliseconds(900)));
  now += seconds(2);
  limiter.OnSilent(spec.id, now);
  now += seconds(30);
  CHECK(gate->IsCold(now));
  SECTION("once its warm-up time has passed since an answer") {
    limiter.OnAnswer(spec.id, now);
    CHECK(gate->IsCold(now + milliseconds(2990)));
    CHECK_FALSE(gate->IsCold(now + seconds(3)));
  }
  SECTION("once its registration has counted down") {
    const auto report = [&](Duration left) {
      limiter.OnReport(spec.id, left, WarmupLimiter::Source::kRegistration,
                       now);
    };
    // May be from before the outage.
    report({});
    CHECK(gate->IsCold(now));
    report(milliseconds(900));
    CHECK(gate->IsCold(now + milliseconds(890)));
    report({});
    CHECK_FALSE(gate->IsCold(now));
  }
  SECTION("unless its zone was evacuated meanwhile") {
    limiter.OnAnswer(spec.id, now);
    now += seconds(3);
    limiter.OnTick(now);
    CHECK(limiter.cold_upstreams() == 0);
    limiter.PresumeCold(spec.id, now);
    CHECK(gate->IsCold(now + seconds(3)));
  }
  SECTION("once the operators lift the bound") {
    limiter.SetLimits(std::nullopt, {}, now);
    CHECK_FALSE(gate->IsCold(now));
    CHECK(limiter.GateOf(spec.id) == nullptr);
  }
}

}  // namespace papaya
