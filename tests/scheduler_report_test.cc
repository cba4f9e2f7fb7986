// Tests when a Scheduler reports its demand to the other routers.

#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "include/admission/demand_packing.h"
#include "include/admission/demand_share.h"
#include "include/admission/scheduler.h"

namespace papaya {
namespace {

const PoolId kPool("assistant");
constexpr Duration kTick = std::chrono::milliseconds(20);
// Time from arrival to deadline. A router reports a shortage when half of it
// has passed.
constexpr Duration kLimit = std::chrono::seconds(10);

// A Scheduler of one router that shares one upstream with other routers.
class Fixture {
 public:
  explicit Fixture(Bytes budget = SchedulerOptions().report_budget,
                   const std::vector<RouterId>& peers = {RouterId("r1")}) {
    SchedulerOptions options;
    options.router = RouterId("r0");
    options.report_budget = budget;
    SchedulerHooks hooks;
    hooks.dispatch = [](RequestId, const UpstreamId&) {};
    hooks.reject = [](RequestId, const Rejection&) {};
    hooks.preempt = [](RequestId) {};
    hooks.send_demand = [this](const DemandReport& report,
                               const DemandParts& parts) {
      reports.push_back(report);
      sent_parts.push_back(parts);
      times.push_back(now);
      sent += DemandWireSize(parts);
    };
    hooks.event = [](const Event&) {};
    scheduler = std::make_unique<Scheduler>(options, hooks);
    auto config = std::make_shared<FleetConfig>();
    config->upstreams.push_back({.id = UpstreamId("u0"),
                                 .pool = kPool,
                                 .version = VersionId("v1"),
                                 .slots = 2});
    RoutingInput input;
    input.config = config;
    input.self = {.id = RouterId("r0")};
    input.routers = {input.self};
    for (const RouterId& router : peers) {
      input.routers.push_back({.id = router});
    }
    snapshot = RoutingSnapshot::Build(input);
    scheduler->OnSnapshot(snapshot, now);
  }

  void Request(Tier tier) {
    RequestSpec spec;
    spec.id = RequestId(++last_id_);
    spec.account = AccountId("a");
    spec.pool = kPool;
    spec.tier = tier;
    spec.prompt_tokens = Tokens(100);
    spec.arrival = now;
    spec.deadline = now + kLimit;
    scheduler->OnRequest(spec, now);
  }

  void Finish(uint64_t id) {
    scheduler->OnFinished(RequestId(id), {AttemptEnd::kOk, Tokens(10)}, now);
  }

  void Advance(Duration duration) {
    const TimePoint end = now + duration;
    while (now < end) {
      now += kTick;
      scheduler->OnTick(now);
    }
  }

  TimePoint now = TimePoint(std::chrono::hours(1));
  std::shared_ptr<const RoutingSnapshot> snapshot;
  std::unique_ptr<Scheduler> scheduler;
  std::vector<DemandReport> reports;
  // The parts of each report, by receiver.
  std::vector<DemandParts> sent_parts;
  std::vector<TimePoint> times;
  Bytes sent;

 private:
  uint64_t last_id_ = 0;
};

}  // namespace

TEST_CASE("demand: a router without changes reports once a second",
          "[admission]") {
  Fixture f;
  f.Advance(std::chrono::seconds(10));
  CHECK(f.reports.size() >= 10);
  CHECK(f.reports.size() <= 11);
}

TEST_CASE("demand: a change after a quiet time is reported at once",
          "[admission]") {
  Fixture f;
  f.Advance(std::chrono::milliseconds(500));
  const size_t before = f.reports.size();
  f.Request(Tier::kBatch);
  f.Advance(kTick);
  REQUIRE(f.reports.size() == before + 1);
  CHECK(f.reports.back().groups.size() == 1);
  // The end of the request is a change too, although the report is empty.
  f.Advance(std::chrono::milliseconds(300));
  f.Finish(1);
  f.Advance(kTick);
  REQUIRE(f.reports.size() == before + 2);
  CHECK(f.reports.back().groups.empty());
}

TEST_CASE("demand: a shortage is reported before the next report is due",
          "[admission]") {
  // A report takes about 140 bytes, so the budget allows one each second.
  Fixture f(Bytes(140));
  // One of two slots is kept for the router without reports, so the second
  // request has to wait.
  f.Request(Tier::kCritical);
  f.Request(Tier::kCritical);
  const TimePoint requested_at = f.now;
  while (f.reports.empty() || f.reports.back().groups.empty() ||
         !f.reports.back().groups[0].short_tier.has_value()) {
    f.Advance(kTick);
    REQUIRE(f.now < requested_at + kLimit);
  }
  CHECK(f.reports.back().groups[0].short_tier == Tier::kCritical);
  CHECK(f.now - requested_at <= kLimit / 2 + kTick * 4);
}

TEST_CASE(
    "demand: a shortage is reported four times a second in spite of the budget",
    "[admission]") {
  Fixture f(Bytes(140));
  f.Request(Tier::kCritical);
  f.Request(Tier::kCritical);
  f.Advance(kLimit * 6 / 10);
  REQUIRE(f.reports.back().groups[0].short_tier == Tier::kCritical);
  const size_t before = f.reports.size();
  f.Advance(std::chrono::seconds(2));
  CHECK(f.reports.size() >= before + 7);
  // The end of the shortage is reported just as soon.
  f.Finish(1);
  f.Advance(std::chrono::milliseconds(300));
  REQUIRE(f.reports.back().groups.size() == 1);
  CHECK(!f.reports.back().groups[0].short_tier.has_value());
}

TEST_CASE("demand: a router that sends reports gets a shortage when it changes",
          "[admission]") {
  Fixture f(Bytes(140));
  uint64_t sequence = 0;
  const auto advance = [&f, &sequence](Duration time) {
    const TimePoint end = f.now + time;
    while (f.now < end) {
      // The other router runs a request of a lower tier in the second slot.
      DemandReport other{.router = RouterId("r1"), .sequence = ++sequence};
      other.groups = {{.group = {kPool, VersionId("v1")}}};
      other.groups[0].tiers[kTierCount - 1].running = 1;
      other.upstreams = {{.upstream = UpstreamId("u0"), .running = 1}};
      f.scheduler->OnDemandReport(other, f.now);
      f.Advance(std::chrono::milliseconds(500));
    }
  };
  advance(kTick);
  for (int i = 0; i < 4; ++i) {
    f.Request(Tier::kCritical);
  }
  advance(kLimit * 6 / 10);
  REQUIRE(f.reports.back().groups[0].short_tier == Tier::kCritical);
  const size_t before = f.reports.size();
  advance(std::chrono::seconds(2));
  // No more than one a second, as without a shortage.
  CHECK(f.reports.size() >= before + 1);
  CHECK(f.reports.size() <= before + 3);
  // Fewer requests wait now, which is reported at once.
  const size_t still = f.reports.size();
  f.Finish(1);
  f.Advance(std::chrono::milliseconds(300));
  REQUIRE(f.reports.size() > still);
  CHECK(f.reports.back().groups[0].tiers[0].waiting < 3);
}

TEST_CASE(
    "demand: during a shortage only routers that need a change get reports",
    "[admission]") {
  const RouterId reporting("r1");
  const RouterId unresponsive("r2");
  Fixture f(Bytes(140), {reporting, unresponsive});
  DemandReport other{.router = reporting};
  other.groups = {{.group = {kPool, VersionId("v1")}}};
  other.groups[0].tiers[kTierCount - 1].running = 1;
  other.upstreams = {{.upstream = UpstreamId("u0"), .running = 1}};
  const TimePoint end = f.now + kLimit * 9 / 10;
  while (f.now < end) {
    ++other.sequence;
    f.scheduler->OnDemandReport(other, f.now);
    for (uint64_t id = 1; other.sequence == 1 && id <= 4; ++id) {
      f.Request(Tier::kCritical);
      // With a first token, running requests do not count as queued at their
      // upstream.
      f.scheduler->OnFirstToken(RequestId(id), f.now);
    }
    f.Advance(std::chrono::milliseconds(500));
  }
  REQUIRE(f.reports.back().groups[0].short_tier == Tier::kCritical);
  size_t to_unresponsive_only = 0;
  for (size_t i = 0; i < f.reports.size(); ++i) {
    const DemandParts all = SplitDemandReport(f.reports[i], *f.snapshot);
    REQUIRE(all.size() == 2);
    for (const auto& [router, part] : f.sent_parts[i]) {
      CHECK(part == all.at(router));
    }
    const bool is_partial = f.sent_parts[i].size() == 1;
    to_unresponsive_only +=
        is_partial && f.sent_parts[i].contains(unresponsive) ? 1 : 0;
  }
  CHECK(to_unresponsive_only >= 8);
}

TEST_CASE("demand: reports stay within their budget", "[admission]") {
  constexpr Bytes kBudget(300);
  constexpr int64_t kSeconds = 60;
  Fixture f(kBudget);
  uint64_t id = 0;
  // The demand changes at each tick.
  const TimePoint end = f.now + std::chrono::seconds(kSeconds);
  while (f.now < end) {
    f.Request(Tier::kCritical);
    f.Advance(kTick);
    f.Finish(++id);
    f.Advance(kTick);
  }
  CHECK(f.sent.value() <= kBudget.value() * (kSeconds + 2));
  CHECK(f.sent.value() >= kBudget.value() * kSeconds / 2);
  for (size_t i = 1; i < f.times.size(); ++i) {
    CHECK(f.times[i] - f.times[i - 1] < std::chrono::seconds(2));
  }
}

}  // namespace papaya
