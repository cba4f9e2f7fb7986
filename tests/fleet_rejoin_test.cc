// Guards against fleets that stay apart: routers that restarted together,
// started with stale seeds or were partitioned must see each other again.

#include <algorithm>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "tests/fakes/gossip_fleet.h"

namespace papaya {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Stated in docs/MEMBERSHIP.md: a router that is reached again sees the fleet,
// and is seen by it, within this time.
constexpr Duration kRejoinLimit = seconds(20);

FleetShape ShapeOf(size_t routers) {
  return routers < 24 ? FleetShape{routers, 3, 1}
                      : FleetShape{routers, 6, routers < 200 ? 2 : 3};
}

// True if every router that runs sees exactly the others that run.
bool IsOneFleet(const GossipFleet& fleet) {
  size_t running = 0;
  for (size_t i = 0; i < fleet.nodes.size(); ++i) {
    running += fleet.IsUp(i) ? 1 : 0;
  }
  for (size_t i = 0; i < fleet.nodes.size(); ++i) {
    if (!fleet.IsUp(i)) {
      continue;
    }
    if (fleet.nodes[i].membership->view().routers.size() != running) {
      return false;
    }
    for (size_t j = 0; j < fleet.nodes.size(); ++j) {
      if (fleet.IsUp(j) && !fleet.Sees(i, j)) {
        return false;
      }
    }
  }
  return true;
}

// Returns the seconds until the fleet is one, or more than kRejoinLimit.
double SecondsToOneFleet(GossipFleet* fleet) {
  constexpr Duration kLook = milliseconds(250);
  Duration waited{};
  while (!IsOneFleet(*fleet) && waited <= kRejoinLimit) {
    fleet->queue.RunFor(kLook);
    waited += kLook;
  }
  return ToSeconds(waited);
}

// Kills these routers at the same moment and starts them again.
void RestartTogether(GossipFleet* fleet,
                     const std::vector<size_t>& routers,
                     Duration down) {
  for (const size_t router : routers) {
    fleet->Stop(router);
  }
  fleet->queue.RunFor(down);
  for (const size_t router : routers) {
    fleet->Start(router);
  }
}

// The first `share` of the routers, the seeds among them.
std::vector<size_t> FirstRouters(const GossipFleet& fleet, double share) {
  std::vector<size_t> routers(std::max<size_t>(
      3, static_cast<size_t>(static_cast<double>(fleet.nodes.size()) * share)));
  for (size_t i = 0; i < routers.size(); ++i) {
    routers[i] = i;
  }
  return routers;
}

TEST_CASE("Fleet rejoin: seeds that restart together find the others",
          "[membership][rejoin]") {
  const size_t routers =
      GENERATE(size_t{6}, size_t{7}, size_t{60}, size_t{300});
  const milliseconds down = GENERATE(milliseconds(500), milliseconds(6000));
  GossipFleet fleet(ShapeOf(routers), 1);
  fleet.StartAll();
  fleet.queue.RunFor(seconds(8));
  REQUIRE(IsOneFleet(fleet));
  RestartTogether(&fleet, FirstRouters(fleet, 0.5), down);
  CAPTURE(routers, down.count());
  const double taken = SecondsToOneFleet(&fleet);
  CHECK(taken <= 10.0);
}

TEST_CASE("Fleet rejoin: a rolling restart of 45% leaves one fleet",
          "[membership][rejoin]") {
  const size_t routers = GENERATE(size_t{7}, size_t{60}, size_t{300});
  GossipFleet fleet(ShapeOf(routers), 2);
  fleet.StartAll();
  fleet.queue.RunFor(seconds(8));
  for (const size_t router : FirstRouters(fleet, 0.45)) {
    RestartTogether(&fleet, {router}, milliseconds(300));
    fleet.queue.RunFor(milliseconds(700));
  }
  CAPTURE(routers);
  CHECK(SecondsToOneFleet(&fleet) <= 10.0);
}

TEST_CASE("Fleet rejoin: messages of a calm fleet and of a restart",
          "[membership][rejoin]") {
  const size_t routers = GENERATE(size_t{7}, size_t{60}, size_t{300});
  GossipFleet fleet(ShapeOf(routers), 3);
  const auto count = [&fleet] {
    int64_t messages = 0;
    for (size_t i = 0; i < fleet.nodes.size(); ++i) {
      messages += fleet.link.use(i).messages;
    }
    return messages;
  };
  const auto rate = [&](Duration time) {
    const int64_t before = count();
    fleet.queue.RunFor(time);
    return static_cast<double>(count() - before) / ToSeconds(time) /
           static_cast<double>(routers);
  };
  fleet.StartAll();
  fleet.queue.RunFor(seconds(10));
  const double calm = rate(seconds(20));
  RestartTogether(&fleet, FirstRouters(fleet, 0.5), milliseconds(500));
  const double restart = rate(seconds(10));
  fleet.Stop(routers - 1);
  fleet.queue.RunFor(seconds(10));
  const double one_dead = rate(seconds(20));
  WARN(routers << " routers, messages sent and received a second and router: "
               << calm << " calm, " << restart << " in the restart, "
               << one_dead << " with one dead");
  // Each router has about ten neighbours at any size.
  CHECK(calm <= 60.0);
  CHECK(one_dead <= calm * 1.2 + 1.0);
}

TEST_CASE("Fleet rejoin: routers with stale seeds are called by the others",
          "[membership][rejoin]") {
  const size_t routers = GENERATE(size_t{7}, size_t{60}, size_t{300});
  GossipFleet fleet(ShapeOf(routers), 4);
  fleet.StartAll();
  fleet.queue.RunFor(seconds(8));
  fleet.seeds = {"10.9.0.1:7000", "10.9.0.2:7000"};
  RestartTogether(&fleet, {routers - 1, routers - 2}, seconds(6));
  CAPTURE(routers);
  CHECK(SecondsToOneFleet(&fleet) <= 15.0);
}

TEST_CASE("Fleet rejoin: seeds that change at run time are contacted",
          "[membership][rejoin]") {
  const size_t routers = GENERATE(size_t{7}, size_t{60}, size_t{300});
  GossipFleet fleet(ShapeOf(routers), 5);
  // Half of the routers have never met the others, and have seeds that name
  // one of them and nobody else.
  fleet.seeds = {fleet.nodes[0].address, "10.9.0.1:7000"};
  const size_t half = routers / 2;
  for (size_t i = 0; i < half; ++i) {
    fleet.Start(i);
  }
  fleet.seeds = {fleet.nodes[half].address, fleet.nodes[half + 1].address};
  for (size_t i = half; i < routers; ++i) {
    fleet.Start(i);
  }
  fleet.queue.RunFor(seconds(20));
  REQUIRE(!IsOneFleet(fleet));
  for (size_t i = 0; i < half; ++i) {
    fleet.nodes[i].membership->SetSeeds({fleet.nodes[routers - 1].address},
                                        fleet.queue.now());
  }
  CAPTURE(routers);
  CHECK(SecondsToOneFleet(&fleet) <= 10.0);
}

// One random disturbance, and some time for it to work.
void Disturb(GossipFleet* fleet, Random* random) {
  const size_t count = fleet->nodes.size();
  const size_t router = random->Below(count);
  const uint64_t side = random->Next64();
  const auto is_chosen = [side](size_t i) {
    return ((side >> (i % 61)) & 1) != 0;
  };
  switch (random->Below(6)) {
    case 0:
      fleet->Stop(router);
      break;
    case 1:
      fleet->Start(router);
      break;
    case 2: {
      std::vector<size_t> together;
      for (size_t i = 0; i < count; ++i) {
        if (is_chosen(i)) {
          together.push_back(i);
        }
      }
      RestartTogether(fleet, together, milliseconds(100 + random->Below(5000)));
      break;
    }
    case 3:
      for (size_t i = router; i < std::min(count, router + 5); ++i) {
        RestartTogether(fleet, {i}, milliseconds(300));
        fleet->queue.RunFor(milliseconds(700));
      }
      break;
    case 4:
      fleet->link.is_cut = [is_chosen](size_t a, size_t b) {
        return is_chosen(a) != is_chosen(b);
      };
      break;
    default:
      fleet->seeds = {fleet->nodes[router].address,
                      fleet->nodes[random->Below(count)].address};
      for (const GossipFleet::Node& node : fleet->nodes) {
        if (node.membership != nullptr) {
          node.membership->SetSeeds(fleet->seeds, fleet->queue.now());
        }
      }
      break;
  }
  fleet->queue.RunFor(SecondsToDuration(8.0 * random->Uniform()));
}

void CheckSchedules(size_t routers, uint64_t seeds) {
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    Random random(seed);
    GossipFleet fleet(ShapeOf(routers), seed);
    fleet.StartAll();
    fleet.queue.RunFor(seconds(8));
    for (int step = 0; step < 8; ++step) {
      Disturb(&fleet, &random);
    }
    fleet.link.is_cut = nullptr;
    for (size_t i = 0; i < routers; ++i) {
      if (!fleet.IsUp(i)) {
        fleet.Start(i);
      }
    }
    CAPTURE(routers, seed);
    CHECK(SecondsToOneFleet(&fleet) <= ToSeconds(kRejoinLimit));
  }
}

TEST_CASE("Fleet rejoin: any schedule of faults ends in one fleet",
          "[membership][rejoin]") {
  CheckSchedules(7, 60);
  CheckSchedules(60, 6);
  CheckSchedules(300, 2);
}

}  // namespace
}  // namespace papaya
