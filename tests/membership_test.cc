#include "include/membership/membership.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "src/membership/member_table.h"
#include "tests/fakes/gossip_fleet.h"

namespace papaya {
namespace {

constexpr Duration kDetectLimit = std::chrono::seconds(5);

// A fleet of seven that has met.
std::unique_ptr<GossipFleet> MakeMetFleet(uint64_t seed) {
  auto fleet = std::make_unique<GossipFleet>(kTodaysFleet, seed);
  fleet->StartAll();
  fleet->queue.RunFor(std::chrono::seconds(8));
  return fleet;
}

size_t CountSeeing(const GossipFleet& fleet, size_t other) {
  size_t count = 0;
  for (size_t i = 0; i < fleet.nodes.size(); ++i) {
    count += i != other && fleet.IsUp(i) && fleet.Sees(i, other);
  }
  return count;
}

size_t CountEvents(GossipFleet* fleet, EventId id, Duration time) {
  size_t count = 0;
  fleet->on_event = [&count, id](size_t, const Event& event) {
    count += event.id == id;
  };
  fleet->queue.RunFor(time);
  fleet->on_event = nullptr;
  return count;
}

// Hooks of a router whose messages and news go nowhere.
Membership::Hooks SilentHooks() {
  return {.send = [](const PeerAddress&, const MemberMessage&) {},
          .view_changed = [](const FleetView&) {},
          .incarnation_changed = [](Incarnation) {},
          .event = [](const Event&) {}};
}

TEST_CASE("Membership: a dead router is found, living ones stay",
          "[membership]") {
  rc::prop("one of seven dies, one message in a hundred is lost",
           [](uint64_t seed) {
             const auto fleet = MakeMetFleet(seed % 1000000);
             fleet->link.faults.loss = 0.01;
             const size_t dead = seed % 7;
             fleet->Stop(dead);
             fleet->queue.RunFor(2 * kDetectLimit);
             RC_ASSERT(CountSeeing(*fleet, dead) == 0U);
             for (size_t i = 0; i < 7; ++i) {
               RC_ASSERT(i == dead || CountSeeing(*fleet, i) == 5U);
             }
           });
}

TEST_CASE("Membership: a whole zone's end is found", "[membership]") {
  GossipFleet fleet(kPlannedFleet, 3);
  fleet.StartAll();
  fleet.queue.RunFor(std::chrono::seconds(8));
  for (size_t i = 0; i < fleet.nodes.size(); ++i) {
    if (fleet.link.place(i).zone == 4) {
      fleet.Stop(i);
    }
  }
  fleet.queue.RunFor(2 * kDetectLimit);
  for (size_t i = 0; i < fleet.nodes.size(); ++i) {
    if (fleet.link.place(i).zone == 4) {
      CHECK(CountSeeing(fleet, i) == 0);
    }
  }
}

TEST_CASE("Membership: a router that wakes accuses nobody and is seen again",
          "[membership]") {
  const auto fleet = MakeMetFleet(5);
  fleet->Pause(2, std::chrono::minutes(3));
  fleet->queue.RunFor(std::chrono::minutes(3) - std::chrono::seconds(1));
  CHECK(CountSeeing(*fleet, 2) == 0);
  CHECK(CountEvents(fleet.get(), EventId::kRouterSuspected,
                    std::chrono::seconds(10)) == 0);
  CHECK(CountSeeing(*fleet, 2) == 6);
  CHECK(fleet->nodes[2].membership->view().routers.size() == 7);
}

TEST_CASE("Membership: a short pause ends in a refutation, not in a death",
          "[membership]") {
  const auto fleet = MakeMetFleet(6);
  fleet->Pause(2, std::chrono::milliseconds(2200));
  const size_t dead =
      CountEvents(fleet.get(), EventId::kRouterDead, std::chrono::seconds(10));
  CHECK(dead == 0);
  CHECK(CountSeeing(*fleet, 2) == 6);
}

TEST_CASE("Membership: a restart under an earlier incarnation is taken up",
          "[membership]") {
  const auto fleet = MakeMetFleet(7);
  fleet->nodes[3].life = 100;  // a clock that ran ahead
  fleet->Start(3);
  fleet->queue.RunFor(std::chrono::seconds(5));
  fleet->nodes[3].life = 0;
  fleet->Start(3);
  fleet->queue.RunFor(std::chrono::seconds(20));
  CHECK(CountSeeing(*fleet, 3) == 6);
  CHECK(fleet->nodes[3].membership->incarnation() > Incarnation(100));
}

TEST_CASE("Membership: the VM list removes and revives nobody",
          "[membership]") {
  const auto fleet = MakeMetFleet(8);
  fleet->Stop(6);
  fleet->queue.RunFor(2 * kDetectLimit);
  // The list lags: it shows the dead one, and only it.
  for (size_t i = 0; i < 6; ++i) {
    fleet->nodes[i].membership->OnVmList({fleet->nodes[6].id},
                                         fleet->queue.now());
  }
  fleet->queue.RunFor(std::chrono::minutes(1));
  CHECK(CountSeeing(*fleet, 6) == 0);
  for (size_t i = 0; i < 6; ++i) {
    CHECK(CountSeeing(*fleet, i) == 5);
  }
}

TEST_CASE("Membership: draining and leaving are told at once", "[membership]") {
  const auto fleet = MakeMetFleet(9);
  fleet->nodes[1].membership->SetDraining(fleet->queue.now());
  fleet->queue.RunFor(std::chrono::seconds(1));
  for (size_t i = 0; i < 7; ++i) {
    const FleetView& view = fleet->nodes[i].membership->view();
    CHECK(FindRouter(view, fleet->nodes[1].id)->state ==
          RouterState::kDraining);
  }
  fleet->nodes[1].membership->Leave(fleet->queue.now());
  fleet->Stop(1);
  fleet->queue.RunFor(std::chrono::seconds(1));
  CHECK(CountSeeing(*fleet, 1) == 0);
}

TEST_CASE("Membership: parts that lost each other meet again", "[membership]") {
  const auto fleet = MakeMetFleet(10);
  fleet->link.is_cut = [](size_t a, size_t b) { return (a < 3) != (b < 3); };
  fleet->queue.RunFor(std::chrono::minutes(10));
  CHECK(CountSeeing(*fleet, 0) == 2);
  CHECK(CountSeeing(*fleet, 6) == 3);
  fleet->link.is_cut = nullptr;
  fleet->queue.RunFor(std::chrono::seconds(15));
  for (size_t i = 0; i < 7; ++i) {
    CHECK(CountSeeing(*fleet, i) == 6);
  }
}

TEST_CASE("Membership: a suspect gone from the VM list has less time",
          "[membership]") {
  TimePoint now = TimePoint() + std::chrono::hours(1);
  Membership membership({.self = RouterId("a"), .incarnation = Incarnation(1)},
                        SilentHooks(), Random(1), now);
  // Until the end of the wait, of one that the list has shown and of one that
  // it names differently.
  std::map<RouterId, int> ticks;
  for (const char* name : {"listed", "unlisted"}) {
    const MemberRecord other{.id = RouterId(name),
                             .incarnation = Incarnation(1)};
    membership.OnMessage(other.id, MemberNews{.records = {other}}, now);
  }
  membership.OnVmList({RouterId("listed"), RouterId("vm-9")}, now);
  membership.OnVmList({RouterId("vm-9")}, now);
  membership.OnTick(now);
  for (const char* name : {"listed", "unlisted"}) {
    MemberStamp suspect{.key = MemberKey(RouterId(name)),
                        .incarnation = Incarnation(1),
                        .state = RouterState::kSuspect};
    membership.OnMessage(RouterId("c"), MemberNews{.stamps = {suspect}}, now);
  }
  for (int i = 0; i < 20; ++i) {
    now += std::chrono::milliseconds(100);
    membership.OnTick(now);
    for (const RouterView& router : membership.view().routers) {
      ++ticks[router.id];
    }
  }
  CHECK(ticks[RouterId("listed")] == 7);
  CHECK(ticks[RouterId("unlisted")] == 14);
}

TEST_CASE("Membership: time in a pause does not count against a suspect",
          "[membership]") {
  TimePoint now = TimePoint() + std::chrono::hours(1);
  Membership membership({.self = RouterId("a"), .incarnation = Incarnation(1)},
                        SilentHooks(), Random(1), now);
  const MemberRecord other{.id = RouterId("b"), .incarnation = Incarnation(1)};
  MemberStamp suspect = StampOf(other);
  suspect.state = RouterState::kSuspect;
  membership.OnTick(now);
  membership.OnMessage(other.id, MemberNews{.records = {other}}, now);
  membership.OnMessage(other.id, MemberNews{.stamps = {suspect}}, now);
  now += std::chrono::minutes(3);
  membership.OnTick(now);
  CHECK(FindRouter(membership.view(), other.id) != nullptr);
  for (int i = 0; i < 17; ++i) {
    now += std::chrono::milliseconds(100);
    membership.OnTick(now);
  }
  CHECK(FindRouter(membership.view(), other.id) == nullptr);
}

MemberRecord MakeRecord(uint64_t router, Random* random) {
  return {.id = RouterId("router-" + std::to_string(router)),
          .incarnation = Incarnation(1 + random->Below(3)),
          .refutations = static_cast<uint32_t>(random->Below(3)),
          .state = static_cast<RouterState>(random->Below(3)),
          .address = "10.0.0.1:7000"};
}

TEST_CASE("MemberTable: the order of news does not matter", "[membership]") {
  rc::prop("two orders, one table", [](uint64_t seed) {
    Random random(seed);
    std::vector<MemberRecord> news;
    news.reserve(40);
    for (int i = 0; i < 40; ++i) {
      news.push_back(MakeRecord(random.Below(5), &random));
    }
    MemberTable first(100);
    MemberTable second(100);
    for (const MemberRecord& record : news) {
      first.Apply(record, TimePoint());
    }
    for (size_t i = 0; i < news.size(); ++i) {
      std::swap(news[i], news[i + random.Below(news.size() - i)]);
      second.Apply(news[i], TimePoint());
      second.Apply(news[i], TimePoint());
    }
    RC_ASSERT(first.Digest() == second.Digest());
  });
}

TEST_CASE("MemberTable: is bounded, and forgets the dead first",
          "[membership]") {
  Random random(1);
  MemberTable table(10);
  for (uint64_t router = 0; router < 10; ++router) {
    MemberRecord record = MakeRecord(router, &random);
    record.state = RouterState::kAlive;
    CHECK(table.Apply(record, TimePoint()) == MemberTable::Outcome::kChanged);
  }
  const MemberRecord eleventh = MakeRecord(10, &random);
  CHECK(table.Apply(eleventh, TimePoint()) == MemberTable::Outcome::kIgnored);
  MemberStamp dead = StampOf(table.members().begin()->second.record);
  dead.state = RouterState::kDead;
  CHECK(table.Apply(dead, TimePoint()) == MemberTable::Outcome::kChanged);
  CHECK(table.Apply(eleventh, TimePoint()) == MemberTable::Outcome::kChanged);
  CHECK(table.members().size() == 10);
  CHECK(table.FindKey(dead.key) == nullptr);
}

}  // namespace
}  // namespace papaya
