#include "include/gateway/version_moves.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"

namespace papaya {

namespace {

// The share of the requests that tries a version: below a tenth, which a bad
// one may get over its whole time.
constexpr Permille kTrialShare{80};
constexpr Permille kWhole{1000};
// The parts of an order's time after which enough must have been seen, after
// which all requests go to the new version, and after which it is told
// completed. The time between the last two is short: a version that is found
// bad only then has its share of requests still within bounds, and the new
// upstreams may be fewer than the old ones.
constexpr double kTrialPart = 0.8;
constexpr double kFullPart = 0.86;
constexpr double kEndPart = 0.92;
// A version that fewer requests have tried is taken back.
constexpr uint64_t kLeastRequests = 8;
// Counts are sent and looked at this often: a bad version must be out within
// five seconds.
constexpr Duration kReportInterval = std::chrono::milliseconds(500);
// A state that was not written is written again, and by the next router in
// rank, after this.
constexpr Duration kWriteInterval = std::chrono::milliseconds(400);

VersionJudgeOptions JudgeOptions() {
  VersionJudgeOptions options;
  options.look_every = kReportInterval;
  options.min_requests = 4;
  options.longest_window = std::chrono::seconds(3);
  return options;
}

}  // namespace

const char* MoveStateName(MoveState state) {
  switch (state) {
    case MoveState::kRunning:
      return "running";
    case MoveState::kCompleted:
      return "completed";
    case MoveState::kTakenBack:
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
    const bool has_changed = known->second.order.state != order.state;
    known->second.order = order;
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
  move.began = now;
  hooks_.event(
      {EventId::kMoveOrdered,
       {{"service", order.service.value()},
        {"target", order.target.value()},
        {"time_ms", absl::StrCat(order.time / std::chrono::milliseconds(1))}}});
  hooks_.changed();
}

void VersionMoves::OnOrderGone(const PoolId& service) {
  if (moves_.erase(service) > 0) {
    hooks_.changed();
  }
}

void VersionMoves::ShareOut(const Move& move, FleetConfig* config) const {
  std::map<VersionId, int> versions;
  for (const UpstreamSpec& upstream : config->upstreams) {
    if (upstream.pool == move.order.service) {
      ++versions[upstream.version];
    }
  }
  const bool has_target = versions.contains(move.order.target);
  const int others = static_cast<int>(versions.size()) - (has_target ? 1 : 0);
  Permille share;
  if (has_target && (others == 0 || move.is_full ||
                     move.order.state == MoveState::kCompleted)) {
    share = kWhole;
  } else if (has_target && move.order.state != MoveState::kTakenBack) {
    share = kTrialShare;
  }
  const bool is_judged =
      !move.order.state.has_value() || move.order.state == MoveState::kRunning;
  for (const auto& [version, count] : versions) {
    const bool is_target = version == move.order.target;
    const Permille rest((kWhole - share).value() / std::max(others, 1));
    config->shares.push_back(
        {.pool = move.order.service,
         .version = version,
         .share = is_target ? share : rest,
         .note = is_target && is_judged ? move.note : NoteId()});
  }
}

FleetConfig VersionMoves::Apply(FleetConfig config) {
  for (UpstreamSpec& upstream : config.upstreams) {
    if (!moves_.contains(upstream.pool)) {
      upstream.version = VersionId();
    }
  }
  for (const auto& [service, move] : moves_) {
    ShareOut(move, &config);
  }
  stats_.OnConfig(config);
  judge_.OnConfig(config);
  return stops_.Apply(config);
}

void VersionMoves::OnAnswer(const PoolId& service,
                            const VersionId& version,
                            const RouteId& route,
                            const UpstreamId& upstream,
                            bool failed,
                            Duration latency) {
  stats_.OnReply(service, version, route, upstream, failed, latency);
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
  hooks_.changed();
}

uint64_t VersionMoves::RequestsSeen(const Move& move) const {
  for (const VersionEvidence& evidence : judge_.Evidence()) {
    if (evidence.note == move.note) {
      return evidence.requests;
    }
  }
  return 0;
}

int VersionMoves::RankOf(const Move& move) const {
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
  hooks_.event({EventId::kMoveDecided,
                {{"service", move->order.service.value()},
                 {"target", move->order.target.value()},
                 {"state", MoveStateName(state)},
                 {"reason", reason},
                 {"requests", absl::StrCat(RequestsSeen(*move))}}});
  hooks_.write_state(move->order, state);
}

void VersionMoves::Decide(Move* move, TimePoint now) {
  const int rank = RankOf(*move);
  if (rank < 0) {
    return;
  }
  if (stops_.FindVersion(move->note, move->order.service, move->order.target) !=
      nullptr) {
    Write(move, MoveState::kTakenBack, "worse than the old version", now);
    return;
  }
  // Those that are next in rank leave the first ones time to write.
  const Duration elapsed = now - move->began - rank * kWriteInterval;
  const double part = ToSeconds(elapsed) / ToSeconds(move->order.time);
  if (part >= kEndPart) {
    Write(move, MoveState::kCompleted, "as good as the old version", now);
  } else if (part >= kTrialPart && RequestsSeen(*move) < kLeastRequests) {
    Write(move, MoveState::kTakenBack, "too few requests tried it", now);
  } else if (!move->order.state.has_value() && elapsed >= Duration()) {
    Write(move, MoveState::kRunning, "ordered", now);
  }
}

void VersionMoves::OnTick(TimePoint now) {
  if (now >= next_report_ && !stats_.CountedPools().empty()) {
    next_report_ = now + kReportInterval;
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
    if (move.order.state.has_value() &&
        move.order.state != MoveState::kRunning) {
      continue;
    }
    const double part =
        ToSeconds(now - move.began) / ToSeconds(move.order.time);
    if (!move.is_full && part >= kFullPart) {
      move.is_full = true;
      has_changed = true;
    }
    Decide(&move, now);
  }
  if (has_changed) {
    hooks_.changed();
  }
}

}  // namespace papaya
