#include "tests/fakes/gossip_fleet.h"

#include <catch2/catch.hpp>

#include "tests/fakes/sample_config.h"

namespace papaya {
namespace {

constexpr Duration kInForceLimit = std::chrono::seconds(14);

// How many routers have that revision or a later one in force.
size_t CountInForce(const GossipFleet& fleet, Revision revision) {
  size_t count = 0;
  for (const GossipFleet::Node& node : fleet.nodes) {
    count += node.spreader != nullptr && node.spreader->config() != nullptr &&
             node.spreader->config()->revision >= revision;
  }
  return count;
}

// True if every router sees every other one.
bool SeeEachOther(const GossipFleet& fleet) {
  for (const GossipFleet::Node& node : fleet.nodes) {
    if (node.membership->view().routers.size() != fleet.nodes.size()) {
      return false;
    }
  }
  return true;
}

void CheckMeetingAndSpreading(const FleetShape& shape, double loss) {
  GossipFleet fleet(shape, 1);
  fleet.link.faults.loss = loss;
  Random random(1);
  const FleetConfig first = MakeSampleConfig(Revision(1), 40, &random);
  fleet.Publish(first);
  fleet.StartAll();
  fleet.queue.RunFor(kInForceLimit);
  CHECK(SeeEachOther(fleet));
  CHECK(CountInForce(fleet, Revision(1)) == shape.routers);

  fleet.Publish(MakeNextConfig(first, 5, &random));
  fleet.queue.RunFor(kInForceLimit);
  CHECK(CountInForce(fleet, Revision(2)) == shape.routers);
  const RevisionReport report = fleet.nodes[0].spreader->Report();
  CHECK(report.highest == Revision(2));
  CHECK(report.CountInForce(Revision(2)) == shape.routers);
  CHECK(report.FindLacking(Revision(2)).empty());
  CHECK(report.FindLacking(Revision(3)).size() == shape.routers);
}

TEST_CASE("GossipFleet: 7 routers meet and follow the configuration",
          "[config][membership]") {
  CheckMeetingAndSpreading(kTodaysFleet, 0.0);
  CheckMeetingAndSpreading(kTodaysFleet, 0.1);
}

TEST_CASE("GossipFleet: 390 routers meet and follow the configuration",
          "[config][membership]") {
  CheckMeetingAndSpreading(kPlannedFleet, 0.1);
}

}  // namespace
}  // namespace papaya
