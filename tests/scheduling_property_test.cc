// Properties of several Schedulers that share upstreams, under random faults.

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "bench/fake_fleet.h"
#include "bench/scheduler_policy.h"
#include "include/base/random.h"

namespace papaya {
namespace {

using bench::FakeEngineSpeed;
using bench::FakeFleet;
using bench::FleetOptions;

constexpr size_t kRouters = 4;
constexpr size_t kEngines = 5;
constexpr size_t kServices = 2;
constexpr size_t kMaxQueued = 60;
constexpr Duration kTrafficTime = std::chrono::seconds(20);
constexpr Duration kDrainTime = std::chrono::minutes(4);
const PoolId kPool("assistant");
const PoolId kService("booking");

void AddUpstreams(FleetOptions* options,
                  const PoolId& pool,
                  UpstreamKind kind,
                  size_t count) {
  for (size_t i = 0; i < count; ++i) {
    UpstreamSpec spec;
    spec.id = UpstreamId(pool.value() + std::to_string(i));
    spec.kind = kind;
    spec.pool = pool;
    spec.version = VersionId("v1");
    spec.generation = GenerationId("g" + std::to_string(i % 2));
    spec.slots = 4;
    options->upstreams.push_back(spec);
    FakeEngineSpeed speed;
    speed.slots = spec.slots;
    if (kind == UpstreamKind::kPlainService) {
      speed = {spec.slots, 0.0, 0.001, 0.0, 0};
    }
    options->speeds.push_back(speed);
  }
}

FleetOptions MakeOptions(
    uint64_t seed,
    size_t max_queued,
    Bytes report_budget = SchedulerOptions().report_budget) {
  FleetOptions options;
  AddUpstreams(&options, kPool, UpstreamKind::kModelEngine, kEngines);
  AddUpstreams(&options, kService, UpstreamKind::kPlainService, kServices);
  options.routers = kRouters;
  options.seed = seed;
  options.make_policy = [max_queued, report_budget](size_t router,
                                                    SchedulerHooks hooks) {
    return std::make_unique<bench::SchedulerPolicy>(
        router, std::move(hooks), max_queued, SchedulerParts(), report_budget);
  };
  return options;
}

// Schedules `count` requests within kTrafficTime, more to the first routers
// than to the last ones. A part `critical` of them is critical.
void ScheduleTraffic(FakeFleet* fleet,
                     Random* random,
                     int count,
                     double critical) {
  for (int i = 0; i < count; ++i) {
    const Duration when =
        SecondsToDuration(ToSeconds(kTrafficTime) * random->Uniform());
    RequestSpec spec;
    spec.account = AccountId("a" + std::to_string(random->Below(3)));
    spec.route = RouteId("chat");
    spec.pool = random->Chance(0.8) ? kPool : kService;
    spec.tier = random->Chance(critical)
                    ? Tier::kCritical
                    : kAllTiers[1 + random->Below(kTierCount - 1)];
    spec.idempotent = spec.pool == kPool;
    spec.prompt_tokens = Tokens(spec.pool == kPool ? 500 : 0);
    spec.share_hash = random->Next64();
    const Tokens output(static_cast<int64_t>(20 + random->Below(200)));
    size_t router = random->Below(kRouters);
    router = std::min<size_t>(router, random->Below(kRouters));
    fleet->loop().After(when, [fleet, router, spec, output] {
      // The load balancer skips dead routers.
      for (size_t i = 0; i < kRouters; ++i) {
        const size_t next = (router + i) % kRouters;
        if (fleet->IsAlive(next)) {
          fleet->Offer(next, spec, output, std::chrono::seconds(4));
          return;
        }
      }
    });
  }
}

// Schedules one fault at a random time.
void AddFault(FakeFleet* fleet, Random* random) {
  const Duration when =
      SecondsToDuration(ToSeconds(kTrafficTime) * random->Uniform());
  const size_t engine = random->Below(kEngines + kServices);
  const size_t router = 1 + random->Below(kRouters - 1);
  const Duration time = SecondsToDuration(5.0 * random->Uniform());
  const uint64_t kind = random->Below(6);
  fleet->loop().After(when, [=] {
    switch (kind) {
      case 0:
        fleet->KillRouter(router, time);
        break;
      case 1:
        fleet->PauseRouter(router, time);
        break;
      case 2:
        fleet->engine(engine).Crash();
        fleet->loop().After(time, [=] { fleet->engine(engine).Restart(); });
        break;
      case 3:
        fleet->engine(engine).SetSlowness(6.0);
        break;
      case 4:
        fleet->Partition(2);
        fleet->loop().After(time, [=] { fleet->Heal(); });
        break;
      default:
        fleet->Leave(engine, std::nullopt);
        break;
    }
  });
}

bool HasOpenRequest(const FakeFleet& fleet) {
  return std::any_of(fleet.records().begin(), fleet.records().end(),
                     [](const auto& item) { return item.second.ends == 0; });
}

// Runs until the traffic is over and every request has ended.
void Run(FakeFleet* fleet, size_t max_queued) {
  const TimePoint start = fleet->loop().now();
  while (fleet->loop().now() < start + kTrafficTime ||
         (HasOpenRequest(*fleet) &&
          fleet->loop().now() < start + kTrafficTime + kDrainTime)) {
    fleet->loop().RunUntil(fleet->loop().now() +
                           std::chrono::milliseconds(100));
    for (size_t i = 0; i < kRouters; ++i) {
      RC_ASSERT(fleet->CountsOf(i).queued <= max_queued);
    }
  }
}

// All routers receive each other's reports, except for up to a fifth that may
// be lost.
void CheckCriticalFirst(uint64_t seed, Bytes report_budget) {
  Random random(seed);
  FleetOptions options = MakeOptions(seed, 4096, report_budget);
  options.links.report_loss = 0.2 * random.Uniform();
  options.links.report_delay = SecondsToDuration(0.2 * random.Uniform());
  FakeFleet fleet(std::move(options));
  ScheduleTraffic(&fleet, &random, 200 + static_cast<int>(random.Below(500)),
                  0.2 + 0.8 * random.Uniform());
  if (random.Chance(0.5)) {
    fleet.loop().After(std::chrono::seconds(8), [&fleet] {
      fleet.KillRouter(3, std::chrono::seconds(3));
    });
  }
  Run(&fleet, 4096);
  for (const auto& [id, record] : fleet.records()) {
    RC_ASSERT(record.spec.tier != Tier::kCritical ||
              record.spec.pool != kPool || !record.is_shed_before_lower);
  }
}

}  // namespace

TEST_CASE("requests end once and never run twice or wrongly count as not run",
          "[admission]") {
  rc::prop("under any faults", [](uint64_t seed) {
    Random random(seed);
    FleetOptions options = MakeOptions(seed, kMaxQueued);
    options.links.report_loss = 0.5 * random.Uniform();
    options.links.report_delay = SecondsToDuration(random.Uniform());
    options.links.cut = random.Chance(0.5) ? 0.05 : 0.0;
    FakeFleet fleet(std::move(options));
    ScheduleTraffic(&fleet, &random, 50 + static_cast<int>(random.Below(350)),
                    random.Uniform());
    const uint64_t faults = random.Below(4);
    for (uint64_t i = 0; i < faults; ++i) {
      AddFault(&fleet, &random);
    }
    Run(&fleet, kMaxQueued);
    for (const auto& [id, record] : fleet.records()) {
      RC_ASSERT(record.ends == 1);
      const bool is_reported_not_run =
          record.refusal.has_value() &&
          record.refusal->outcome == Outcome::kNotRun;
      RC_ASSERT(!is_reported_not_run || record.begins == 0);
      RC_ASSERT(record.spec.idempotent || record.begins <= 1);
      for (TimePoint when : record.dispatch_times) {
        // The deadline of preempted work is extended.
        RC_ASSERT(record.dispatched.size() > 1 || when <= record.spec.deadline);
      }
    }
    for (size_t i = 0; i < kRouters; ++i) {
      RC_ASSERT(!fleet.IsAlive(i) || fleet.CountsOf(i).running == 0);
    }
  });
}

TEST_CASE("no critical request is shed while a lower tier is served",
          "[admission]") {
  rc::prop("while routers receive each other's reports", [](uint64_t seed) {
    CheckCriticalFirst(seed, SchedulerOptions().report_budget);
  });
  // As in a large fleet, where one report takes the budget of a second or two.
  rc::prop("also if reports are rare", [](uint64_t seed) {
    CheckCriticalFirst(seed, Bytes(300 + static_cast<int64_t>(seed % 1000)));
  });
}

TEST_CASE("a leaving upstream gets no new work after three seconds",
          "[admission]") {
  rc::prop("for any first source of the information", [](uint64_t seed) {
    Random random(seed);
    FleetOptions options = MakeOptions(seed, 4096);
    options.links.report_loss = 0.3 * random.Uniform();
    options.links.report_delay = SecondsToDuration(0.3 * random.Uniform());
    FakeFleet fleet(std::move(options));
    ScheduleTraffic(&fleet, &random, 400, 0.2);
    const size_t engine = random.Below(kEngines + kServices);
    const bool has_notice = random.Chance(0.5);
    const TimePoint left = fleet.loop().now() + std::chrono::seconds(5);
    fleet.loop().After(std::chrono::seconds(5), [&fleet, engine, has_notice] {
      const Duration lag = std::chrono::seconds(2);
      fleet.Leave(engine, has_notice ? std::optional(lag) : std::nullopt);
    });
    Run(&fleet, 4096);
    // The first sign is the leaving notice or the first refusal by the
    // upstream.
    TimePoint sign =
        has_notice ? left + std::chrono::seconds(2) : TimePoint::max();
    for (const auto& [id, record] : fleet.records()) {
      for (size_t i = 0; i < record.dispatched.size(); ++i) {
        if (record.dispatched[i] == engine && record.dispatch_times[i] > left) {
          sign = std::min(sign, record.dispatch_times[i]);
        }
      }
    }
    for (const auto& [id, record] : fleet.records()) {
      for (size_t i = 0; i < record.dispatched.size(); ++i) {
        RC_ASSERT(record.dispatched[i] != engine ||
                  record.dispatch_times[i] <= left ||
                  record.dispatch_times[i] <= sign + std::chrono::seconds(3));
      }
    }
  });
}

}  // namespace papaya
