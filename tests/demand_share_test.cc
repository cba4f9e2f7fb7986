#include "include/admission/demand_share.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"
#include "include/base/random.h"
#include "include/routing/routing_snapshot.h"

namespace papaya {
namespace {

std::shared_ptr<const RoutingSnapshot> MakeSnapshot(int routers,
                                                    int upstreams) {
  auto config = std::make_shared<FleetConfig>();
  config->revision = Revision(1);
  for (int i = 0; i < upstreams; ++i) {
    config->upstreams.push_back(
        {.id = UpstreamId(absl::StrCat("u", 1000 + i)),
         .zone = AvailabilityZoneId(absl::StrCat("z", i % 3)),
         .pool = PoolId(absl::StrCat("p", i % 4)),
         .version = VersionId("v1")});
  }
  RoutingInput input;
  input.config = config;
  for (int i = 0; i < routers; ++i) {
    input.routers.push_back(
        {.id = RouterId(absl::StrCat("r", 100 + i)),
         .zone = AvailabilityZoneId(absl::StrCat("z", i % 3))});
  }
  input.self = input.routers.front();
  return RoutingSnapshot::Build(input);
}

DemandReport MakeReport(const RoutingSnapshot& snapshot) {
  DemandReport report{.router = snapshot.self().id,
                      .incarnation = Incarnation(5),
                      .sequence = 6};
  for (const VersionGroup& group : snapshot.groups()) {
    report.groups.push_back({.group = group.name});
  }
  for (const RoutedUpstream& upstream : snapshot.upstreams()) {
    report.upstreams.push_back({.upstream = upstream.spec.id, .running = 2});
  }
  return report;
}

TEST_CASE("SplitDemandReport: each router gets exactly what it shares",
          "[admission]") {
  rc::prop("according to the routers of the snapshot", [] {
    const int routers = *rc::gen::inRange(1, 40);
    const int upstreams = *rc::gen::inRange(1, 60);
    const std::shared_ptr<const RoutingSnapshot> snapshot =
        MakeSnapshot(routers, upstreams);
    const DemandReport report = MakeReport(*snapshot);
    const std::map<RouterId, DemandReport> parts =
        SplitDemandReport(report, *snapshot);
    RC_ASSERT(!parts.contains(snapshot->self().id));
    size_t expected = 0;
    size_t sent = 0;
    for (const RoutedUpstream& upstream : snapshot->upstreams()) {
      for (const RouterId& router : upstream.routers) {
        expected += router == snapshot->self().id ? 0 : 1;
      }
    }
    for (const auto& [router, part] : parts) {
      RC_ASSERT(part.sequence == report.sequence);
      RC_ASSERT(!part.groups.empty());
      sent += part.upstreams.size();
      for (const UpstreamUse& use : part.upstreams) {
        const RoutedUpstream& upstream =
            snapshot->upstream(*snapshot->FindUpstream(use.upstream));
        RC_ASSERT(std::find(upstream.routers.begin(), upstream.routers.end(),
                            router) != upstream.routers.end());
      }
    }
    RC_ASSERT(sent == expected);
  });
}

TEST_CASE("SplitDemandReport: a leaving upstream is reported to all",
          "[admission]") {
  const std::shared_ptr<const RoutingSnapshot> snapshot = MakeSnapshot(7, 9);
  DemandReport report = MakeReport(*snapshot);
  report.upstreams = {{.upstream = UpstreamId("gone"), .leaving = true}};
  const std::map<RouterId, DemandReport> parts =
      SplitDemandReport(report, *snapshot);
  CHECK(parts.size() == 6);
  for (const auto& [router, part] : parts) {
    CHECK(part.upstreams == report.upstreams);
  }
}

}  // namespace
}  // namespace papaya
