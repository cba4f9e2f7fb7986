#include "src/admission/sent_demand_tracker.h"

#include <map>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace papaya {
namespace {

constexpr size_t kCritical = TierIndex(Tier::kCritical);
const RouterId kSharingRouter("r1");
const RouterId kOtherRouter("r2");
const UpstreamId kUpstream("u1");
const PoolVersion kShortGroup{PoolId("short"), VersionId("v1")};
const PoolVersion kOtherGroup{PoolId("easy"), VersionId("v1")};
constexpr Duration kCheckInterval = std::chrono::milliseconds(250);

// This router and two others. One of them shares an upstream and the short
// group with this router. Both share the other group, which has enough slots.
class Fixture {
 public:
  Fixture() {
    shortage.groups = {kShortGroup};
    shortage.upstreams = {kUpstream};
    part.groups = {{.group = kShortGroup}, {.group = kOtherGroup}};
    part.groups[0].tiers[kCritical] = {.running = 8, .waiting = 8};
    part.groups[0].tiers[kTierCount - 1] = {.running = 4, .waiting = 8};
    part.upstreams = {{.upstream = kUpstream, .running = 3}};
    tracker.RecordAllSent(Parts(), shortage, now);
    // The change is sent a second time. The other group has no requests.
    now += kCheckInterval;
    REQUIRE(DueRouters() == std::vector<RouterId>{kSharingRouter});
  }

  std::map<RouterId, DemandReport> Parts() const {
    std::map<RouterId, DemandReport> parts = {{kSharingRouter, part}};
    parts[kOtherRouter].groups = {part.groups.back()};
    return parts;
  }

  // Returns the routers that are due now.
  std::vector<RouterId> DueRouters() {
    return tracker.SelectDue(
        Parts(), shortage,
        [this](const RouterId& router) { return router != unresponsive; }, now);
  }

  // Returns the routers that are due one check interval later.
  std::vector<RouterId> DueRoutersLater() {
    now += kCheckInterval;
    return DueRouters();
  }

  TierDemand& critical() { return part.groups[0].tiers[kCritical]; }

  TimePoint now = TimePoint(std::chrono::hours(1));
  SlotShortage shortage;
  DemandReport part;
  RouterId unresponsive;
  SentDemandTracker tracker;
};

const std::vector<RouterId> kNoRouters;
const std::vector<RouterId> kOnlySharingRouter = {kSharingRouter};

}  // namespace

TEST_CASE("SentDemandTracker: no router is due without a change",
          "[admission]") {
  Fixture f;
  CHECK(f.DueRoutersLater() == kNoRouters);
  CHECK(f.DueRoutersLater() == kNoRouters);
}

TEST_CASE(
    "SentDemandTracker: a freed slot is reported twice to routers that share "
    "it",
    "[admission]") {
  Fixture f;
  f.part.upstreams[0].running = 2;
  CHECK(f.DueRoutersLater() == kOnlySharingRouter);
  CHECK(f.DueRoutersLater() == kOnlySharingRouter);
  CHECK(f.DueRoutersLater() == kNoRouters);
  // The last attempt there ends.
  f.part.upstreams.clear();
  CHECK(f.DueRoutersLater() == kOnlySharingRouter);
}

TEST_CASE("SentDemandTracker: large changes of waiting requests are reported",
          "[admission]") {
  Fixture f;
  f.critical().waiting = 9;
  CHECK(f.DueRoutersLater() == kNoRouters);
  f.critical().waiting = 11;
  CHECK(f.DueRoutersLater() == kOnlySharingRouter);
  f.critical().waiting = 0;
  CHECK(f.DueRoutersLater() == kOnlySharingRouter);
  f.critical().waiting = 1;
  CHECK(f.DueRoutersLater() == kOnlySharingRouter);
}

TEST_CASE("SentDemandTracker: the end of lower-tier work is reported",
          "[admission]") {
  Fixture f;
  f.part.groups[0].tiers[kTierCount - 1].running = 0;
  CHECK(f.DueRoutersLater() == kOnlySharingRouter);
}

TEST_CASE(
    "SentDemandTracker: groups with enough slots wait for the next report",
    "[admission]") {
  Fixture f;
  f.part.groups[1].tiers[kCritical] = {.running = 50, .waiting = 50};
  CHECK(f.DueRoutersLater() == kNoRouters);
  f.shortage = {};
  f.part.upstreams[0].running = 0;
  f.critical() = {};
  CHECK(f.DueRoutersLater() == kNoRouters);
}

TEST_CASE("SentDemandTracker: the begin and end of a shortage are reported",
          "[admission]") {
  Fixture f;
  f.part.groups[1].short_tier = Tier::kCritical;
  const std::vector<RouterId> both = {kSharingRouter, kOtherRouter};
  CHECK(f.DueRoutersLater() == both);
  CHECK(f.DueRoutersLater() == both);
  CHECK(f.DueRoutersLater() == kNoRouters);
  f.shortage = {};
  f.part.groups.pop_back();
  f.part.groups.push_back({.group = kOtherGroup});
  CHECK(f.DueRoutersLater() == both);
  CHECK(f.DueRoutersLater() == both);
  CHECK(f.DueRoutersLater() == kNoRouters);
}

TEST_CASE(
    "SentDemandTracker: an oversubscribed upstream is reported at each check",
    "[admission]") {
  Fixture f;
  f.shortage.oversubscribed = {kUpstream};
  for (int i = 0; i < 4; ++i) {
    CHECK(f.DueRoutersLater() == kOnlySharingRouter);
  }
}

TEST_CASE("SentDemandTracker: an unresponsive router of a short group is due",
          "[admission]") {
  Fixture f;
  f.unresponsive = kSharingRouter;
  CHECK(f.DueRoutersLater() == kOnlySharingRouter);
  CHECK(f.DueRoutersLater() == kOnlySharingRouter);
  f.unresponsive = kOtherRouter;
  CHECK(f.DueRoutersLater() == kNoRouters);
}

TEST_CASE("SentDemandTracker: each router is due after the longest interval",
          "[admission]") {
  Fixture f;
  const TimePoint sent_at = f.now;
  f.part.upstreams[0].running = 2;
  f.now += kCheckInterval;
  REQUIRE(f.DueRouters() == kOnlySharingRouter);
  f.now += kCheckInterval;
  REQUIRE(f.DueRouters() == kOnlySharingRouter);
  const TimePoint sharing_sent_at = f.now;
  f.now = sent_at + std::chrono::seconds(2);
  CHECK(f.tracker.IsAnyOverdue(f.now));
  CHECK(f.DueRouters() == std::vector<RouterId>{kOtherRouter});
  CHECK(!f.tracker.IsAnyOverdue(f.now));
  f.now = sharing_sent_at + std::chrono::seconds(2);
  CHECK(f.DueRouters() == kOnlySharingRouter);
}

TEST_CASE("SentDemandTracker: a removed router is dropped", "[admission]") {
  Fixture f;
  std::map<RouterId, DemandReport> parts = f.Parts();
  parts.erase(kOtherRouter);
  f.now += std::chrono::milliseconds(1900);
  f.tracker.RecordAllSent(parts, f.shortage, f.now);
  f.now += kCheckInterval;
  CHECK(!f.tracker.IsAnyOverdue(f.now));
  // When the router is back, it receives a report at once.
  CHECK(f.DueRouters() == std::vector<RouterId>{kOtherRouter});
}

}  // namespace papaya
