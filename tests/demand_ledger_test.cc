#include "src/admission/demand_ledger.h"

#include <map>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace papaya {
namespace {

constexpr size_t kCritical = TierIndex(Tier::kCritical);
const RouterId kNear("r1");
const RouterId kFar("r2");
const UpstreamId kUpstream("u1");
const PoolVersion kShort{PoolId("short"), VersionId("v1")};
const PoolVersion kEasy{PoolId("easy"), VersionId("v1")};
constexpr Duration kLook = std::chrono::milliseconds(250);

// Two other routers, of which one shares an upstream with this one and the
// group that is short, and both a group that is not.
class Fixture {
 public:
  Fixture() {
    press.groups = {kShort};
    press.upstreams = {kUpstream};
    part.groups = {{.group = kShort}, {.group = kEasy}};
    part.groups[0].tiers[kCritical] = {.running = 8, .waiting = 8};
    part.groups[0].tiers[kTierCount - 1] = {.running = 4, .waiting = 8};
    part.upstreams = {{.upstream = kUpstream, .running = 3}};
    ledger.NoteAll(Parts(), press, now);
    // What was new is told once more; the other group has nothing in hand.
    now += kLook;
    REQUIRE(Look() == std::vector<RouterId>{kNear});
  }

  std::map<RouterId, DemandReport> Parts() const {
    std::map<RouterId, DemandReport> parts = {{kNear, part}};
    parts[kFar].groups = {part.groups.back()};
    return parts;
  }

  // Who is told if one looks now.
  std::vector<RouterId> Look() {
    return ledger.TakeDue(
        Parts(), press,
        [this](const RouterId& router) { return router != silent; }, now);
  }

  // The same after the time from one look to the next.
  std::vector<RouterId> LookLater() {
    now += kLook;
    return Look();
  }

  TierDemand& critical() { return part.groups[0].tiers[kCritical]; }

  TimePoint now = TimePoint(std::chrono::hours(1));
  DemandPress press;
  DemandReport part;
  RouterId silent;
  DemandLedger ledger;
};

const std::vector<RouterId> kNobody;
const std::vector<RouterId> kOnlyNear = {kNear};

}  // namespace

TEST_CASE("DemandLedger: nobody is told what is known", "[admission]") {
  Fixture f;
  CHECK(f.LookLater() == kNobody);
  CHECK(f.LookLater() == kNobody);
}

TEST_CASE("DemandLedger: a slot that becomes free is told who uses it, twice",
          "[admission]") {
  Fixture f;
  f.part.upstreams[0].running = 2;
  CHECK(f.LookLater() == kOnlyNear);
  CHECK(f.LookLater() == kOnlyNear);
  CHECK(f.LookLater() == kNobody);
  // The last one there ends.
  f.part.upstreams.clear();
  CHECK(f.LookLater() == kOnlyNear);
}

TEST_CASE("DemandLedger: requests that wait are told when they change by much",
          "[admission]") {
  Fixture f;
  f.critical().waiting = 9;
  CHECK(f.LookLater() == kNobody);
  f.critical().waiting = 11;
  CHECK(f.LookLater() == kOnlyNear);
  f.critical().waiting = 0;
  CHECK(f.LookLater() == kOnlyNear);
  f.critical().waiting = 1;
  CHECK(f.LookLater() == kOnlyNear);
}

TEST_CASE("DemandLedger: lower tiers that stop are told", "[admission]") {
  Fixture f;
  f.part.groups[0].tiers[kTierCount - 1].running = 0;
  CHECK(f.LookLater() == kOnlyNear);
}

TEST_CASE("DemandLedger: groups with enough slots wait for the next report",
          "[admission]") {
  Fixture f;
  f.part.groups[1].tiers[kCritical] = {.running = 50, .waiting = 50};
  CHECK(f.LookLater() == kNobody);
  f.press = {};
  f.part.upstreams[0].running = 0;
  f.critical() = {};
  CHECK(f.LookLater() == kNobody);
}

TEST_CASE("DemandLedger: a shortage is told when it begins and ends",
          "[admission]") {
  Fixture f;
  f.part.groups[1].short_tier = Tier::kCritical;
  const std::vector<RouterId> both = {kNear, kFar};
  CHECK(f.LookLater() == both);
  CHECK(f.LookLater() == both);
  CHECK(f.LookLater() == kNobody);
  f.press = {};
  f.part.groups.pop_back();
  f.part.groups.push_back({.group = kEasy});
  CHECK(f.LookLater() == both);
  CHECK(f.LookLater() == both);
  CHECK(f.LookLater() == kNobody);
}

TEST_CASE("DemandLedger: an overfull upstream is told at each look",
          "[admission]") {
  Fixture f;
  f.press.overfull = {kUpstream};
  for (int i = 0; i < 4; ++i) {
    CHECK(f.LookLater() == kOnlyNear);
  }
}

TEST_CASE("DemandLedger: a silent router that shares the shortage is told",
          "[admission]") {
  Fixture f;
  f.silent = kNear;
  CHECK(f.LookLater() == kOnlyNear);
  CHECK(f.LookLater() == kOnlyNear);
  f.silent = kFar;
  CHECK(f.LookLater() == kNobody);
}

TEST_CASE("DemandLedger: nobody is left without a report for long",
          "[admission]") {
  Fixture f;
  const TimePoint told = f.now;
  f.part.upstreams[0].running = 2;
  f.now += kLook;
  REQUIRE(f.Look() == kOnlyNear);
  f.now += kLook;
  REQUIRE(f.Look() == kOnlyNear);
  const TimePoint near_told = f.now;
  f.now = told + std::chrono::seconds(2);
  CHECK(f.ledger.IsAnyOverdue(f.now));
  CHECK(f.Look() == std::vector<RouterId>{kFar});
  CHECK(!f.ledger.IsAnyOverdue(f.now));
  f.now = near_told + std::chrono::seconds(2);
  CHECK(f.Look() == kOnlyNear);
}

TEST_CASE("DemandLedger: a router that left is forgotten", "[admission]") {
  Fixture f;
  std::map<RouterId, DemandReport> parts = f.Parts();
  parts.erase(kFar);
  f.now += std::chrono::milliseconds(1900);
  f.ledger.NoteAll(parts, f.press, f.now);
  f.now += kLook;
  CHECK(!f.ledger.IsAnyOverdue(f.now));
  // When it is back, it is told at once.
  CHECK(f.Look() == std::vector<RouterId>{kFar});
}

}  // namespace papaya
