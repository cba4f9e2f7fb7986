#include "src/rollout/pool_judge.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <optional>

namespace papaya {

namespace {

// Replicas beyond these, and those that are not named, are judged together.
constexpr size_t kMostReplicas = 16;
constexpr size_t kMostRouters = 512;
// Badness may begin at any of these times.
constexpr Duration kStartEvery = std::chrono::seconds(30);
// Replies are very slow where about so much of all is slower.
constexpr double kVerySlowPart = 0.08;
// Requests of a stratum before latencies are ranked by them.
constexpr uint32_t kFewestForScale = 20;
// The evidence that must be left without the worst replica, before a whole
// version is called bad: a bad version is bad on others too.
constexpr double kOthersFalseAlarm = 0.05;
// The part of the false alarms that is for versions; the rest is for replicas.
constexpr double kVersionAlarms = 0.75;

uint32_t Succeeded(const StatsCounts& counts) {
  return counts.requests - counts.failures;
}

uint32_t CountAbove(const StatsCounts& counts, size_t edge) {
  uint32_t above = 0;
  for (size_t i = edge; i < kLatencyBuckets; ++i) {
    above += counts.latency[i];
  }
  return above;
}

// The bucket at and above which a part of `counts` lies that is nearest to
// `part`.
size_t ChooseEdge(const StatsCounts& counts, double part) {
  const double all = Succeeded(counts);
  size_t best = 1;
  double best_gap = 2.0;
  for (size_t edge = 1; edge < kLatencyBuckets; ++edge) {
    const double gap = std::abs(CountAbove(counts, edge) / all - part);
    if (gap < best_gap) {
      best = edge;
      best_gap = gap;
    }
  }
  return best;
}

StatsCounts Minus(const StatsCounts& a, const StatsCounts& b) {
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

void PoolJudge::AddCounts(const StatsCounts& more, StatsCounts* sum) {
  sum->requests += more.requests;
  sum->failures += more.failures;
  for (size_t i = 0; i < kLatencyBuckets; ++i) {
    sum->latency[i] += more.latency[i];
  }
}

void PoolJudge::OnConfig(const FleetConfig& config) {
  configured_.clear();
  for (const UpstreamSpec& upstream : config.upstreams) {
    if (upstream.pool != pool_) {
      continue;
    }
    const auto [place, is_new] =
        configured_.try_emplace(upstream.generation, ReplicaCounts{0, 0});
    ReplicaCounts& counts = place->second;
    ++(upstream.version == version_ ? counts.fresh : counts.old);
  }
}

void PoolJudge::OnRow(const RouterId& router,
                      Incarnation incarnation,
                      const StatsRow& row) {
  if (row.key.note != note_ || row.key.pool != pool_) {
    return;
  }
  const std::pair<RouterId, Incarnation> source(router, incarnation);
  if (!reported_.contains(source) && reported_.size() >= kMostRouters) {
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
    return;  // a repetition, or overtaken
  }
  const StatsCounts more = Minus(row.counts, known);
  known = row.counts;
  Stratum& failures = strata_[{row.key.route, std::nullopt}];
  Stratum& latencies = strata_[{row.key.route, row.key.generation}];
  if (row.key.version != version_) {
    AddOld(more, &failures);
    AddOld(more, &latencies);
    return;
  }
  const bool is_named =
      replicas_.contains(row.key.upstream) || replicas_.size() < kMostReplicas;
  const UpstreamId replica = is_named ? row.key.upstream : UpstreamId();
  replicas_.insert(replica);
  AddFresh(more, replica, &failures);
  AddFresh(more, replica, &latencies);
}

void PoolJudge::AddOld(const StatsCounts& more, Stratum* stratum) {
  stratum->old += more.requests;
  AddCounts(more, &stratum->total.old);
}

void PoolJudge::AddFresh(const StatsCounts& more,
                         const UpstreamId& replica,
                         Stratum* stratum) {
  stratum->fresh += more.requests;
  AddCounts(more, &stratum->total.replicas[replica]);
}

bool PoolJudge::IsWindowDue(const Stratum& stratum, TimePoint now) const {
  if (stratum.fresh == 0 || stratum.old == 0) {
    return false;
  }
  const uint64_t enough = static_cast<uint64_t>(options_.min_requests);
  return (stratum.fresh >= enough && stratum.old >= enough) ||
         now - stratum.opened.value_or(now) >= options_.longest_window;
}

void PoolJudge::CloseWindow(const StratumId& id,
                            Stratum* stratum,
                            TimePoint now) {
  Counts window;
  window.old = Minus(stratum->total.old, stratum->compared.old);
  StatsCounts before = stratum->compared.old;
  for (const auto& [replica, counts] : stratum->total.replicas) {
    StatsCounts& compared = stratum->compared.replicas[replica];
    AddCounts(compared, &before);
    const StatsCounts more = Minus(counts, compared);
    if (more.requests > 0) {
      window.replicas[replica] = more;
    }
  }
  // The scale comes from earlier windows only, so that what is compared by it
  // had no say in it.
  std::optional<LatencyScale> scale;
  if (Succeeded(before) >= kFewestForScale) {
    scale = {RankScores(before), ChooseEdge(before, kVerySlowPart)};
  }
  Compare(id, window, scale);
  stratum->compared = stratum->total;
  stratum->opened = now;
  stratum->fresh = 0;
  stratum->old = 0;
}

void PoolJudge::AddViews() {
  // A replica that comes later had no part in what was seen before.
  const EvidenceView so_far = views_[{ViewKind::kAll, UpstreamId()}];
  for (const UpstreamId& replica : replicas_) {
    views_.try_emplace({ViewKind::kWithout, replica}, so_far);
  }
}

void PoolJudge::Compare(const StratumId& id,
                        const Counts& window,
                        const std::optional<LatencyScale>& scale) {
  AddViews();
  std::map<ViewId, StatsCounts> sides;
  for (const auto& [replica, counts] : window.replicas) {
    AddCounts(counts, &sides[{ViewKind::kAll, UpstreamId()}]);
    if (!replica.empty()) {
      AddCounts(counts, &sides[{ViewKind::kOnly, replica}]);
    }
    for (const UpstreamId& other : replicas_) {
      if (other != replica) {
        AddCounts(counts, &sides[{ViewKind::kWithout, other}]);
      }
    }
    requests_ += id.second.has_value() ? 0 : counts.requests;
  }
  for (const auto& [view_id, fresh] : sides) {
    EvidenceView& view = views_[view_id];
    std::array<EvidenceTrack, kQuantities>& on_route = view.by_route[id.first];
    for (size_t i = 0; i < kQuantities; ++i) {
      const std::optional<LogRatios> ratios = RatiosOf(
          id, view_id, static_cast<Quantity>(i), fresh, window.old, scale);
      if (!ratios) {
        continue;
      }
      view.overall[i].Multiply(*ratios);
      on_route[i].Multiply(*ratios);
    }
  }
}

std::optional<LogRatios> PoolJudge::RatiosOf(
    const StratumId& id,
    const ViewId& view,
    Quantity quantity,
    const StatsCounts& fresh,
    const StatsCounts& old,
    const std::optional<LatencyScale>& scale) const {
  const Suspect suspect =
      view.first == ViewKind::kOnly ? Suspect::kReplica : Suspect::kVersion;
  const bool is_failure = quantity == Quantity::kFailure;
  const bool is_of_stratum = is_failure != id.second.has_value();
  if (!is_of_stratum || (!is_failure && !scale)) {
    return std::nullopt;
  }
  if (is_failure) {
    return LogLikelihoodRatios(
        {fresh.failures, fresh.requests, old.failures, old.requests}, quantity,
        suspect);
  }
  if (quantity == Quantity::kLatency) {
    return LatencyLogRatios(fresh, old, scale->scores, CountReplicas(id, view),
                            suspect);
  }
  return LogLikelihoodRatios(
      {CountAbove(fresh, scale->very_slow), Succeeded(fresh),
       CountAbove(old, scale->very_slow), Succeeded(old)},
      quantity, suspect);
}

ReplicaCounts PoolJudge::CountReplicas(const StratumId& id,
                                       const ViewId& view) const {
  const auto found = configured_.find(id.second.value_or(GenerationId()));
  if (found == configured_.end()) {
    return {};
  }
  ReplicaCounts counts = found->second;
  if (view.first == ViewKind::kWithout && counts.fresh > 0) {
    --counts.fresh;
  }
  return counts;
}

void PoolJudge::AddStarts(TimePoint now) {
  if (next_start_ && now < *next_start_) {
    return;
  }
  next_start_ = now + kStartEvery;
  for (auto& [id, view] : views_) {
    for (EvidenceTrack& track : view.overall) {
      track.AddStart();
    }
    for (auto& [route, tracks] : view.by_route) {
      for (EvidenceTrack& track : tracks) {
        track.AddStart();
      }
    }
  }
}

void PoolJudge::Look(TimePoint now, std::vector<StopFact>* found) {
  AddStarts(now);
  bool has_more = false;
  for (auto& [id, stratum] : strata_) {
    stratum.opened = stratum.opened.value_or(now);
    if (IsWindowDue(stratum, now)) {
      CloseWindow(id, &stratum, now);
      has_more = true;
    }
  }
  if (has_more) {
    FindBad(found);
  }
}

StopFact PoolJudge::MakeFact(const EvidenceView& view,
                             const UpstreamId& upstream) const {
  const auto [quantity, route] = view.MainPart();
  const StopCause cause = quantity == Quantity::kFailure ? StopCause::kFailures
                                                         : StopCause::kLatency;
  return {note_, pool_, version_, upstream, cause, route};
}

// True if the evidence is there without any one replica, on the quantity and
// the route where it is strongest.
bool PoolJudge::StandsWithoutEach(const EvidenceView& all) const {
  const EvidenceView::Part part = all.MainPart();
  return std::all_of(
      replicas_.begin(), replicas_.end(), [&](const UpstreamId& replica) {
        const auto without = views_.find({ViewKind::kWithout, replica});
        return without != views_.end() &&
               without->second.LogOf(part) >= -std::log(kOthersFalseAlarm);
      });
}

void PoolJudge::FindBad(std::vector<StopFact>* found) {
  const auto all = views_.find({ViewKind::kAll, UpstreamId()});
  if (is_version_stopped_ || all == views_.end()) {
    return;
  }
  log_evidence_ = all->second.Log();
  cause_ = MakeFact(all->second, UpstreamId()).cause;
  const double version_bound = -std::log(options_.false_alarm * kVersionAlarms);
  const double replica_bound =
      -std::log(options_.false_alarm * (1.0 - kVersionAlarms) /
                static_cast<double>(replicas_.size()));
  if (log_evidence_ >= version_bound && StandsWithoutEach(all->second)) {
    is_version_stopped_ = true;
    found->push_back(MakeFact(all->second, UpstreamId()));
    return;
  }
  for (const UpstreamId& replica : replicas_) {
    const auto only = views_.find({ViewKind::kOnly, replica});
    if (only != views_.end() && !stopped_.contains(replica) &&
        only->second.Log() >= replica_bound) {
      stopped_.insert(replica);
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
  evidence.log_evidence = log_evidence_;
  evidence.cause = cause_;
  return evidence;
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
  for (const auto& [id, view] : views_) {
    bytes += sizeof(view) + view.by_route.size() * (sizeof(view.overall) + 96);
  }
  return bytes;
}

}  // namespace papaya
