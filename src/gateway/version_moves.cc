#include "include/gateway/version_moves.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"

namespace papaya {

namespace {

constexpr Permille kFullShare{1000};

// A version that fewer requests have reached is rolled back.
constexpr uint64_t kMinRequests = 8;
// When an order whose version has no upstreams is given up, as a fraction of
// its duration.
constexpr double kUnplannedCompletion = 0.92;
// A version is shown to be good if the log of the odds that it is defective is
// below this: a version is clearly more likely good than not.
constexpr double kMaxDefectLogOdds = -0.7;
// A version is stopped if the log of these odds is above this.
constexpr double kStopDefectLogOdds = 4.6;
// An approved version is not completed if the log of these odds, with the
// responses of the hand-over, is above this: by then it is clearly more likely
// defective than not.
constexpr double kRevokeDefectLogOdds = 0.7;
// Judges tell the others of their approval this long before the last stage, and
// repeat it at this interval.
constexpr Duration kApprovalLead = std::chrono::milliseconds(300);
constexpr Duration kApprovalInterval = std::chrono::milliseconds(200);
// Interval at which counts are judged, and the longest at which they are sent.
// A bad version must be rolled back within five seconds.
constexpr Duration kReportInterval = std::chrono::milliseconds(500);
// Counts are sent more often, but not more often than at kMinReportInterval, as
// far as a judge gets no more than kMaxReportsPerSecond from all routers: what
// is on the way when a short order is decided is lost to the decision.
constexpr Duration kMinReportInterval = std::chrono::milliseconds(200);
constexpr double kMaxReportsPerSecond = 150.0;
// Judges take the rate of requests from the counts of all routers once this
// many have been reported and this time has passed. What a router knows by
// itself varies much.
constexpr uint64_t kMinReported = 60;
constexpr Duration kMinRateTime = std::chrono::seconds(1);
// Time after which a state that is not stored yet is written again.
constexpr Duration kWriteInterval = std::chrono::milliseconds(400);
// Time after which the next judge by rank writes a state. It is short because
// little is left of an order when it is decided; a state that two write is
// stored once.
constexpr Duration kRankDelay = std::chrono::milliseconds(100);

// The probability that a good version is rolled back. It is rather high because
// an order leaves only seconds to find a bad version, during which a stricter
// judge would let it serve many requests.
constexpr double kFalseAlarmProbability = 0.03;
// A new version whose latency is up to this multiple of the old one's does not
// count as slower because the VMs of the upstreams differ by as much.
constexpr double kToleratedLatencyRatio = 1.25;
// All requests go to the new version only if the log of the evidence against it
// is below this, which is odds of 4.5: a bad version costs more than a repeated
// move.
constexpr double kMaxLogEvidence = 1.5;
// A router that does not know what the others have sent may itself send up to
// this multiple of an even part of the requests before the new version is
// approved, and one more.
constexpr double kMaxOwnBudget = 1.5;
// Counts are compared after this number of requests or this time. Both are
// small because an order lasts seconds and a new version gets few requests.
constexpr int kMinComparedRequests = 4;
constexpr Duration kMaxWindow = std::chrono::seconds(3);

bool IsOfTarget(const UpstreamSpec& upstream, const MoveOrder& order) {
  return upstream.pool == order.service && upstream.version == order.target;
}

bool IsInProgress(const MoveOrder& order) {
  return !order.state.has_value() || order.state == MoveState::kRunning;
}

// Returns the number of upstreams of each version of `service`.
std::map<VersionId, int> CountVersions(const FleetConfig& config,
                                       const PoolId& service) {
  std::map<VersionId, int> versions;
  for (const UpstreamSpec& upstream : config.upstreams) {
    if (upstream.pool == service) {
      ++versions[upstream.version];
    }
  }
  return versions;
}

// Returns the interval at which one of `routers` sends its counts.
Duration ReportIntervalOf(size_t routers) {
  return std::clamp(
      SecondsToDuration(static_cast<double>(routers) / kMaxReportsPerSecond),
      kMinReportInterval, kReportInterval);
}

VersionJudgeOptions JudgeOptions() {
  VersionJudgeOptions options;
  options.false_alarm_probability = kFalseAlarmProbability;
  options.evaluation_interval = kReportInterval;
  options.min_requests = kMinComparedRequests;
  options.max_window = kMaxWindow;
  options.new_latency_scale = 1.0 / kToleratedLatencyRatio;
  return options;
}

}  // namespace

const char* MoveStateName(MoveState state) {
  switch (state) {
    case MoveState::kRunning:
      return "running";
    case MoveState::kCompleted:
      return "completed";
    case MoveState::kRolledBack:
      return "taken_back";
  }
  return "running";
}

VersionMoves::VersionMoves(const RouterId& self,
                           Incarnation incarnation,
                           Hooks hooks)
    : self_(self),
      hooks_(std::move(hooks)),
      routers_{self},
      stats_(self, incarnation),
      judge_(JudgeOptions(), [this](const StopFact& fact) { OnStop(fact); }) {}

void VersionMoves::OnOrder(const MoveOrder& order, TimePoint now) {
  const auto known = moves_.find(order.service);
  if (known != moves_.end() && known->second.order.target == order.target) {
    Move& move = known->second;
    const std::optional<MoveState> before = move.order.state;
    const bool is_undone = !IsInProgress(move.order) && IsInProgress(order);
    const bool has_changed = before != order.state && !is_undone;
    move.order = order;
    move.must_restore = is_undone;
    if (is_undone) {
      // The store has come back from an older copy. What was decided has taken
      // effect: the upstreams of one version may be gone.
      move.order.state = before;
    }
    if (has_changed) {
      hooks_.changed();
    }
    return;
  }
  Move& move = moves_[order.service];
  move = Move();
  move.order = order;
  move.note =
      NoteId(absl::StrCat(order.service.value(), "/", order.target.value()));
  move.start_time = now;
  move.plan.completion =
      SecondsToDuration(kUnplannedCompletion * ToSeconds(order.duration));
  hooks_.event({EventId::kMoveOrdered,
                {{"service", order.service.value()},
                 {"target", order.target.value()},
                 {"time_ms", absl::StrCat(order.duration /
                                          std::chrono::milliseconds(1))}}});
  hooks_.changed();
}

void VersionMoves::OnApproval(const MoveApproval& approval) {
  const auto move = moves_.find(approval.service);
  if (move != moves_.end() && move->second.order.target == approval.target) {
    move->second.is_approved = true;
  }
}

void VersionMoves::OnOrderRemoved(const PoolId& service) {
  if (moves_.erase(service) > 0) {
    hooks_.changed();
  }
}

void VersionMoves::ChooseLoadedUpstreams(const FleetConfig& config,
                                         Move* move) const {
  std::set<UpstreamId> stopped;
  for (const StopFact& fact : stops_.UpstreamFactsOf(move->note)) {
    stopped.insert(fact.upstream);
  }
  std::set<UpstreamId> candidates;
  std::set<UpstreamId> loaded;
  for (const UpstreamSpec& upstream : config.upstreams) {
    if (!IsOfTarget(upstream, move->order)) {
      continue;
    }
    if (move->loaded.contains(upstream.id)) {
      loaded.insert(upstream.id);
    } else if (!stopped.contains(upstream.id)) {
      candidates.insert(upstream.id);
    }
  }
  // Upstreams that were found bad stay in the set: others in their place would
  // give no new evidence.
  while (!candidates.empty() &&
         static_cast<int>(loaded.size()) < move->plan.loaded_upstreams) {
    loaded.insert(candidates.extract(candidates.begin()));
  }
  move->loaded = loaded;
}

Permille VersionMoves::ShareOf(const Move& move) {
  if (!IsInProgress(move.order)) {
    return move.order.state == MoveState::kCompleted ? kFullShare : Permille();
  }
  return move.is_held ? Permille() : move.plan.ShareIn(move.stage);
}

void VersionMoves::AssignShares(Move* move, FleetConfig* config) const {
  const std::map<VersionId, int> versions =
      CountVersions(*config, move->order.service);
  const auto target = versions.find(move->order.target);
  const bool has_target = target != versions.end();
  const int others = static_cast<int>(versions.size()) - (has_target ? 1 : 0);
  Permille share;
  if (has_target) {
    int old_upstreams = 0;
    for (const auto& [version, count] : versions) {
      old_upstreams += version == target->first ? 0 : count;
    }
    move->ready_time = move->ready_time.value_or(now_);
    move->plan = MakeCanaryPlan({.duration = move->order.duration,
                                 .ready = *move->ready_time - move->start_time,
                                 .upstreams = target->second,
                                 .old_upstreams = old_upstreams,
                                 .per_second = FleetRate(move->order.service)},
                                bounds_);
    share = others == 0 ? kFullShare : ShareOf(*move);
  }
  const bool is_in_progress = IsInProgress(move->order);
  if (is_in_progress && move->stage == CanaryStage::kLoaded) {
    ChooseLoadedUpstreams(*config, move);
  }
  const Permille rest((kFullShare - share).value() / std::max(others, 1));
  for (const auto& [version, count] : versions) {
    const bool is_target = version == move->order.target;
    config->shares.push_back(
        {.pool = move->order.service,
         .version = version,
         .share = is_target ? share : rest,
         .note = is_target && is_in_progress ? move->note : NoteId()});
  }
}

void VersionMoves::MergeLoadedUpstreams(const Move& move, FleetConfig* config) {
  std::map<VersionId, int> others = CountVersions(*config, move.order.service);
  others.erase(move.order.target);
  if (others.empty()) {
    return;
  }
  const VersionId largest = std::max_element(others.begin(), others.end(),
                                             [](const auto& a, const auto& b) {
                                               return a.second < b.second;
                                             })
                                ->first;
  for (UpstreamSpec& upstream : config->upstreams) {
    if (IsOfTarget(upstream, move.order) && move.loaded.contains(upstream.id)) {
      upstream.version = largest;
    }
  }
  for (VersionShare& share : config->shares) {
    if (share.pool == move.order.service &&
        share.version == move.order.target) {
      share.share = Permille();
    }
  }
}

FleetConfig VersionMoves::Apply(FleetConfig config) {
  for (UpstreamSpec& upstream : config.upstreams) {
    if (!moves_.contains(upstream.pool)) {
      upstream.version = VersionId();
    }
  }
  for (auto& [service, move] : moves_) {
    AssignShares(&move, &config);
  }
  stats_.OnConfig(config);
  judge_.OnConfig(config);
  FleetConfig routed = stops_.Apply(config);
  for (const auto& [service, move] : moves_) {
    if (IsInProgress(move.order) && move.stage == CanaryStage::kLoaded &&
        !move.is_held) {
      MergeLoadedUpstreams(move, &routed);
    }
  }
  return routed;
}

double VersionMoves::FleetRate(const PoolId& service) const {
  const auto move = moves_.find(service);
  if (move != moves_.end() && JudgeRank(move->second) >= 0) {
    const VersionEvidence evidence = EvidenceAgainst(move->second);
    const uint64_t reported = evidence.reported_new + evidence.reported_old;
    const Duration time = now_ - move->second.start_time;
    if (reported >= kMinReported && time >= kMinRateTime) {
      return static_cast<double>(reported) / ToSeconds(time);
    }
  }
  const auto rate = rates_.find(service);
  return rate == rates_.end()
             ? 0.0
             : rate->second.PerSecond(now_) *
                   static_cast<double>(std::max<size_t>(1, routers_.size()));
}

void VersionMoves::OnSent(const PoolId& service,
                          const VersionId& version,
                          TimePoint now) {
  now_ = std::max(now_, now);
  rates_[service].Count(now_);
  const auto move = moves_.find(service);
  if (move != moves_.end() && move->second.order.target == version) {
    ++move->second.sent;
  }
}

void VersionMoves::OnAttemptEnd(const PoolId& service,
                                const VersionId& version,
                                const RouteId& route,
                                const UpstreamId& upstream,
                                bool failed,
                                Duration latency) {
  const auto move = moves_.find(service);
  const bool is_target =
      move != moves_.end() && version == move->second.order.target;
  stats_.OnReply(
      service, version, route, upstream, failed,
      is_target ? SecondsToDuration(ToSeconds(latency) / kToleratedLatencyRatio)
                : latency);
}

void VersionMoves::OnStop(const StopFact& fact) {
  if (!stops_.Add(fact)) {
    return;
  }
  hooks_.event({EventId::kVersionStopped,
                {{"pool", fact.pool.value()},
                 {"version", fact.version.value()},
                 {"upstream", fact.upstream.value()},
                 {"cause", StopCauseName(fact.cause)}}});
  const auto move = moves_.find(fact.pool);
  if (move != moves_.end() && move->second.stage == CanaryStage::kLoaded &&
      move->second.loaded == std::set<UpstreamId>{fact.upstream}) {
    // The only loaded upstream was found bad. It stands for the others under
    // load, so the whole version is stopped.
    StopFact version_stop = fact;
    version_stop.upstream = UpstreamId();
    OnStop(version_stop);
    return;
  }
  hooks_.changed();
}

VersionEvidence VersionMoves::EvidenceAgainst(const Move& move) const {
  for (const VersionEvidence& evidence : judge_.Evidence()) {
    if (evidence.note == move.note) {
      return evidence;
    }
  }
  return VersionEvidence();
}

void VersionMoves::StopVersion(const Move& move) {
  OnStop({.note = move.note,
          .pool = move.order.service,
          .version = move.order.target,
          .upstream = {},
          .cause = EvidenceAgainst(move).cause,
          .route = {}});
}

void VersionMoves::EnterStage(Move* move, CanaryStage stage) {
  move->stage = stage;
  const VersionEvidence evidence = EvidenceAgainst(*move);
  hooks_.event({EventId::kMoveStaged,
                {{"service", move->order.service.value()},
                 {"target", move->order.target.value()},
                 {"stage", CanaryStageName(stage)},
                 {"requests", absl::StrCat(evidence.requests)},
                 {"new", absl::StrCat(evidence.reported_new)},
                 {"old", absl::StrCat(evidence.reported_old)},
                 {"evidence", absl::StrCat(evidence.log_evidence)},
                 {"defect_odds", absl::StrCat(evidence.log_defect_odds)}}});
}

int VersionMoves::JudgeRank(const Move& move) const {
  const std::vector<RouterId> judges = JudgesOf(move.order.service, routers_);
  const auto found = std::find(judges.begin(), judges.end(), self_);
  return found == judges.end() ? -1 : static_cast<int>(found - judges.begin());
}

void VersionMoves::Write(Move* move,
                         MoveState state,
                         const char* reason,
                         TimePoint now) {
  if (now < move->next_write) {
    return;
  }
  move->next_write = now + kWriteInterval;
  const VersionEvidence evidence = EvidenceAgainst(*move);
  hooks_.event({EventId::kMoveDecided,
                {{"service", move->order.service.value()},
                 {"target", move->order.target.value()},
                 {"state", MoveStateName(state)},
                 {"reason", reason},
                 {"requests", absl::StrCat(evidence.requests)},
                 {"new", absl::StrCat(evidence.reported_new)},
                 {"old", absl::StrCat(evidence.reported_old)},
                 {"evidence", absl::StrCat(evidence.log_evidence)},
                 {"defect_odds", absl::StrCat(evidence.log_defect_odds)}}});
  hooks_.write_state(move->order, state);
}

void VersionMoves::Decide(Move* move, TimePoint now) {
  const int rank = JudgeRank(*move);
  if (rank < 0) {
    return;
  }
  if (stops_.FindVersionFact(move->note, move->order.service,
                             move->order.target) != nullptr) {
    Write(move, MoveState::kRolledBack, "worse than the old version", now);
    return;
  }
  // Routers of higher ranks leave those before them time to write.
  const Duration elapsed = now - move->start_time - rank * kRankDelay;
  if (elapsed >= move->plan.completion) {
    move->next_approval = std::min(move->next_approval, now);
    ApproveIfGood(move, now);
    if (!move->is_approved) {
      Write(move, MoveState::kRolledBack, "not shown to be as good", now);
    } else if (EvidenceAgainst(*move).log_defect_odds <= kRevokeDefectLogOdds) {
      Write(move, MoveState::kCompleted, "as good as the old version", now);
    } else {
      Write(move, MoveState::kRolledBack, "worse after the hand-over", now);
    }
  } else if (!move->order.state.has_value() && elapsed >= Duration()) {
    Write(move, MoveState::kRunning, "ordered", now);
  }
}

void VersionMoves::ApproveIfGood(Move* move, TimePoint now) {
  if (JudgeRank(*move) < 0 || now < move->next_approval) {
    return;
  }
  move->next_approval = now + kApprovalInterval;
  const VersionEvidence evidence = EvidenceAgainst(*move);
  const bool is_good = evidence.requests >= kMinRequests &&
                       evidence.log_evidence < kMaxLogEvidence &&
                       evidence.log_defect_odds <= kMaxDefectLogOdds;
  if (!is_good) {
    return;
  }
  move->is_approved = true;
  for (const RouterId& router : routers_) {
    if (router != self_) {
      hooks_.approve(router, {.service = move->order.service,
                              .target = move->order.target});
    }
  }
}

bool VersionMoves::MustHold(const Move& move, TimePoint now) const {
  if (now - move.start_time >= move.order.duration) {
    return true;
  }
  if (move.stage == CanaryStage::kFull || !move.ready_time.has_value()) {
    return false;
  }
  if (JudgeRank(move) >= 0 &&
      static_cast<double>(EvidenceAgainst(move).reported_new) >=
          move.plan.budget) {
    return true;
  }
  // What other routers sent is not known here; routers differ in their part.
  return static_cast<double>(move.sent * routers_.size()) >=
         kMaxOwnBudget * move.plan.budget +
             static_cast<double>(routers_.size());
}

void VersionMoves::OnTick(TimePoint now) {
  now_ = std::max(now_, now);
  if (now >= next_report_ && !stats_.CountedPools().empty()) {
    next_report_ = now + ReportIntervalOf(routers_.size());
    judge_.OnReport(stats_.MakeSnapshot());
    const StatsReport report = stats_.MakeReport();
    std::set<RouterId> judges;
    for (const PoolId& pool : stats_.CountedPools()) {
      const std::vector<RouterId> of_pool = JudgesOf(pool, routers_);
      judges.insert(of_pool.begin(), of_pool.end());
    }
    judges.erase(self_);
    for (const RouterId& router : judges) {
      hooks_.send(router, report);
    }
    judge_.OnTick(now);
  }
  bool has_changed = false;
  for (auto& [service, move] : moves_) {
    if (move.must_restore && JudgeRank(move) >= 0) {
      Write(&move, *move.order.state, "restored", now);
    }
    if (!IsInProgress(move.order)) {
      continue;
    }
    const Duration elapsed = now - move.start_time;
    if (elapsed + kApprovalLead >= move.plan.full_start) {
      ApproveIfGood(&move, now);
    }
    CanaryStage stage = std::max(move.stage, move.plan.StageAt(elapsed));
    if (stage == CanaryStage::kFull && !move.is_approved) {
      stage = std::max(move.stage, CanaryStage::kLoaded);
    }
    if (stage != move.stage) {
      EnterStage(&move, stage);
      has_changed = true;
    }
    if (EvidenceAgainst(move).log_defect_odds >= kStopDefectLogOdds) {
      StopVersion(move);
    }
    const bool is_held = MustHold(move, now);
    has_changed |= is_held != move.is_held;
    move.is_held = is_held;
    Decide(&move, now);
  }
  if (has_changed) {
    hooks_.changed();
  }
}

}  // namespace papaya
