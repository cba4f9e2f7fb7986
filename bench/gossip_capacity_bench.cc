#include <time.h>

#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "bench/measure.h"
#include "include/config/config_delta.h"
#include "include/config/fleet_config_check.h"
#include "src/config/config_history.h"
#include "tests/fakes/gossip_fleet.h"
#include "tests/fakes/sample_config.h"

namespace papaya::bench {

namespace {

constexpr Duration kWarmUp = std::chrono::seconds(20);
constexpr Duration kWatched = std::chrono::seconds(30);
constexpr size_t kChangedUpstreams = 5;

// Least squares through (x, y): the slope, and the largest distance of a point
// from the line as a share of the largest y.
struct Line {
  double slope = 0.0;
  double residual = 0.0;
};

Line FitLine(const std::vector<double>& x, const std::vector<double>& y) {
  const double n = static_cast<double>(x.size());
  double sx = 0.0, sy = 0.0, sxx = 0.0, sxy = 0.0, top = 0.0;
  for (size_t i = 0; i < x.size(); ++i) {
    sx += x[i];
    sy += y[i];
    sxx += x[i] * x[i];
    sxy += x[i] * y[i];
    top = std::max(top, y[i]);
  }
  Line line;
  line.slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
  const double start = (sy - line.slope * sx) / n;
  for (size_t i = 0; i < x.size(); ++i) {
    const double miss = std::abs(start + line.slope * x[i] - y[i]);
    line.residual = std::max(line.residual, miss / top);
  }
  return line;
}

// One quantity at several sizes, with its slope.
class Slope {
 public:
  Slope(std::string name, std::string unit, std::string per)
      : name_(std::move(name)), unit_(std::move(unit)), per_(std::move(per)) {}

  void Add(size_t size, double value) {
    sizes_.push_back(static_cast<double>(size));
    values_.push_back(value);
  }

  void AppendTo(std::vector<Measurement>* figures) const {
    for (size_t i = 0; i < sizes_.size(); ++i) {
      figures->push_back({.name = absl::StrCat(name_, "[", sizes_[i], "]"),
                          .value = values_[i],
                          .unit = unit_});
    }
    const Line line = FitLine(sizes_, values_);
    figures->push_back({.name = name_ + "_slope",
                        .value = line.slope,
                        .unit = unit_ + "_per_" + per_});
    figures->push_back({.name = name_ + "_residual",
                        .value = line.residual,
                        .unit = "share_of_largest"});
  }

 private:
  const std::string name_;
  const std::string unit_;
  const std::string per_;
  std::vector<double> sizes_;
  std::vector<double> values_;
};

double ThreadSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * 1e-9;
}

double BytesOfAll(const GossipFleet& fleet) {
  double bytes = 0.0;
  for (size_t i = 0; i < fleet.link.size(); ++i) {
    bytes += static_cast<double>(fleet.link.use(i).bytes);
  }
  return bytes;
}

FleetShape ShapeOf(size_t routers) {
  return routers == kTodaysFleet.routers ? kTodaysFleet
                                         : FleetShape{routers, 12, 5};
}

// State, traffic and processor time of one router among `n`; the fake link's
// own share is in them, so they are upper bounds.
std::vector<Measurement> RunPeers() {
  Slope state("capacity.router_state", "B", "peer");
  Slope quiet("capacity.gossip_quiet", "B/s", "router");
  Slope change("capacity.gossip_change", "B_per_change", "router");
  Slope cpu("capacity.gossip_cpu", "ns_per_second", "router");
  for (size_t routers : {7, 50, 150, 390}) {
    const double n = static_cast<double>(routers);
    const int64_t heap = LiveHeapBytes();
    GossipFleet fleet(ShapeOf(routers), 1);
    Random random(1);
    const FleetConfig config = MakeSampleConfig(Revision(1), 20, &random);
    fleet.Publish(config);
    fleet.StartAll();
    fleet.queue.RunFor(kWarmUp);
    state.Add(routers, static_cast<double>(LiveHeapBytes() - heap) / n);

    const double bytes = BytesOfAll(fleet);
    const double seconds = ThreadSeconds();
    fleet.queue.RunFor(kWatched);
    const double watched = ToSeconds(kWatched);
    const double quiet_bytes = BytesOfAll(fleet) - bytes;
    quiet.Add(routers, quiet_bytes / n / watched);
    cpu.Add(routers, (ThreadSeconds() - seconds) * 1e9 / n / watched);

    fleet.Publish(MakeNextConfig(config, kChangedUpstreams, &random));
    fleet.queue.RunFor(kWatched);
    change.Add(routers, (BytesOfAll(fleet) - bytes - 2 * quiet_bytes) / n);
  }
  std::vector<Measurement> figures;
  for (const Slope* slope : {&state, &quiet, &change, &cpu}) {
    slope->AppendTo(&figures);
  }
  return figures;
}

// What one configuration costs by its number of upstreams.
std::vector<Measurement> RunUpstreams() {
  Slope state("capacity.config_state", "B", "upstream");
  Slope snapshot("capacity.config_snapshot", "B", "upstream");
  Slope json("capacity.config_json", "B", "upstream");
  Slope adopt("capacity.config_adopt", "ns", "upstream");
  Slope parse("capacity.config_parse", "ns", "upstream");
  for (size_t upstreams : {100, 400, 1200, 3600}) {
    Random random(1);
    const int64_t heap = LiveHeapBytes();
    const auto config = std::make_shared<const FleetConfig>(
        MakeSampleConfig(Revision(1), upstreams, &random));
    state.Add(upstreams, static_cast<double>(LiveHeapBytes() - heap));
    snapshot.Add(upstreams,
                 static_cast<double>(EncodedSize(ConfigSnapshot{0, config})));
    const std::string text = FleetConfigToJson(*config);
    json.Add(upstreams, static_cast<double>(text.size()));
    const ConfigDelta delta = DiffConfigs(
        *config, MakeNextConfig(*config, kChangedUpstreams, &random));
    const uint64_t hash = HashConfig(*config);
    adopt.Add(upstreams, TimePerCallNs([&] {
                const absl::StatusOr<FleetConfig> next =
                    ApplyDelta(*config, hash, delta);
                if (!next.ok() || !CheckFleetConfig(*next).empty()) {
                  throw std::runtime_error("the delta does not apply");
                }
              }));
    parse.Add(upstreams, TimePerCallNs([&] {
                if (!ParseFleetConfigJson(text).ok()) {
                  throw std::runtime_error("the text does not read back");
                }
              }));
  }
  std::vector<Measurement> figures;
  for (const Slope* slope : {&state, &snapshot, &json, &adopt, &parse}) {
    slope->AppendTo(&figures);
  }
  return figures;
}

// What the deltas of past revisions keep, and one on the wire.
std::vector<Measurement> RunRevisions() {
  Slope state("capacity.revision_state", "B", "revision");
  Random random(1);
  FleetConfig config = MakeSampleConfig(Revision(1), 3600, &random);
  std::vector<ConfigDelta> deltas;
  for (size_t i = 0; i < ConfigHistory::kMaxDeltas; ++i) {
    const FleetConfig next = MakeNextConfig(config, kChangedUpstreams, &random);
    deltas.push_back(DiffConfigs(config, next));
    config = next;
  }
  for (size_t revisions : {4, 16, 32, 64}) {
    const int64_t heap = LiveHeapBytes();
    ConfigHistory history;
    for (size_t i = 0; i < revisions; ++i) {
      history.Add(deltas[i]);
    }
    state.Add(revisions, static_cast<double>(LiveHeapBytes() - heap));
  }
  std::vector<Measurement> figures;
  state.AppendTo(&figures);
  figures.push_back(
      {.name = "capacity.revision_delta",
       .value = static_cast<double>(EncodedSize(ConfigDeltas{{deltas[0]}})),
       .unit = "B"});
  return figures;
}

const bool kPeersRegistered =
    RegisterMeasure({"capacity.gossip_peers", &RunPeers});
const bool kUpstreamsRegistered =
    RegisterMeasure({"capacity.config_upstreams", &RunUpstreams});
const bool kRevisionsRegistered =
    RegisterMeasure({"capacity.config_revisions", &RunRevisions});

}  // namespace

}  // namespace papaya::bench
