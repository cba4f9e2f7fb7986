#include "include/admission/scheduler.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

namespace papaya {
namespace {

const PoolId kPool("assistant");

// A Scheduler whose hooks record their calls.
class Fixture {
 public:
  explicit Fixture(int upstreams,
                   int slots = 1,
                   size_t max_queued = 100,
                   SchedulerOptions options = {}) {
    options.router = RouterId("r0");
    options.max_queued = max_queued;
    SchedulerHooks hooks;
    hooks.dispatch = [this](RequestId id, const UpstreamId& upstream) {
      dispatched.emplace_back(id, upstream);
    };
    hooks.reject = [this](RequestId id, const Rejection& rejection) {
      rejected.emplace_back(id, rejection);
    };
    hooks.preempt = [this](RequestId id) { preempted.push_back(id); };
    hooks.send_demand = [this](const DemandReport& report, const DemandParts&) {
      reports.push_back(report);
    };
    hooks.event = [](const Event&) {};
    scheduler = std::make_unique<Scheduler>(options, hooks);
    input.self = {RouterId("r0"), AvailabilityZoneId("z0")};
    upstream_count = upstreams;
    upstream_slots = slots;
    UseVersion("v1");
  }

  // Publishes a snapshot whose upstreams are all new and of this version.
  void UseVersion(const std::string& version) {
    auto config = std::make_shared<FleetConfig>();
    for (int i = 0; i < upstream_count; ++i) {
      UpstreamSpec spec;
      spec.id = UpstreamId("u" + std::to_string(i) +
                           (version == "v1" ? "" : version));
      spec.pool = kPool;
      spec.version = VersionId(version);
      spec.slots = upstream_slots;
      config->upstreams.push_back(spec);
    }
    input.config = config;
    scheduler->OnSnapshot(RoutingSnapshot::Build(input), now);
  }

  // Publishes a snapshot in which these routers share the upstreams.
  void UseRouters(const std::vector<RouterId>& routers) {
    for (const RouterId& router : routers) {
      input.routers.push_back({.id = router});
    }
    UseVersion("v1");
  }

  RequestSpec MakeRequest(uint64_t id, Tier tier = Tier::kInteractive) {
    RequestSpec spec;
    spec.id = RequestId(id);
    spec.account = AccountId("a");
    spec.route = RouteId("chat");
    spec.pool = kPool;
    spec.tier = tier;
    spec.prompt_tokens = Tokens(100);
    spec.share_hash = id;
    spec.arrival = now;
    spec.deadline = now + std::chrono::seconds(10);
    return spec;
  }

  void Request(uint64_t id, Tier tier = Tier::kInteractive) {
    scheduler->OnRequest(MakeRequest(id, tier), now);
  }

  void Finish(uint64_t id, AttemptEnd end) {
    scheduler->OnFinished(RequestId(id), {end, Tokens(10)}, now);
  }

  void Advance(Duration duration) {
    const TimePoint end = now + duration;
    while (now < end) {
      now += std::chrono::milliseconds(50);
      scheduler->OnTick(now);
    }
  }

  int upstream_count = 0;
  int upstream_slots = 0;
  RoutingInput input;
  TimePoint now = TimePoint(std::chrono::hours(1));
  std::unique_ptr<Scheduler> scheduler;
  std::vector<std::pair<RequestId, UpstreamId>> dispatched;
  std::vector<std::pair<RequestId, Rejection>> rejected;
  std::vector<RequestId> preempted;
  std::vector<DemandReport> reports;
};

}  // namespace

TEST_CASE("requests wait for a free slot and take it by tier", "[admission]") {
  Fixture f(1);
  f.Request(1, Tier::kBatch);
  f.Request(2, Tier::kStandard);
  f.Request(3, Tier::kCritical);
  REQUIRE(f.dispatched.size() == 1);
  CHECK(f.scheduler->counts().queued == 2);
  f.Finish(1, AttemptEnd::kOk);
  REQUIRE(f.dispatched.size() == 2);
  CHECK(f.dispatched[1].first == RequestId(3));
  f.Finish(3, AttemptEnd::kOk);
  REQUIRE(f.dispatched.size() == 3);
  CHECK(f.dispatched[2].first == RequestId(2));
  f.Finish(2, AttemptEnd::kOk);
  CHECK(f.scheduler->counts().queued == 0);
  CHECK(f.scheduler->counts().running == 0);
  CHECK(f.rejected.empty());
}

TEST_CASE("expired work is rejected and not dispatched", "[admission]") {
  Fixture f(1);
  f.Request(1);
  f.Request(2);
  f.Advance(std::chrono::seconds(11));
  REQUIRE(f.rejected.size() == 1);
  CHECK(f.rejected[0].first == RequestId(2));
  CHECK(f.rejected[0].second.reason == RejectionReason::kDeadline);
  CHECK(f.rejected[0].second.outcome == Outcome::kNotRun);
  f.Finish(1, AttemptEnd::kOk);
  CHECK(f.dispatched.size() == 1);
}

TEST_CASE("a full queue sheds the lowest tier first", "[admission]") {
  Fixture f(1, 1, 2);
  f.Request(1, Tier::kCritical);
  f.Request(2, Tier::kBatch);
  f.Request(3, Tier::kStandard);
  f.Request(4, Tier::kCritical);
  REQUIRE(f.rejected.size() == 1);
  CHECK(f.rejected[0].first == RequestId(2));
  CHECK(f.rejected[0].second.reason == RejectionReason::kShed);
  f.Request(5, Tier::kBatch);
  REQUIRE(f.rejected.size() == 2);
  CHECK(f.rejected[1].first == RequestId(5));
  CHECK(f.rejected[1].second.reason == RejectionReason::kQueueFull);
}

TEST_CASE("non-idempotent work is not retried once it was sent",
          "[admission]") {
  Fixture f(2);
  RequestSpec spec = f.MakeRequest(1);
  spec.idempotent = false;
  f.scheduler->OnRequest(spec, f.now);
  f.Finish(1, AttemptEnd::kUnknown);
  REQUIRE(f.rejected.size() == 1);
  CHECK(f.rejected[0].second.outcome == Outcome::kUnknown);
  CHECK(f.dispatched.size() == 1);
}

TEST_CASE("work refused by a leaving upstream goes to another upstream",
          "[admission]") {
  Fixture f(2);
  RequestSpec spec = f.MakeRequest(1);
  spec.idempotent = false;
  f.scheduler->OnRequest(spec, f.now);
  f.Finish(1, AttemptEnd::kLeaving);
  REQUIRE(f.dispatched.size() == 2);
  CHECK(f.dispatched[0].second != f.dispatched[1].second);
  f.Finish(1, AttemptEnd::kOk);
  // The leaving upstream gets no further requests.
  f.Request(2);
  REQUIRE(f.dispatched.size() == 3);
  CHECK(f.dispatched[2].second == f.dispatched[1].second);
}

TEST_CASE("a leaving upstream that was removed is forgotten in the end",
          "[admission]") {
  Fixture f(1);
  const UpstreamId leaving("u0");
  f.scheduler->OnLoadReport(leaving, {.leaving = true}, f.now);
  // All its upstreams are new.
  f.UseVersion("v2");
  const auto is_reported = [&f, &leaving] {
    const std::vector<UpstreamUse>& uses = f.reports.back().upstreams;
    return std::any_of(uses.begin(), uses.end(),
                       [&leaving](const UpstreamUse& use) {
                         return use.upstream == leaving && use.leaving;
                       });
  };
  f.Advance(std::chrono::seconds(20));
  CHECK(is_reported());
  f.Advance(std::chrono::seconds(20));
  CHECK_FALSE(is_reported());
}

TEST_CASE("an upstream that asked for a delay gets no request in it",
          "[admission]") {
  Fixture f(1);
  f.scheduler->OnRetryAfter(UpstreamId("u0"), std::chrono::seconds(3), f.now);
  // A removal and a new registration of the upstream change nothing.
  f.UseVersion("v2");
  f.UseVersion("v1");
  RequestSpec spec = f.MakeRequest(1);
  f.scheduler->OnRequest(spec, f.now);
  spec = f.MakeRequest(2);
  spec.deadline = f.now + std::chrono::seconds(2);
  f.scheduler->OnRequest(spec, f.now);
  // The deadline of the second request passes before the delay has.
  REQUIRE(f.rejected.size() == 1);
  CHECK(f.rejected[0].first == RequestId(2));
  CHECK(f.rejected[0].second.reason == RejectionReason::kUpstreamsClosed);
  CHECK(f.rejected[0].second.retry_after == std::chrono::seconds(3));
  CHECK(f.rejected[0].second.is_delay_known);
  f.Advance(std::chrono::milliseconds(2900));
  CHECK(f.dispatched.empty());
  f.Advance(std::chrono::milliseconds(200));
  CHECK(f.dispatched.size() == 1);
}

TEST_CASE("a critical request that waits takes the slot of a lower tier",
          "[admission]") {
  Fixture f(1);
  f.Request(1, Tier::kBatch);
  f.Request(2, Tier::kCritical);
  f.Advance(std::chrono::seconds(5));
  REQUIRE(f.preempted.size() == 1);
  CHECK(f.preempted[0] == RequestId(1));
  f.Finish(1, AttemptEnd::kPreempted);
  REQUIRE(f.dispatched.size() == 2);
  CHECK(f.dispatched[1].first == RequestId(2));
  f.Finish(2, AttemptEnd::kOk);
  REQUIRE(f.dispatched.size() == 3);
  CHECK(f.dispatched[2].first == RequestId(1));
}

// A hash of the router's name decides which router takes a free slot, so
// several names are tested.
TEST_CASE("a free slot goes to the router whose critical request waits longest",
          "[admission]") {
  for (int i = 1; i <= 8; ++i) {
    Fixture f(1);
    const RouterId peer("r" + std::to_string(i));
    f.UseRouters({RouterId("r0"), peer});
    DemandReport report;
    report.router = peer;
    report.groups = {{.group = {kPool, VersionId("v1")}}};
    report.groups[0].tiers[TierIndex(Tier::kCritical)] = {.running = 0,
                                                          .waiting = 3};
    f.scheduler->OnDemandReport(report, f.now);
    f.Advance(std::chrono::milliseconds(250));
    f.Request(1, Tier::kCritical);
    const TimePoint requested_at = f.now;
    while (f.now < requested_at + std::chrono::seconds(6)) {
      ++report.sequence;
      f.scheduler->OnDemandReport(report, f.now);
      f.Advance(std::chrono::milliseconds(250));
    }
    INFO(peer.value());
    CHECK(f.dispatched.size() == 1);
  }
}

// Guards against slots that stay free in a burst. 128 routers shared engines of
// 6 slots; each engine had 8 users, whose reports were older than their
// requests, and 110 of 540 slots were free while 243 requests waited.
TEST_CASE("Scheduler: uses free slots that stale reports would reserve",
          "[admission]") {
  constexpr int kSlots = 6;
  SchedulerOptions options;
  options.divides_scarce_slots = false;
  Fixture f(1, kSlots, 100, options);
  std::vector<RouterId> routers = {RouterId("r0")};
  for (int i = 1; i < 8; ++i) {
    routers.emplace_back("r" + std::to_string(i));
  }
  f.UseRouters(routers);
  // Each of the others reported requests that wait, and none that runs.
  for (size_t i = 1; i < routers.size(); ++i) {
    DemandReport report;
    report.router = routers[i];
    report.incarnation = Incarnation(1);
    report.sequence = 1;
    report.groups = {{.group = {kPool, VersionId("v1")}}};
    report.groups[0].tiers[TierIndex(Tier::kInteractive)] = {.running = 0,
                                                             .waiting = 3};
    f.scheduler->OnDemandReport(report, f.now);
  }
  for (uint64_t id = 1; id <= kSlots + 2; ++id) {
    f.Request(id);
  }
  f.Advance(std::chrono::milliseconds(100));
  CHECK(f.dispatched.size() == kSlots);
}

TEST_CASE("a lower tier takes idle slots while another router lacks slots",
          "[admission]") {
  // The other router lacks slots for requests that have waited too long, while
  // upstreams have free slots here.
  for (const Tier tier : {Tier::kCritical, Tier::kInteractive}) {
    Fixture f(2, 4);
    f.UseRouters({RouterId("r0"), RouterId("r1")});
    DemandReport report;
    report.router = RouterId("r1");
    report.incarnation = Incarnation(1);
    report.sequence = 1;
    GroupDemand demand;
    demand.group = {kPool, VersionId("v1")};
    demand.short_tier = tier;
    demand.tiers[TierIndex(tier)] = {.running = 1, .waiting = 1};
    report.groups = {demand};
    f.scheduler->OnDemandReport(report, f.now);
    f.Request(1, Tier::kStandard);
    f.Advance(std::chrono::milliseconds(300));
    CHECK(f.dispatched.size() == (tier == Tier::kCritical ? 0 : 1));
  }
}

TEST_CASE("a request of an unknown pool is rejected", "[admission]") {
  Fixture f(1);
  RequestSpec spec = f.MakeRequest(1);
  spec.pool = PoolId("elsewhere");
  f.scheduler->OnRequest(spec, f.now);
  REQUIRE(f.rejected.size() == 1);
  CHECK(f.rejected[0].second.reason == RejectionReason::kNoUpstream);
}

TEST_CASE("a withdrawn version does not affect preemption", "[admission]") {
  Fixture f(1, 2);
  f.Request(1, Tier::kCritical);
  f.Finish(1, AttemptEnd::kOk);
  f.UseVersion("v2");
  // It never gets a first token, so it counts as queued at its upstream.
  f.Request(2, Tier::kCritical);
  f.Request(3, Tier::kBatch);
  REQUIRE(f.dispatched.size() == 3);
  f.Advance(std::chrono::seconds(5));
  REQUIRE(f.preempted.size() == 1);
  CHECK(f.preempted[0] == RequestId(3));
}

TEST_CASE("a request stuck at a withdrawn version ends once", "[admission]") {
  Fixture f(1, 2);
  f.Request(1, Tier::kCritical);
  f.Request(2, Tier::kBatch);
  REQUIRE(f.dispatched.size() == 2);
  f.UseVersion("v2");
  f.Advance(std::chrono::seconds(5));
  // Slots of upstreams that accept no new work would be of no use.
  CHECK(f.preempted.empty());
  f.Finish(1, AttemptEnd::kOk);
  f.Finish(2, AttemptEnd::kOk);
  // The withdrawn version has no work left and is removed.
  f.UseVersion("v3");
  f.Advance(std::chrono::seconds(1));
  CHECK(f.rejected.empty());
  CHECK(f.scheduler->counts().running == 0);
}

// The load is twice what one slot can serve, so half of the requests can meet
// their latency objective. In order of arrival nearly all would be late.
TEST_CASE("Scheduler: in an overload some requests are in time, not all late",
          "[admission]") {
  constexpr Duration kWork = std::chrono::milliseconds(100);
  constexpr Duration kBetween = std::chrono::milliseconds(50);
  constexpr Duration kObjective = std::chrono::milliseconds(400);
  constexpr size_t kRequests = 200;
  Fixture f(1);
  std::vector<TimePoint> arrivals(kRequests + 1);
  size_t finished = 0;
  size_t begun = 0;
  int in_time = 0;
  TimePoint free_at = f.now;
  for (size_t step = 1; step <= 2 * kRequests; ++step) {
    f.now += kBetween;
    if (finished < begun && f.now >= free_at) {
      const RequestId id = f.dispatched[finished++].first;
      f.scheduler->OnFinished(id, {.end = AttemptEnd::kOk}, f.now);
    }
    if (step <= kRequests) {
      RequestSpec spec = f.MakeRequest(step);
      spec.late_after = f.now + kObjective;
      arrivals[step] = f.now;
      f.scheduler->OnRequest(spec, f.now);
    }
    f.scheduler->OnTick(f.now);
    for (; begun < f.dispatched.size(); ++begun) {
      const TimePoint arrival = arrivals[f.dispatched[begun].first.value()];
      in_time += f.now - arrival <= kObjective ? 1 : 0;
      free_at = f.now + kWork;
    }
  }
  CHECK(in_time >= static_cast<int>(kRequests) * 9 / 20);
}

TEST_CASE("Scheduler: attempts without a connection use no retry budget",
          "[admission]") {
  Fixture f(4);
  for (uint64_t id = 1; id <= 60; ++id) {
    f.Request(id);
    f.scheduler->OnFinished(RequestId(id), {.end = AttemptEnd::kUnreachable},
                            f.now);
    f.scheduler->OnFinished(RequestId(id), {.end = AttemptEnd::kOk}, f.now);
    f.now += std::chrono::seconds(20);
    f.scheduler->OnTick(f.now);
  }
  CHECK(f.rejected.empty());
  CHECK(f.dispatched.size() == 120);
}

TEST_CASE(
    "Scheduler: a request runs at no more upstreams than its route allows",
    "[admission]") {
  Fixture f(5);
  RequestSpec spec = f.MakeRequest(1);
  spec.max_runs = 2;
  f.scheduler->OnRequest(spec, f.now);
  for (int i = 0; i < 4; ++i) {
    f.scheduler->OnFinished(RequestId(1), {.end = AttemptEnd::kUnknown}, f.now);
  }
  CHECK(f.dispatched.size() == 2);
  REQUIRE(f.rejected.size() == 1);
  CHECK(f.rejected.front().second.outcome == Outcome::kUnknown);
}

}  // namespace papaya
