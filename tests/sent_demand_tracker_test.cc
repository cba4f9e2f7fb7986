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

// Two other routers, of which one shares an upstream with this one and the
// group that is short, and both a group that is not.
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
    // What was new is told once more; the other group has nothing in hand.
    now += kCheckInterval;
    REQUIRE(DueRouters() == std::vector<RouterId>{kSharingRouter});
  }

  std::map<RouterId, DemandReport> Parts() const {
    std::map<RouterId, DemandReport> parts = {{kSharingRouter, part}};
    parts[kOtherRouter].groups = {part.groups.back()};
    return parts;
  }

  // Who is told if one looks now.
  std::vector<RouterId> DueRouters() {
    return tracker.SelectDue(
        Parts(), shortage,
        [this](const RouterId& router) { return router != unresponsive; }, now);
  }

  // The same after the time from one look to the next.
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

TEST_CASE("DemandLedger: nobody is told what is known", "[admission]") {
  Fixture f;
  CHECK(f.DueRoutersLater() == kNoRouters);
  CHECK(f.DueRoutersLater() == kNoRouters);
}

TEST_CASE("DemandLedger: a slot that becomes free is told who uses it, twice",
          "[admission]") {
  Fixture f;
  f.part.upstreams[0].running = 2;
  CHECK(f.DueRoutersLater() == kOnlySharingRouter);
  CHECK(f.DueRoutersLater() == kOnlySharingRouter);
  CHECK(f.DueRoutersLater() == kNoRouters);
  // The last one there ends.
  f.part.upstreams.clear();
  CHECK(f.DueRoutersLater() == kOnlySharingRouter);
}

TEST_CASE("DemandLedger: requests that wait are told when they change by much",
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

TEST_CASE("DemandLedger: lower tiers that stop are told", "[admission]") {
  Fixture f;
  f.part.groups[0].tiers[kTierCount - 1].running = 0;
  CHECK(f.DueRoutersLater() == kOnlySharingRouter);
}

TEST_CASE("DemandLedger: groups with enough slots wait for the next report",
          "[admission]") {
  Fixture f;
  f.part.groups[1].tiers[kCritical] = {.running = 50, .waiting = 50};
  CHECK(f.DueRoutersLater() == kNoRouters);
  f.shortage = {};
  f.part.upstreams[0].running = 0;
  f.critical() = {};
  CHECK(f.DueRoutersLater() == kNoRouters);
}

TEST_CASE("DemandLedger: a shortage is told when it begins and ends",
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

TEST_CASE("DemandLedger: an overfull upstream is told at each look",
          "[admission]") {
  Fixture f;
  f.shortage.oversubscribed = {kUpstream};
  for (int i = 0; i < 4; ++i) {
    CHECK(f.DueRoutersLater() == kOnlySharingRouter);
  }
}

TEST_CASE("DemandLedger: a silent router that shares the shortage is told",
          "[admission]") {
  Fixture f;
  f.unresponsive = kSharingRouter;
  CHECK(f.DueRoutersLater() == kOnlySharingRouter);
  CHECK(f.DueRoutersLater() == kOnlySharingRouter);
  f.unresponsive = kOtherRouter;
  CHECK(f.DueRoutersLater() == kNoRouters);
}

TEST_CASE("DemandLedger: nobody is left without a report for long",
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

TEST_CASE("DemandLedger: a router that left is forgotten", "[admission]") {
  Fixture f;
  std::map<RouterId, DemandReport> parts = f.Parts();
  parts.erase(kOtherRouter);
  f.now += std::chrono::milliseconds(1900);
  f.tracker.RecordAllSent(parts, f.shortage, f.now);
  f.now += kCheckInterval;
  CHECK(!f.tracker.IsAnyOverdue(f.now));
  // When it is back, it is told at once.
  CHECK(f.DueRouters() == std::vector<RouterId>{kOtherRouter});
}

}  // namespace papaya
