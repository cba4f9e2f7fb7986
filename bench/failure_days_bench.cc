#include <functional>
#include <string>
#include <vector>

#include "bench/measure.h"
#include "bench/seed_runner.h"
#include "tests/fakes/gossip_fleet.h"
#include "tests/fakes/sample_config.h"

namespace papaya::bench {

namespace {

constexpr Duration kWarmUp = std::chrono::seconds(20);
constexpr size_t kUpstreams = 360;
constexpr Duration kMaxRecovery = std::chrono::seconds(120);

// A failure of the planned fleet: what begins it, and what ends it.
struct Failure {
  std::string name;
  size_t upstreams = kUpstreams;
  std::function<void(GossipFleet*)> begin;
  Duration lasts{};
  std::function<void(GossipFleet*)> end;
};

void StopZone(GossipFleet* fleet, int zone, size_t count) {
  for (size_t i = 0; i < fleet->nodes.size() && count > 0; ++i) {
    if (fleet->link.place(i).zone == zone) {
      fleet->Stop(i);
      --count;
    }
  }
}

void RestartStopped(GossipFleet* fleet) {
  for (size_t i = 0; i < fleet->nodes.size(); ++i) {
    if (!fleet->IsUp(i)) {
      fleet->Start(i);
    }
  }
}

void CutRegion(GossipFleet* fleet, int region) {
  fleet->link.is_cut = [fleet, region](size_t a, size_t b) {
    return (fleet->link.place(a).region == region) !=
           (fleet->link.place(b).region == region);
  };
}

std::vector<Failure> Failures() {
  const auto nothing = [](GossipFleet*) {};
  return {
      {.name = "one_restart",
       .begin = [](GossipFleet* fleet) { fleet->Start(100); },
       .lasts = std::chrono::seconds(1),
       .end = nothing},
      {.name = "one_new_router",
       .begin = [](GossipFleet* fleet) { fleet->Stop(100); },
       .lasts = std::chrono::seconds(30),
       .end = &RestartStopped},
      {.name = "all_restart_at_once",
       .upstreams = 3600,
       .begin = [](GossipFleet* fleet) { fleet->StartAll(); },
       .lasts = std::chrono::seconds(1),
       .end = nothing},
      {.name = "rack",
       .begin = [](GossipFleet* fleet) { StopZone(fleet, 4, 16); },
       .lasts = std::chrono::seconds(60),
       .end = &RestartStopped},
      {.name = "zone",
       .begin = [](GossipFleet* fleet) { StopZone(fleet, 4, 390); },
       .lasts = std::chrono::seconds(60),
       .end = &RestartStopped},
      {.name = "region_apart",
       .begin = [](GossipFleet* fleet) { CutRegion(fleet, 4); },
       .lasts = std::chrono::minutes(10),
       .end = [](GossipFleet* fleet) { fleet->link.is_cut = nullptr; }},
  };
}

bool IsWhole(const GossipFleet& fleet) {
  for (const GossipFleet::Node& node : fleet.nodes) {
    if (node.membership == nullptr || node.spreader->config() == nullptr ||
        node.membership->view().routers.size() != fleet.nodes.size()) {
      return false;
    }
  }
  return true;
}

// Bytes and messages of all routers, and store calls, since the last look.
class Meter {
 public:
  explicit Meter(const GossipFleet* fleet) : fleet_(fleet) { Read(); }

  // Adds up what came since the last call.
  void Read() {
    double bytes = 0.0;
    double messages = 0.0;
    for (size_t i = 0; i < fleet_->nodes.size(); ++i) {
      bytes += static_cast<double>(fleet_->link.use(i).bytes);
      messages += static_cast<double>(fleet_->link.use(i).messages);
    }
    const double n = static_cast<double>(fleet_->nodes.size());
    last_bytes_ = bytes / n - bytes_;
    bytes_ = bytes / n;
    messages_ = messages / n;
    const double calls = static_cast<double>(fleet_->store.calls());
    last_calls_ = calls - calls_;
    calls_ = calls;
  }

  double bytes() const { return bytes_; }
  double messages() const { return messages_; }
  double calls() const { return calls_; }
  double last_bytes() const { return last_bytes_; }
  double last_calls() const { return last_calls_; }

 private:
  const GossipFleet* fleet_;
  double bytes_ = 0.0;
  double messages_ = 0.0;
  double calls_ = 0.0;
  double last_bytes_ = 0.0;
  double last_calls_ = 0.0;
};

// Kilobytes and messages a router, the busiest second's of both bytes and
// store calls, all store calls, seconds from the end to the fleet being whole.
std::vector<double> RunFailure(const Failure& failure) {
  GossipFleet fleet(kPlannedFleet, 1);
  Random random(1);
  fleet.Publish(MakeSampleConfig(Revision(1), failure.upstreams, &random));
  fleet.StartAll();
  fleet.queue.RunFor(kWarmUp);
  Meter meter(&fleet);
  const double bytes = meter.bytes();
  const double messages = meter.messages();
  const double calls = meter.calls();
  double busiest_bytes = 0.0;
  double busiest_calls = 0.0;
  const auto run_second = [&] {
    fleet.queue.RunFor(std::chrono::seconds(1));
    meter.Read();
    busiest_bytes = std::max(busiest_bytes, meter.last_bytes());
    busiest_calls = std::max(busiest_calls, meter.last_calls());
  };
  failure.begin(&fleet);
  for (Duration done{}; done < failure.lasts; done += std::chrono::seconds(1)) {
    run_second();
  }
  failure.end(&fleet);
  const TimePoint ended = fleet.queue.now();
  while (!IsWhole(fleet) && fleet.queue.now() - ended < kMaxRecovery) {
    run_second();
  }
  return {(meter.bytes() - bytes) / 1024.0,
          meter.messages() - messages,
          busiest_bytes / 1024.0,
          meter.calls() - calls,
          busiest_calls,
          ToSeconds(fleet.queue.now() - ended)};
}

std::vector<Measurement> RunFailures() {
  const std::vector<Failure> failures = Failures();
  const std::vector<std::vector<double>> results =
      RunSeeds(static_cast<int>(failures.size()),
               [&](uint64_t index) { return RunFailure(failures[index - 1]); });
  const std::vector<std::pair<std::string, std::string>> columns = {
      {"kilobytes", "KiB_per_router"},
      {"messages", "messages_per_router"},
      {"busiest_second", "KiB/s_per_router"},
      {"store_calls", "calls"},
      {"store_busiest_second", "calls/s"},
      {"recovery", "s"}};
  std::vector<Measurement> figures;
  for (size_t i = 0; i < failures.size(); ++i) {
    for (size_t column = 0; column < columns.size(); ++column) {
      figures.push_back({.name = "capacity.failure_" + failures[i].name + "_" +
                                 columns[column].first + "[390]",
                         .value = results[i][column],
                         .unit = columns[column].second,
                         .seeds = 1});
    }
  }
  return figures;
}

const bool kFailuresRegistered =
    RegisterMeasure({"capacity.failure_days", &RunFailures});

}  // namespace

}  // namespace papaya::bench
