// Measures how soon all routers stop sending requests to a bad version, and the
// memory, time and bandwidth that a note in progress and a row of counts take.

#include <algorithm>
#include <optional>

#include "absl/strings/str_cat.h"
#include "bench/measure.h"
#include "bench/rollout_scenario.h"
#include "tests/fakes/rollout_notes.h"

namespace papaya::bench {

namespace {

constexpr int kSeeds = 20;

// Returns the seconds from the time at which the version was first found bad to
// the last request sent to it. The holder of the note's lease is dead and the
// Object API unavailable before that.
double StopSeconds(uint64_t seed) {
  FakeRolloutOptions options = QuickOptions();
  options.tick = std::chrono::milliseconds(100);
  FakeRolloutFleet fleet(seed, options, NoteChart());
  std::optional<TimePoint> found;
  TimePoint last_sent;
  fleet.on_stop = [&](const StopFact&) { found = found.value_or(fleet.now()); };
  fleet.serve = [&](const UpstreamSpec&, const VersionId& version,
                    const RouteId&) {
    const bool is_new = version == VersionId("v2");
    last_sent = is_new ? fleet.now() : last_sent;
    return FakeReply{fleet.random.Chance(is_new ? 0.2 : 0.005),
                     std::chrono::milliseconds(200)};
  };
  RunNote(&fleet, FirstNote(&fleet, 9), std::chrono::minutes(5));
  const SampleNote note =
      VersionNote(fleet, "move", "v2", std::chrono::minutes(30));
  fleet.note_store.Submit(MakeRequest(note, "anna", ObjectVersion(0)),
                          fleet.wall(), [](const NoteResult&) {});
  fleet.RunFor(std::chrono::seconds(60));
  FakeRouter* const holder = fleet.Holder();
  if (holder != nullptr) {
    fleet.Kill(holder);
  }
  fleet.backend.faults.is_out = true;
  fleet.rate = 20.0;
  for (int i = 0; i < 1200 && !found; ++i) {
    fleet.RunFor(std::chrono::seconds(1));
  }
  fleet.RunFor(std::chrono::seconds(30));
  constexpr double kNeverFound = 1200.0;
  return found ? std::max(0.0, ToSeconds(last_sent - *found)) : kNeverFound;
}

std::vector<Measurement> RunStopSeconds() {
  Measurement figure;
  figure.name = "rollout.stop_seconds";
  figure.unit = "s";
  figure.target = 2.0;
  figure.better = Better::kLower;
  figure.seeds = kSeeds;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    figure.value = std::max(figure.value, StopSeconds(seed));
  }
  return {figure};
}

// Returns a configuration with a pool of `replicas` and a note in progress.
FleetConfig ConfigWithNoteInProgress(size_t replicas) {
  FleetConfig config;
  config.revision = Revision(1);
  for (size_t i = 0; i < replicas; ++i) {
    UpstreamSpec upstream;
    upstream.id = UpstreamId(absl::StrCat("plans-", 10000 + i));
    upstream.pool = PoolId("plans");
    upstream.version = VersionId(i % 2 == 0 ? "v1" : "v2");
    config.upstreams.push_back(upstream);
  }
  config.shares = {
      {PoolId("plans"), VersionId("v1"), Permille(500), {}},
      {PoolId("plans"), VersionId("v2"), Permille(500), NoteId("move")}};
  return config;
}

// Counts one reply of each replica and returns the next report.
StatsReport CountOnce(const FleetConfig& config, VersionStats* stats) {
  for (const UpstreamSpec& upstream : config.upstreams) {
    stats->OnReply(upstream.pool, upstream.version, RouteId("plan"),
                   upstream.id, false, std::chrono::milliseconds(300));
  }
  return stats->MakeReport();
}

std::vector<Measurement> RunCapacity() {
  std::vector<Measurement> figures;
  for (const size_t replicas : {9, 45, 180, 450}) {
    const FleetConfig config = ConfigWithNoteInProgress(replicas);
    const int64_t before = LiveHeapBytes();
    VersionStats stats(RouterId("r"), Incarnation(1));
    VersionJudge judge({}, [](const StopFact&) {});
    stats.OnConfig(config);
    judge.OnConfig(config);
    const StatsReport report = CountOnce(config, &stats);
    judge.OnReport(report);
    TimePoint now(std::chrono::hours(1));
    judge.OnTick(now);
    const double heap = static_cast<double>(LiveHeapBytes() - before);
    const double look = TimePerCallNs([&] {
      judge.OnReport(CountOnce(config, &stats));
      now += std::chrono::seconds(1);
      judge.OnTick(now);
    });
    const std::string at = absl::StrCat("[", replicas, "]");
    const double rows = static_cast<double>(report.rows.size());
    figures.push_back({"capacity.note_bytes" + at, heap, "bytes"});
    figures.push_back({"capacity.note_look_ns" + at, look, "ns"});
    figures.push_back({"capacity.stats_row_bytes" + at, heap / rows, "bytes"});
    figures.push_back({"capacity.stats_row_wire_bytes" + at,
                       static_cast<double>(EstimateReportBytes(report)) / rows,
                       "bytes"});
  }
  return figures;
}

const bool kRegistered[] = {
    RegisterMeasure({"rollout.stop_seconds", &RunStopSeconds}),
    RegisterMeasure({"capacity.rollout", &RunCapacity}),
};

}  // namespace

}  // namespace papaya::bench
