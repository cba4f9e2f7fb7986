#include <cstdint>
#include <cstdlib>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "bench/measure.h"
#include "include/admission/demand_share.h"
#include "include/routing/routing_snapshot.h"
#include "include/wire/peer_codec.h"

namespace papaya::bench {
namespace {

constexpr int kZones = 12;
constexpr int kPools = 8;
// As SchedulerOptions::report_interval.
constexpr double kReportsPerSecond = 4.0;

struct FleetSize {
  int routers;
  int upstreams;
};

constexpr FleetSize kSizes[] = {{7, 21}, {50, 460}, {150, 1385}, {390, 3600}};

AvailabilityZoneId ZoneOf(int index) {
  return AvailabilityZoneId(absl::StrCat("region-zone-", index % kZones));
}

RoutingInput MakeInput(const FleetSize& size) {
  auto config = std::make_shared<FleetConfig>();
  config->revision = Revision(1);
  for (int i = 0; i < size.upstreams; ++i) {
    config->upstreams.push_back(
        {.id = UpstreamId(absl::StrCat("engine-", 10000 + i)),
         .zone = ZoneOf(i),
         .pool = PoolId(absl::StrCat("model-", i / kZones % kPools)),
         .version = VersionId("v1"),
         .generation = GenerationId("g1"),
         .slots = 8});
  }
  RoutingInput input;
  input.config = config;
  for (int i = 0; i < size.routers; ++i) {
    input.routers.push_back(
        {.id = RouterId(absl::StrCat("router-", 1000 + i)), .zone = ZoneOf(i)});
  }
  input.self = input.routers.front();
  return input;
}

// A report of a router that is busy at every upstream it uses.
DemandReport MakeReport(const RoutingSnapshot& snapshot) {
  DemandReport report{.router = snapshot.self().id,
                      .incarnation = Incarnation(1764835200000000),
                      .sequence = 100000};
  for (const VersionGroup& group : snapshot.groups()) {
    GroupDemand demand{.group = group.name};
    for (TierDemand& tier : demand.tiers) {
      tier = {.running = 3, .waiting = 2};
    }
    report.groups.push_back(demand);
  }
  for (const RoutedUpstream& upstream : snapshot.upstreams()) {
    report.upstreams.push_back({.upstream = upstream.spec.id,
                                .running = 4,
                                .pending_prefill = Tokens(2000)});
  }
  return report;
}

size_t EncodedBytes(const DemandReport& report) {
  return EncodePeerMessage(report).size();
}

std::vector<Figure> RunDemandReports() {
  std::vector<Figure> figures;
  for (const FleetSize& size : kSizes) {
    const std::shared_ptr<const RoutingSnapshot> snapshot =
        RoutingSnapshot::Build(MakeInput(size));
    const DemandReport report = MakeReport(*snapshot);
    const std::map<RouterId, DemandReport> parts =
        SplitDemandReport(report, *snapshot);
    const double peers = static_cast<double>(parts.size());
    size_t sent = 0;
    for (const auto& [router, part] : parts) {
      sent += EncodedBytes(part);
    }
    const std::string variant = absl::StrCat("[", size.routers, "]");
    figures.push_back(
        {.name = absl::StrCat("capacity.demand_upstreams", variant),
         .value = static_cast<double>(report.upstreams.size()),
         .unit = "upstreams/router"});
    figures.push_back({.name = absl::StrCat("capacity.demand_peers", variant),
                       .value = peers,
                       .unit = "routers"});
    figures.push_back({.name = absl::StrCat("capacity.demand_report", variant),
                       .value = static_cast<double>(EncodedBytes(report)),
                       .unit = "bytes"});
    figures.push_back({.name = absl::StrCat("capacity.demand_sent", variant),
                       .value = static_cast<double>(sent) * kReportsPerSecond,
                       .unit = "bytes/s",
                       .baseline = static_cast<double>(EncodedBytes(report)) *
                                   peers * kReportsPerSecond,
                       .target = 15.0 * 1024,
                       .better = Better::kLower});
    figures.push_back({.name = absl::StrCat("capacity.demand_codec", variant),
                       .value = TimePerCallNs([&report] {
                         const absl::StatusOr<PeerMessage> back =
                             DecodePeerMessage(EncodePeerMessage(report));
                         if (!back.ok()) {
                           std::abort();
                         }
                       }),
                       .unit = "ns"});
  }
  return figures;
}

const bool kDemandReports =
    RegisterMeasure({"capacity.demand", RunDemandReports});

}  // namespace
}  // namespace papaya::bench
