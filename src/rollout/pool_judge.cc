#include "src/rollout/pool_judge.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <optional>
#include <vector>

#include "src/rollout/defect_odds.h"

namespace papaya {

namespace {

// The limit on replicas that are judged one by one. Replicas beyond it, and
// those that reports do not name, are judged together.
constexpr size_t kMaxReplicas = 16;
// The limit on router incarnations whose reports are kept.
constexpr size_t kMaxReportSources = 512;
// The interval between the times at which a version may have become bad.
constexpr Duration kChangePointInterval = std::chrono::seconds(30);
// The very slow replies are about this fraction of all.
constexpr double kVerySlowFraction = 0.08;
// Latencies are ranked only when earlier windows of the stratum have this many
// successful requests.
constexpr uint32_t kMinRequestsForScale = 20;
// The bound on the probability of a false alarm by the evidence without any one
// replica. A whole version is found bad only if this evidence suffices, too,
// because a bad version is bad on several replicas.
constexpr double kLeaveOneOutFalseAlarm = 0.05;
// The fraction of the false alarm probability that is used for versions. The
// rest is used for single replicas.
constexpr double kVersionAlarmFraction = 0.75;

uint32_t CountSucceeded(const StatsCounts& counts) {
  return counts.requests - counts.failures;
}

uint32_t CountFromBucket(const StatsCounts& counts, size_t edge) {
  uint32_t above = 0;
  for (size_t i = edge; i < kLatencyBuckets; ++i) {
    above += counts.latency[i];
  }
  return above;
}

// Returns the bucket for which the fraction of replies at or above it is
// nearest to `part`.
size_t ChooseEdgeBucket(const StatsCounts& counts, double part) {
  const double all = CountSucceeded(counts);
  size_t best = 1;
  double best_gap = 2.0;
  for (size_t edge = 1; edge < kLatencyBuckets; ++edge) {
    const double gap = std::abs(CountFromBucket(counts, edge) / all - part);
    if (gap < best_gap) {
      best = edge;
      best_gap = gap;
    }
  }
  return best;
}

StatsCounts Subtract(const StatsCounts& a, const StatsCounts& b) {
  StatsCounts difference;
  difference.requests = a.requests - b.requests;
  difference.failures = a.failures - b.failures;
  for (size_t i = 0; i < kLatencyBuckets; ++i) {
    difference.latency[i] = a.latency[i] - b.latency[i];
  }
  return difference;
}

}  // namespace

PoolJudge::PoolJudge(const VersionJudgeOptions& options,
                     const NoteId& note,
                     const PoolId& pool,
                     const VersionId& version)
    : options_(options), note_(note), pool_(pool), version_(version) {}

void PoolJudge::AddCounts(const StatsCounts& delta, StatsCounts* sum) {
  sum->requests += delta.requests;
  sum->failures += delta.failures;
  for (size_t i = 0; i < kLatencyBuckets; ++i) {
    sum->latency[i] += delta.latency[i];
  }
}

void PoolJudge::OnConfig(const FleetConfig& config) {
  configured_replicas_.clear();
  for (const UpstreamSpec& upstream : config.upstreams) {
    if (upstream.pool != pool_) {
      continue;
    }
    is_engine_ = upstream.kind == UpstreamKind::kModelEngine;
    const auto [place, is_new] = configured_replicas_.try_emplace(
        upstream.generation, ReplicaCounts{0, 0});
    ReplicaCounts& counts = place->second;
    ++(upstream.version == version_ ? counts.candidate : counts.old);
  }
}

void PoolJudge::OnRow(const RouterId& router,
                      Incarnation incarnation,
                      const StatsRow& row) {
  if (row.key.note != note_ || row.key.pool != pool_) {
    return;
  }
  const std::pair<RouterId, Incarnation> source(router, incarnation);
  if (!reported_.contains(source) && reported_.size() >= kMaxReportSources) {
    return;
  }
  absl::flat_hash_map<StatsKey, StatsCounts>& rows = reported_[source];
  const auto [place, is_new] = rows.try_emplace(row.key);
  if (is_new && rows.size() > VersionStats::kMaxRows) {
    rows.erase(place);
    return;
  }
  StatsCounts& known = place->second;
  if (row.counts.requests <= known.requests) {
    return;  // a duplicate, or older than a report already merged
  }
  const StatsCounts delta = Subtract(row.counts, known);
  known = row.counts;
  has_new_counts_ = true;
  Stratum& failures = strata_[{row.key.route, std::nullopt}];
  Stratum& latencies = strata_[{row.key.route, row.key.generation}];
  if (row.key.version != version_) {
    AddOld(delta, &failures);
    AddOld(delta, &latencies);
    return;
  }
  const bool is_named =
      replicas_.contains(row.key.upstream) || replicas_.size() < kMaxReplicas;
  const UpstreamId replica = is_named ? row.key.upstream : UpstreamId();
  replicas_.insert(replica);
  AddCandidate(delta, replica, &failures);
  AddCandidate(delta, replica, &latencies);
}

void PoolJudge::AddOld(const StatsCounts& delta, Stratum* stratum) {
  stratum->old += delta.requests;
  AddCounts(delta, &stratum->total.old);
}

void PoolJudge::AddCandidate(const StatsCounts& delta,
                             const UpstreamId& replica,
                             Stratum* stratum) {
  stratum->candidate += delta.requests;
  AddCounts(delta, &stratum->total.replicas[replica]);
}

bool PoolJudge::IsWindowDue(const Stratum& stratum, TimePoint now) const {
  if (stratum.candidate == 0 || stratum.old == 0) {
    return false;
  }
  const uint64_t enough = static_cast<uint64_t>(options_.min_requests);
  return (stratum.candidate >= enough && stratum.old >= enough) ||
         now - stratum.window_start.value_or(now) >= options_.max_window;
}

void PoolJudge::CloseWindow(const StratumId& id,
                            Stratum* stratum,
                            TimePoint now) {
  StratumCounts window;
  window.old = Subtract(stratum->total.old, stratum->compared.old);
  StatsCounts before = stratum->compared.old;
  for (const auto& [replica, counts] : stratum->total.replicas) {
    StatsCounts& compared = stratum->compared.replicas[replica];
    AddCounts(compared, &before);
    const StatsCounts delta = Subtract(counts, compared);
    if (delta.requests > 0) {
      window.replicas[replica] = delta;
    }
  }
  // The scale is computed from earlier windows only, so that it does not depend
  // on the replies that are compared by it.
  std::optional<LatencyScale> scale;
  if (CountSucceeded(before) >= kMinRequestsForScale) {
    scale = {RankScores(before), ChooseEdgeBucket(before, kVerySlowFraction)};
  }
  CompareWindow(id, window, scale);
  stratum->compared = stratum->total;
  stratum->window_start = now;
  stratum->candidate = 0;
  stratum->old = 0;
}

void PoolJudge::AddSubsets() {
  // A new replica contributed nothing to the evidence so far, so the evidence
  // without it starts as the evidence against all replicas.
  const SubsetEvidence total_evidence =
      subsets_[{SubsetKind::kAll, UpstreamId()}];
  for (const UpstreamId& replica : replicas_) {
    subsets_.try_emplace({SubsetKind::kWithout, replica}, total_evidence);
  }
}

void PoolJudge::CompareWindow(const StratumId& id,
                              const StratumCounts& window,
                              const std::optional<LatencyScale>& scale) {
  AddSubsets();
  std::map<SubsetId, StatsCounts> counts_by_subset;
  for (const auto& [replica, counts] : window.replicas) {
    AddCounts(counts, &counts_by_subset[{SubsetKind::kAll, UpstreamId()}]);
    if (!replica.empty()) {
      AddCounts(counts, &counts_by_subset[{SubsetKind::kOnly, replica}]);
    }
    for (const UpstreamId& other : replicas_) {
      if (other != replica) {
        AddCounts(counts, &counts_by_subset[{SubsetKind::kWithout, other}]);
      }
    }
    requests_ += id.second.has_value() ? 0 : counts.requests;
  }
  for (const auto& [subset_id, candidate] : counts_by_subset) {
    SubsetEvidence& subset = subsets_[subset_id];
    std::array<EvidenceProcess, kMetrics>& route_processes =
        subset.by_route[id.first];
    for (size_t i = 0; i < kMetrics; ++i) {
      const std::optional<LogRatios> ratios = RatiosOf(
          id, subset_id, static_cast<Metric>(i), candidate, window.old, scale);
      if (!ratios) {
        continue;
      }
      subset.overall[i].Multiply(*ratios);
      route_processes[i].Multiply(*ratios);
    }
  }
}

std::optional<LogRatios> PoolJudge::RatiosOf(
    const StratumId& id,
    const SubsetId& subset,
    Metric metric,
    const StatsCounts& candidate,
    const StatsCounts& old,
    const std::optional<LatencyScale>& scale) const {
  const Subject subject =
      subset.first == SubsetKind::kOnly ? Subject::kReplica : Subject::kVersion;
  const bool is_failure = metric == Metric::kFailure;
  const bool is_compared_here = is_failure != id.second.has_value();
  if (!is_compared_here || (!is_failure && !scale)) {
    return std::nullopt;
  }
  if (is_failure) {
    return LogLikelihoodRatios(
        {candidate.failures, candidate.requests, old.failures, old.requests},
        metric, subject);
  }
  if (metric == Metric::kLatency) {
    return LatencyLogRatios(candidate, old, scale->scores,
                            CountReplicas(id, subset), subject);
  }
  return LogLikelihoodRatios(
      {CountFromBucket(candidate, scale->first_very_slow_bucket),
       CountSucceeded(candidate),
       CountFromBucket(old, scale->first_very_slow_bucket),
       CountSucceeded(old)},
      metric, subject);
}

ReplicaCounts PoolJudge::CountReplicas(const StratumId& id,
                                       const SubsetId& subset) const {
  const auto found =
      configured_replicas_.find(id.second.value_or(GenerationId()));
  if (found == configured_replicas_.end()) {
    return {};
  }
  ReplicaCounts counts = found->second;
  if (subset.first == SubsetKind::kWithout && counts.candidate > 0) {
    --counts.candidate;
  }
  return counts;
}

void PoolJudge::AddChangePoints(TimePoint now) {
  if (next_change_point_ && now < *next_change_point_) {
    return;
  }
  next_change_point_ = now + kChangePointInterval;
  for (auto& [id, subset] : subsets_) {
    for (EvidenceProcess& process : subset.overall) {
      process.AddChangePoint();
    }
    for (auto& [route, processes] : subset.by_route) {
      for (EvidenceProcess& process : processes) {
        process.AddChangePoint();
      }
    }
  }
}

void PoolJudge::Evaluate(TimePoint now, std::vector<StopFact>* found) {
  AddChangePoints(now);
  bool has_new_window = false;
  for (auto& [id, stratum] : strata_) {
    stratum.window_start = stratum.window_start.value_or(now);
    if (IsWindowDue(stratum, now)) {
      CloseWindow(id, &stratum, now);
      has_new_window = true;
    }
  }
  if (has_new_window) {
    AddNewFindings(found);
  }
}

StopFact PoolJudge::MakeFact(const SubsetEvidence& subset,
                             const UpstreamId& upstream) const {
  const auto [metric, route] = subset.StrongestPart();
  const StopCause cause =
      metric == Metric::kFailure ? StopCause::kFailures : StopCause::kLatency;
  return {note_, pool_, version_, upstream, cause, route};
}

// Returns true if, for each replica, the evidence without it suffices on the
// metric and route where the evidence against all replicas is strongest.
bool PoolJudge::HoldsWithoutAnyOne(const SubsetEvidence& all) const {
  const SubsetEvidence::Part part = all.StrongestPart();
  return std::all_of(
      replicas_.begin(), replicas_.end(), [&](const UpstreamId& replica) {
        const auto without = subsets_.find({SubsetKind::kWithout, replica});
        return without != subsets_.end() &&
               without->second.LogOf(part) >= -std::log(kLeaveOneOutFalseAlarm);
      });
}

void PoolJudge::AddNewFindings(std::vector<StopFact>* found) {
  const auto all = subsets_.find({SubsetKind::kAll, UpstreamId()});
  if (is_version_stopped_ || all == subsets_.end()) {
    return;
  }
  log_evidence_ = all->second.LogEvidence();
  cause_ = MakeFact(all->second, UpstreamId()).cause;
  const double version_bound =
      -std::log(options_.false_alarm_probability * kVersionAlarmFraction);
  const double replica_bound = -std::log(options_.false_alarm_probability *
                                         (1.0 - kVersionAlarmFraction) /
                                         static_cast<double>(replicas_.size()));
  if (log_evidence_ >= version_bound && HoldsWithoutAnyOne(all->second)) {
    is_version_stopped_ = true;
    found->push_back(MakeFact(all->second, UpstreamId()));
    return;
  }
  for (const UpstreamId& replica : replicas_) {
    const auto only = subsets_.find({SubsetKind::kOnly, replica});
    if (only != subsets_.end() && !stopped_replicas_.contains(replica) &&
        only->second.LogEvidence() >= replica_bound) {
      stopped_replicas_.insert(replica);
      found->push_back(MakeFact(only->second, replica));
    }
  }
}

VersionEvidence PoolJudge::Evidence() const {
  VersionEvidence evidence;
  evidence.note = note_;
  evidence.pool = pool_;
  evidence.version = version_;
  evidence.requests = requests_;
  for (const auto& [id, stratum] : strata_) {
    if (id.second.has_value()) {
      continue;  // the same requests as in the stratum without a generation
    }
    evidence.reported_old += stratum.total.old.requests;
    for (const auto& [replica, counts] : stratum.total.replicas) {
      evidence.reported_new += counts.requests;
    }
  }
  evidence.log_evidence = log_evidence_;
  evidence.cause = cause_;
  evidence.log_defect_odds = DefectOdds();
  return evidence;
}

double PoolJudge::DefectOdds() const {
  if (!has_new_counts_) {
    return log_defect_odds_;
  }
  has_new_counts_ = false;
  std::vector<RouteCounts> routes;
  for (const auto& [id, stratum] : strata_) {
    // The strata without a generation have all requests of their route.
    if (id.second.has_value()) {
      continue;
    }
    RouteCounts& route = routes.emplace_back();
    route.old_version = stratum.total.old;
    for (const auto& [replica, counts] : stratum.total.replicas) {
      route.new_upstreams.push_back(counts);
    }
  }
  log_defect_odds_ = LogDefectOdds(
      routes,
      is_engine_ ? options_.engine_speed_spread : options_.service_speed_spread,
      options_.new_latency_scale);
  return log_defect_odds_;
}

size_t PoolJudge::ApproximateBytes() const {
  size_t bytes = sizeof(*this);
  for (const auto& [source, rows] : reported_) {
    bytes += sizeof(source) + rows.size() * (sizeof(StatsRow) + 64);
  }
  for (const auto& [id, stratum] : strata_) {
    const size_t replicas =
        stratum.total.replicas.size() + stratum.compared.replicas.size();
    bytes += sizeof(stratum) + replicas * (sizeof(StatsCounts) + 96);
  }
  for (const auto& [id, subset] : subsets_) {
    bytes +=
        sizeof(subset) + subset.by_route.size() * (sizeof(subset.overall) + 96);
  }
  return bytes;
}

}  // namespace papaya
