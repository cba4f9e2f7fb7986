#include "include/admission/demand_name_resolver.h"

#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "include/admission/demand_packing.h"

namespace papaya {
namespace {

const RouterId kSender("r1");

// Builds the snapshot of router r0, with router r1 as peer, for a configuration
// of `upstreams`.
std::shared_ptr<const RoutingSnapshot> MakeSnapshot(
    uint64_t revision,
    const std::vector<std::string>& upstreams,
    const std::string& version) {
  auto config = std::make_shared<FleetConfig>();
  config->revision = Revision(revision);
  for (const std::string& name : upstreams) {
    config->upstreams.push_back({.id = UpstreamId(name),
                                 .pool = PoolId("p"),
                                 .version = VersionId(version),
                                 .slots = 4});
  }
  RoutingInput input;
  input.config = config;
  input.routers = {{.id = RouterId("r0")}, {.id = kSender}};
  input.self = input.routers.front();
  return RoutingSnapshot::Build(input);
}

DemandReport ReportOf(const std::vector<std::string>& upstreams) {
  DemandReport report{
      .router = kSender, .incarnation = Incarnation(3), .sequence = 4};
  GroupDemand group{.group = {PoolId("p"), VersionId("v1")}};
  group.tiers[0] = {.running = 2, .waiting = 1};
  report.groups.push_back(group);
  for (const std::string& name : upstreams) {
    report.upstreams.push_back({.upstream = UpstreamId(name),
                                .running = 2,
                                .pending_prefill = Tokens(256)});
  }
  return report;
}

// Returns `report` as a router with `snapshot` receives it.
DemandReport Arrive(const DemandReport& report,
                    const RoutingSnapshot& snapshot) {
  const std::optional<DemandNotice> notice =
      UnpackDemand(PackDemand(MakeDemandNotice(report)));
  return DemandNameResolver(snapshot).Resolve(report.router, notice.value());
}

}  // namespace

TEST_CASE("DemandNameResolver: a report is resolved unchanged", "[admission]") {
  const DemandReport report = ReportOf({"a", "b"});
  CHECK(Arrive(report, *MakeSnapshot(1, {"a", "b"}, "v1")) == report);
}

TEST_CASE(
    "DemandNameResolver: a receiver of another revision keeps known names",
    "[admission]") {
  // The receiver has additional upstreams before, between and after the
  // reported ones, and lacks one of these.
  const DemandReport report = ReportOf({"a", "c", "gone"});
  const DemandReport arrived =
      Arrive(report, *MakeSnapshot(2, {"0", "a", "b", "c", "z"}, "v1"));
  CHECK(arrived.groups == report.groups);
  CHECK(arrived.upstreams == ReportOf({"a", "c"}).upstreams);
  CHECK(arrived.sequence == report.sequence);
  CHECK(arrived.incarnation == report.incarnation);
}

TEST_CASE("DemandNameResolver: entries with unknown names are left out",
          "[admission]") {
  const DemandReport arrived =
      Arrive(ReportOf({"x", "y"}), *MakeSnapshot(1, {"a"}, "v2"));
  CHECK(arrived.router == kSender);
  CHECK(arrived.groups.empty());
  CHECK(arrived.upstreams.empty());
  CHECK(DemandNameResolver()
            .Resolve(kSender, MakeDemandNotice(ReportOf({"x"})))
            .upstreams.empty());
}

TEST_CASE("DemandNameResolver: pending prefill never becomes zero",
          "[admission]") {
  DemandReport report = ReportOf({"a"});
  report.upstreams[0].pending_prefill = Tokens(1);
  const DemandReport arrived = Arrive(report, *MakeSnapshot(1, {"a"}, "v1"));
  CHECK(arrived.upstreams[0].pending_prefill == kPrefillGranularity);
}

TEST_CASE("DemandNameResolver: a hash of two names counts for both",
          "[admission]") {
  // These two names have the same hash.
  const std::vector<std::string> names = {"engine-28250", "engine-43799"};
  REQUIRE(HashName(UpstreamId(names[0])) == HashName(UpstreamId(names[1])));
  const DemandReport arrived =
      Arrive(ReportOf({names[0]}), *MakeSnapshot(1, names, "v1"));
  REQUIRE(arrived.upstreams.size() == 2);
  CHECK(arrived.upstreams[0].running == 2);
  CHECK(arrived.upstreams[1].running == 2);
}

}  // namespace papaya
