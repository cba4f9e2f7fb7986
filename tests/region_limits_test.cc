// Which upstreams a Scheduler chooses for requests that are limited to regions,
// and while upstreams are evacuated.

#include "src/admission/region_limits.h"

#include <catch2/catch.hpp>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "include/admission/scheduler.h"
#include "include/base/random.h"

namespace papaya {
namespace {

const PoolId kPool("s");
const RegionId kNorth("north");
const RegionId kSouth("south");

std::shared_ptr<const std::vector<RegionId>> Regions(
    std::vector<RegionId> regions) {
  return std::make_shared<const std::vector<RegionId>>(std::move(regions));
}

// A Scheduler with upstreams of one service in several regions.
class Fixture {
 public:
  struct Upstream {
    std::string id;
    RegionId region;
    std::string version = "v1";
  };

  Fixture(const std::vector<Upstream>& upstreams, int slots) {
    SchedulerHooks hooks;
    hooks.dispatch = [this](RequestId id, const UpstreamId& upstream) {
      dispatched.emplace_back(id.value(), upstream.value());
      running.insert(id.value());
    };
    hooks.reject = [this](RequestId id, const Rejection& rejection) {
      rejected.emplace_back(id.value(), rejection.reason);
      outcomes.push_back(rejection.outcome);
    };
    hooks.preempt = [](RequestId) {};
    hooks.send_demand = [](const DemandReport&, const DemandParts&) {};
    hooks.event = [](const Event&) {};
    SchedulerOptions options;
    options.router = RouterId("r0");
    scheduler = std::make_unique<Scheduler>(options, hooks);
    auto config = std::make_shared<FleetConfig>();
    for (const Upstream& upstream : upstreams) {
      UpstreamSpec spec;
      spec.id = UpstreamId(upstream.id);
      spec.region = upstream.region;
      spec.kind = UpstreamKind::kPlainService;
      spec.pool = kPool;
      spec.version = VersionId(upstream.version);
      spec.slots = slots;
      config->upstreams.push_back(spec);
    }
    input.config = config;
    input.self = {RouterId("r0"), AvailabilityZoneId("z")};
    input.has_region_limits = true;
    Evacuate({});
  }

  // Publishes a snapshot in which these upstreams are evacuated.
  void Evacuate(const std::vector<std::string>& ids) {
    input.leaving.clear();
    for (const std::string& id : ids) {
      input.leaving.emplace_back(id);
    }
    input.returning = input.leaving;
    scheduler->OnSnapshot(RoutingSnapshot::Build(input), now);
  }

  uint64_t Request(std::shared_ptr<const std::vector<RegionId>> regions,
                   Tier tier = Tier::kStandard) {
    RequestSpec spec;
    spec.id = RequestId(++last);
    spec.account = AccountId("a");
    spec.route = RouteId("r");
    spec.pool = kPool;
    spec.tier = tier;
    spec.share_hash = last * 0x9e3779b97f4a7c15;
    spec.arrival = now;
    spec.deadline = now + std::chrono::seconds(60);
    spec.allowed_regions = std::move(regions);
    scheduler->OnRequest(spec, now);
    return last;
  }

  void Finish(uint64_t id, AttemptEnd end = AttemptEnd::kOk) {
    running.erase(id);
    scheduler->OnFinished(RequestId(id), {end, Tokens()}, now);
  }

  // Returns the upstream that the last attempt of the request was sent to;
  // empty if there was none.
  std::string UpstreamOf(uint64_t id) const {
    std::string upstream;
    for (const auto& [request, sent_to] : dispatched) {
      upstream = request == id ? sent_to : upstream;
    }
    return upstream;
  }

  void Advance(Duration time) {
    now += time;
    scheduler->OnTick(now);
  }

  RoutingInput input;
  TimePoint now = TimePoint(std::chrono::hours(1));
  std::unique_ptr<Scheduler> scheduler;
  std::vector<std::pair<uint64_t, std::string>> dispatched;
  std::set<uint64_t> running;
  std::vector<std::pair<uint64_t, RejectionReason>> rejected;
  std::vector<Outcome> outcomes;
  uint64_t last = 0;
};

}  // namespace

// Guards against a request that leaves its regions, at first or when it is
// tried again, also where upstreams elsewhere have more room.
TEST_CASE("Regions: property: no attempt leaves the allowed regions",
          "[admission][regions]") {
  Random random(7);
  std::vector<Fixture::Upstream> upstreams;
  upstreams.reserve(40);
  for (int i = 0; i < 40; ++i) {
    upstreams.push_back({"u" + std::to_string(i),
                         i % 3 == 0   ? kNorth
                         : i % 3 == 1 ? kSouth
                                      : RegionId(),
                         i % 5 == 0 ? "v2" : "v1"});
  }
  Fixture f(upstreams, /*slots=*/1);
  std::vector<std::pair<uint64_t, RegionId>> limited;
  for (int i = 0; i < 2000; ++i) {
    const double draw = random.Uniform();
    if (draw < 0.4) {
      const RegionId region = random.Chance(0.5) ? kNorth : kSouth;
      limited.emplace_back(f.Request(Regions({region})), region);
    } else if (draw < 0.5) {
      f.Request(nullptr);
    } else if (!f.running.empty()) {
      f.Finish(*f.running.begin(),
               random.Chance(0.3) ? AttemptEnd::kUnreachable : AttemptEnd::kOk);
    }
    f.Advance(std::chrono::milliseconds(10));
  }
  std::set<std::string> north;
  std::set<std::string> south;
  for (const Fixture::Upstream& upstream : upstreams) {
    if (!upstream.region.empty()) {
      (upstream.region == kNorth ? north : south).insert(upstream.id);
    }
  }
  size_t checked = 0;
  for (const auto& [id, region] : limited) {
    for (const auto& [request, upstream] : f.dispatched) {
      if (request == id) {
        ++checked;
        CHECK((region == kNorth ? north : south).contains(upstream));
      }
    }
  }
  CHECK(checked > 300);
}

// Guards against a request without an allowed upstream that waits for its
// deadline, and against an empty intersection being taken for no limit.
TEST_CASE("Regions: a request that no upstream may get is rejected at once",
          "[admission][regions]") {
  Fixture f({{"n", kNorth}, {"x", RegionId()}}, 1);
  f.Request(Regions({kSouth}));
  f.Request(Regions({}));
  REQUIRE(f.rejected.size() == 2);
  CHECK(f.rejected[0].second == RejectionReason::kNoAllowedRegion);
  CHECK(f.rejected[1].second == RejectionReason::kNoAllowedRegion);
  CHECK(f.outcomes[0] == Outcome::kNotRun);
  CHECK(f.UpstreamOf(f.Request(Regions({kSouth, kNorth}))) == "n");
}

// Guards against a request that is rejected because the version that its share
// falls to has no upstream in its region.
TEST_CASE("Regions: another version serves where one has no allowed upstream",
          "[admission][regions]") {
  Fixture f({{"n1", kNorth, "v1"}, {"s1", kSouth, "v2"}}, 100);
  for (int i = 0; i < 40; ++i) {
    CHECK(f.UpstreamOf(f.Request(Regions({kNorth}))) == "n1");
    CHECK(f.UpstreamOf(f.Request(Regions({kSouth}))) == "s1");
  }
}

// Guards against requests that wait behind one whose regions are full, in its
// own tier and in lower ones, and against a change of their order.
TEST_CASE("Regions: a full region does not block requests for others",
          "[admission][regions]") {
  Fixture f({{"n", kNorth}, {"s", kSouth}}, 1);
  const uint64_t north = f.Request(Regions({kNorth}));
  const uint64_t second = f.Request(Regions({kNorth}), Tier::kInteractive);
  const uint64_t third = f.Request(Regions({kNorth}), Tier::kInteractive);
  CHECK(f.UpstreamOf(second).empty());
  const uint64_t south = f.Request(Regions({kSouth}), Tier::kInteractive);
  CHECK(f.UpstreamOf(south) == "s");
  f.Finish(south);
  const uint64_t batch = f.Request(nullptr, Tier::kBatch);
  CHECK(f.UpstreamOf(batch) == "s");
  f.Finish(north);
  CHECK(f.UpstreamOf(second) == "n");
  CHECK(f.UpstreamOf(third).empty());
  f.Finish(second);
  CHECK(f.UpstreamOf(third) == "n");
  CHECK(f.scheduler->counts().queued == 0);
}

// Guards against queued requests that stay with an evacuated upstream, or are
// rejected although other upstreams are left.
TEST_CASE("Regions: queued requests are placed anew when a zone is evacuated",
          "[admission][regions]") {
  Fixture f({{"n", kNorth}, {"s", kSouth}}, 1);
  const uint64_t north = f.Request(Regions({kNorth}));
  const uint64_t south = f.Request(Regions({kSouth}));
  const uint64_t only_north = f.Request(Regions({kNorth}));
  const uint64_t anywhere = f.Request(nullptr);
  f.Evacuate({"n"});
  REQUIRE(f.rejected.size() == 1);
  CHECK(f.rejected[0] ==
        std::pair(only_north, RejectionReason::kZonesEvacuated));
  CHECK(f.scheduler->counts().running == 2);
  f.Finish(north);
  CHECK(f.UpstreamOf(anywhere).empty());
  f.Finish(south);
  CHECK(f.UpstreamOf(anywhere) == "s");
  f.Evacuate({"n", "s"});
  f.Request(nullptr);
  CHECK(f.rejected.back().second == RejectionReason::kZonesEvacuated);
  // A stream that breaks off there has run, which the rejection must not deny.
  f.Finish(anywhere, AttemptEnd::kUnknown);
  CHECK(f.outcomes.back() == Outcome::kUnknown);
}

// Guards against the loss of what is known of an upstream's speed, which would
// send much work to slow upstreams as soon as their zone returns.
TEST_CASE("Regions: speeds of upstreams are kept while they are evacuated",
          "[admission][regions]") {
  Fixture f({{"fast", kNorth}, {"slow", kSouth}}, 2);
  for (int i = 0; i < 20; ++i) {
    const uint64_t fast = f.Request(Regions({kNorth}));
    const uint64_t slow = f.Request(Regions({kSouth}));
    f.Advance(std::chrono::milliseconds(20));
    f.Finish(fast);
    f.Advance(std::chrono::milliseconds(180));
    f.Finish(slow);
  }
  const std::vector<std::string> evacuated =
      GENERATE(std::vector<std::string>{"slow"},
               std::vector<std::string>{"fast", "slow"});
  f.Evacuate(evacuated);
  f.Advance(std::chrono::milliseconds(500));
  f.Evacuate({});
  for (int i = 0; i < 10; ++i) {
    const uint64_t id = f.Request(nullptr);
    CHECK(f.UpstreamOf(id) == "fast");
    f.Finish(id);
  }
}

// Guards against a router of a large fleet that rejects requests because its
// part of the upstreams has none in an allowed region.
TEST_CASE("Regions: each router uses upstreams of every region",
          "[routing][regions]") {
  RoutingInput input;
  auto config = std::make_shared<FleetConfig>();
  for (int i = 0; i < 60; ++i) {
    UpstreamSpec spec;
    spec.id = UpstreamId("u" + std::to_string(i));
    spec.zone = AvailabilityZoneId(i < 30 ? "a" : "b");
    spec.region = i < 30 ? kNorth : kSouth;
    spec.pool = kPool;
    config->upstreams.push_back(spec);
  }
  input.config = config;
  for (int i = 0; i < 200; ++i) {
    input.routers.push_back({RouterId("r" + std::to_string(i)),
                             AvailabilityZoneId(i < 100 ? "a" : "b")});
  }
  input.self = input.routers.front();
  const auto count_south = [&input] {
    // Kept alive during the loop.
    const std::shared_ptr<const RoutingSnapshot> snapshot =
        RoutingSnapshot::Build(input);
    size_t count = 0;
    for (const RoutedUpstream& upstream : snapshot->upstreams()) {
      count += upstream.spec.region == kSouth ? 1 : 0;
    }
    return count;
  };
  CHECK(count_south() == 0);
  input.has_region_limits = true;
  CHECK(count_south() == RoutingSnapshot::kMinUpstreamsPerGroup);
}

}  // namespace papaya
