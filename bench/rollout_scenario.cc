#include "bench/rollout_scenario.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"
#include "tests/fakes/rollout_notes.h"

namespace papaya::bench {

namespace {

constexpr double kBaseFailureRate = 0.005;
constexpr double kLatencySigma = 0.5;
// Sigma of the log-normal factor by which the latencies of engines of one kind
// differ.
constexpr double kVmSigma = 0.03;
// Load of a replica under normal traffic, as a fraction of its capacity.
constexpr double kNormalLoad = 0.6;
constexpr double kBusyLoad = 0.7;
constexpr double kFullLoad = 0.9;
// Time constant over which a replica's load is averaged.
constexpr double kLoadAverageSeconds = 60.0;
constexpr double kOverloadFactor = 1.6;
constexpr Duration kDisturbanceTime = std::chrono::minutes(10);
// The Object API is unavailable for a little less than half of the window.
constexpr Duration kOutageTime = kWindow * 45 / 100;
// A version whose latency grows (kSlowDecay) reaches its effect after this time
// and continues to get slower.
constexpr double kDecaySeconds = 1200.0;
constexpr Duration kSettleTime = std::chrono::minutes(4);

const VersionId& NewVersion() {
  static const VersionId version("v2");
  return version;
}

// Returns the median latency of a route in seconds: the deployment's first
// route is slow, the others are fast.
double MedianSeconds(const Scenario& scenario, const RouteId& route) {
  return route == scenario.deployment.routes.front() ? 4.0 : 0.6;
}

}  // namespace

const std::vector<Deployment>& Deployments() {
  static const std::vector<Deployment> deployments = {
      {"skokan", 9, 9.0, {RouteId("plan"), RouteId("chat"), RouteId("damage")}},
      {"wadi_rum",
       18,
       14.0,
       {RouteId("report"), RouteId("question"), RouteId("tag")}},
  };
  return deployments;
}

const char* ScenarioKindName(ScenarioKind kind) {
  switch (kind) {
    case ScenarioKind::kFailsAtOnce:
      return "fails_at_once";
    case ScenarioKind::kSlowAtOnce:
      return "slow_at_once";
    case ScenarioKind::kFailsLater:
      return "fails_later";
    case ScenarioKind::kFailsUnderLoad:
      return "fails_under_load";
    case ScenarioKind::kFailsOnOneRoute:
      return "fails_on_one_route";
    case ScenarioKind::kSlowDecay:
      return "slow_decay";
    case ScenarioKind::kGoodInNoise:
      return "noise";
    case ScenarioKind::kGoodOneBadVm:
      return "one_bad_vm";
    case ScenarioKind::kGoodInOverload:
      return "overload";
    case ScenarioKind::kGoodWithStraggler:
      return "straggler";
    case ScenarioKind::kGoodInStoreOutage:
      return "store_outage";
  }
  return "";
}

TrafficModel::TrafficModel(const Scenario& scenario, Random* random)
    : scenario_(scenario), random_(random) {
  const bool is_later = scenario.kind == ScenarioKind::kFailsLater;
  const double earliest = is_later ? 300.0 : 60.0;
  const double latest = is_later ? 2400.0 : 4800.0;
  onset_ =
      SecondsToDuration(earliest + random->Uniform() * (latest - earliest));
  if (scenario.kind == ScenarioKind::kGoodInStoreOutage) {
    onset_ = SecondsToDuration(random->Uniform() * ToSeconds(kWindow) * 0.55);
  }
  affected_upstream_ = UpstreamId(
      absl::StrCat("plans-", random->Below(scenario.deployment.replicas)));
}

bool TrafficModel::IsDuring(TimePoint now, Duration length) const {
  return now >= start_ + onset_ && now < start_ + onset_ + length;
}

bool TrafficModel::IsStoreUnavailable(TimePoint now) const {
  return scenario_.kind == ScenarioKind::kGoodInStoreOutage &&
         IsDuring(now, kOutageTime);
}

double TrafficModel::Rate(TimePoint now) const {
  const bool is_overload = scenario_.kind == ScenarioKind::kGoodInOverload &&
                           IsDuring(now, kDisturbanceTime);
  return scenario_.deployment.requests_per_second *
         (is_overload ? kOverloadFactor : 1.0);
}

double TrafficModel::ObserveLoad(const UpstreamId& upstream, TimePoint now) {
  Load& load = loads_[upstream];
  load.rate *= std::exp(-ToSeconds(now - load.at) / kLoadAverageSeconds);
  load.rate += 1.0 / kLoadAverageSeconds;
  load.at = now;
  const double normal = scenario_.deployment.requests_per_second /
                        static_cast<double>(scenario_.deployment.replicas);
  return kNormalLoad * load.rate / normal;
}

FakeReply TrafficModel::Serve(const UpstreamId& upstream,
                              const VersionId& version,
                              const RouteId& route,
                              TimePoint now) {
  ++requests_;
  const double load = ObserveLoad(upstream, now);
  const bool is_new = version == NewVersion();
  double failures = kBaseFailureRate + (load > kFullLoad ? 0.02 : 0.0);
  double slowness = 1.0 + 2.0 * std::max(0.0, load - kBusyLoad);
  if (!vm_factors_.contains(upstream)) {
    vm_factors_[upstream] = random_->LogNormal(1.0, kVmSigma);
  }
  slowness *= vm_factors_[upstream];
  if (is_new && scenario_.IsBad()) {
    ++bad_requests_;
    first_served_ = first_served_.value_or(now);
    const Duration served = now - *first_served_;
    const double added_failure_rate = scenario_.is_large ? 0.05 : 0.01;
    const double added_slowness = scenario_.is_large ? 0.5 : 0.15;
    const bool fails =
        scenario_.kind == ScenarioKind::kFailsAtOnce ||
        (scenario_.kind == ScenarioKind::kFailsLater && served >= onset_) ||
        (scenario_.kind == ScenarioKind::kFailsUnderLoad &&
         load > kNormalLoad / 2) ||
        (scenario_.kind == ScenarioKind::kFailsOnOneRoute &&
         route == scenario_.deployment.routes.back());
    failures += fails ? added_failure_rate : 0.0;
    const double effect_fraction = scenario_.kind == ScenarioKind::kSlowAtOnce
                                       ? 1.0
                                   : scenario_.kind == ScenarioKind::kSlowDecay
                                       ? ToSeconds(served) / kDecaySeconds
                                       : 0.0;
    slowness *= 1.0 + added_slowness * effect_fraction;
  }
  if (scenario_.kind == ScenarioKind::kGoodOneBadVm && is_new &&
      upstream == affected_upstream_) {
    failures += 0.10;
    slowness *= 1.8;
  }
  if (scenario_.kind == ScenarioKind::kGoodWithStraggler &&
      upstream == affected_upstream_ && IsDuring(now, kDisturbanceTime)) {
    slowness *= 2.5;
  }
  const double seconds =
      random_->LogNormal(MedianSeconds(scenario_, route), kLatencySigma) *
      slowness;
  return {random_->Chance(failures), SecondsToDuration(seconds)};
}

RunResult RunScenario(const Scenario& scenario) {
  FakeRolloutOptions options;
  options.routes = scenario.deployment.routes;
  FakeRolloutFleet fleet(scenario.seed, options, NoteChart());
  Random model_random(scenario.seed * 7919 + 13);
  TrafficModel model(scenario, &model_random);
  fleet.serve = [&](const UpstreamSpec& upstream, const VersionId& version,
                    const RouteId& route) {
    return model.Serve(upstream.id, version, route, fleet.now());
  };
  RunNote(&fleet, FirstNote(&fleet, scenario.deployment.replicas),
          std::chrono::minutes(5));
  model.Begin(fleet.now());
  const SampleNote note = VersionNote(fleet, "move", "v2", kWindow);
  fleet.note_store.Submit(MakeRequest(note, "anna", ObjectVersion(0)),
                          fleet.wall(), [](const NoteResult&) {});
  const TimePoint traffic_by = fleet.now() + kWindow;
  const uint64_t before = model.requests();
  RunResult result;
  std::optional<NoteRecord> record;
  while (fleet.now() < traffic_by + kSettleTime * 2) {
    fleet.backend.faults.is_out = model.IsStoreUnavailable(fleet.now());
    fleet.rate = model.Rate(fleet.now());
    fleet.RunFor(std::chrono::seconds(2));
    record = fleet.ReadNote(note.id);
    if (record && IsFinalNoteState(record->state)) {
      break;
    }
  }
  const uint64_t requests = model.requests() - before;
  const double rest =
      std::max(0.0, ToSeconds(traffic_by - fleet.now())) * fleet.rate;
  result.exposure = static_cast<double>(model.bad_requests()) /
                    (static_cast<double>(requests) + rest);
  result.is_on_time = fleet.now() <= traffic_by;
  result.is_stuck = !record || !IsFinalNoteState(record->state);
  result.is_done = record && record->state == kNoteDone;
  result.is_rolled_back = record && record->state == kNoteRolledBack;
  result.reason = record ? record->reason : "";
  fleet.RunFor(kSettleTime);
  const VersionId wanted(result.is_done ? "v2" : "v1");
  for (const UpstreamSpec& upstream : fleet.newest.upstreams) {
    const bool serves = fleet.engines[upstream.id].state.active == wanted;
    result.stale_engines += serves ? 0 : 1;
    result.is_status_wrong = result.is_status_wrong ||
                             upstream.version != wanted ||
                             !fleet.newest.shares.empty();
  }
  return result;
}

namespace {

constexpr double kCanaryShare = 0.02;
constexpr Duration kCanaryTime = std::chrono::minutes(10);
constexpr double kFailureThreshold = 0.03;
constexpr double kSlownessThreshold = 1.5;

struct Sums {
  uint64_t requests = 0;
  uint64_t failures = 0;
  double seconds = 0.0;

  void Add(const FakeReply& reply) {
    ++requests;
    failures += reply.failed ? 1 : 0;
    seconds += ToSeconds(reply.latency);
  }
  double FailureRate() const {
    return static_cast<double>(failures) /
           static_cast<double>(std::max<uint64_t>(1, requests));
  }
  double MeanSeconds() const {
    return seconds / static_cast<double>(std::max<uint64_t>(1, requests));
  }
};

}  // namespace

RunResult RunBaseline(const Scenario& scenario) {
  Random random(scenario.seed * 7919 + 13);
  TrafficModel model(scenario, &random);
  const TimePoint start(std::chrono::hours(1));
  model.Begin(start);
  Sums candidate;
  Sums old;
  RunResult result;
  double share = kCanaryShare;
  bool is_decided = false;
  const size_t replicas = scenario.deployment.replicas;
  for (TimePoint now = start; now < start + kWindow;
       now += SecondsToDuration(random.Exponential(1.0 / model.Rate(now)))) {
    const bool is_new = random.Chance(share);
    // The canary's share goes to one replica; after the decision, requests go
    // to all replicas.
    const size_t index = is_new && !is_decided ? 0 : random.Below(replicas);
    const RouteId& route =
        scenario.deployment
            .routes[random.Below(scenario.deployment.routes.size())];
    const FakeReply reply =
        model.Serve(UpstreamId(absl::StrCat("plans-", index)),
                    VersionId(is_new ? "v2" : "v1"), route, now);
    (is_new ? candidate : old).Add(reply);
    if (!is_decided && now >= start + kCanaryTime) {
      is_decided = true;
      const bool is_bad =
          candidate.FailureRate() > kFailureThreshold ||
          candidate.MeanSeconds() > kSlownessThreshold * old.MeanSeconds();
      result.is_rolled_back = is_bad;
      result.is_done = !is_bad;
      result.is_on_time = true;
      share = is_bad ? 0.0 : 1.0;
    }
  }
  result.exposure = static_cast<double>(model.bad_requests()) /
                    static_cast<double>(model.requests());
  return result;
}

}  // namespace papaya::bench
