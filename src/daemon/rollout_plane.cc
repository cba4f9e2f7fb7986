#include "src/daemon/rollout_plane.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "include/base/error.h"
#include "include/chart/state_chart.h"
#include "include/config/fleet_view.h"
#include "include/wire/steady_time.h"

namespace papaya {

namespace {

// What a judge receives from all routers together, in bytes a second.
constexpr double kReportBudget = 4000.0;

std::string OwnerName(const RouterSettings& settings, Incarnation incarnation) {
  return absl::StrCat(settings.router.value(), "#", incarnation.value());
}

std::vector<RouterId> IdsOf(const FleetView& view) {
  std::vector<RouterId> ids;
  ids.reserve(view.routers.size());
  for (const RouterView& router : view.routers) {
    ids.push_back(router.id);
  }
  return ids;
}

NoteRunnerOptions RunnerOptionsOf(const RolloutSettings& settings) {
  NoteRunnerOptions options;
  options.load_time = settings.load_time;
  options.concurrent_loads = settings.concurrent_loads;
  options.drain_time = settings.drain_time;
  options.shortest_judged_move = settings.shortest_move;
  return options;
}

}  // namespace

RolloutPlane::RolloutPlane(boost::asio::io_context& context,
                           const RouterSettings& settings,
                           Incarnation incarnation,
                           const std::shared_ptr<const StateChart>& note_chart,
                           ObjectStore* store,
                           Hooks hooks,
                           uint64_t seed)
    : settings_(settings),
      hooks_(std::move(hooks)),
      random_(seed),
      orders_(context),
      book_(store,
            settings.store_prefix,
            note_chart,
            settings.rollout.shortest_move),
      stats_(settings.router, incarnation),
      judge_(VersionJudgeOptions(),
             [this](const StopFact& fact) { hooks_.stop(fact); }),
      runner_(store,
              settings.store_prefix,
              OwnerName(settings, incarnation),
              note_chart,
              RunnerOptionsOf(settings.rollout),
              MakeRunnerHooks(),
              &random_) {}

RolloutPlane::~RolloutPlane() = default;

void RolloutPlane::OnTick(TimePoint now,
                          const FleetView& view,
                          bool is_candidate) {
  judge_.OnTick(now);
  for (const VersionEvidence& evidence : judge_.Evidence()) {
    runner_.OnEvidence(evidence.note, evidence.requests);
  }
  runner_.OnTick(now, WallNow(), is_candidate);
  if (is_counting_ && now >= next_report_) {
    SendReports(view, now);
  }
}

void RolloutPlane::OnConfig(const std::shared_ptr<const FleetConfig>& config) {
  stats_.OnConfig(*config);
  judge_.OnConfig(*config);
  is_counting_ = std::any_of(config->shares.begin(), config->shares.end(),
                             [this](const VersionShare& share) {
                               return stats_.IsCounting(share.pool);
                             });
}

void RolloutPlane::OnStopFact(const StopFact& fact) {
  runner_.OnStopFact(fact);
}

void RolloutPlane::OnReport(const StatsReport& report) {
  judge_.OnReport(report);
}

void RolloutPlane::OnReply(const ReplySample& sample) {
  if (!stats_.IsCounting(sample.pool)) {
    return;
  }
  stats_.OnReply(
      sample.pool, sample.version, sample.route, sample.upstream, sample.failed,
      ComparableLatency(sample.first_token, sample.whole, sample.tokens));
}

NoteRunnerHooks RolloutPlane::MakeRunnerHooks() {
  NoteRunnerHooks hooks;
  hooks.order = [this](const EngineOrder& order,
                       NoteRunnerHooks::OrderDone done) {
    orders_.Order(order, addresses_[order.upstream], std::move(done));
  };
  hooks.read_state = [this](const UpstreamSpec& upstream,
                            NoteRunnerHooks::StateDone done) {
    // An engine is read before it is ordered, and one that a note adds is not
    // in the configuration yet.
    addresses_[upstream.id] = upstream.address;
    orders_.ReadState(upstream.address, NoteRunnerOptions().order_timeout,
                      std::move(done));
  };
  hooks.publish = [this](const FleetConfig& config, ObjectVersion) {
    hooks_.offer(config);
  };
  hooks.log = hooks_.event;
  return hooks;
}

void RolloutPlane::SendReports(const FleetView& view, TimePoint now) {
  const StatsReport report = stats_.MakeReport();
  const size_t bytes = EstimateReportBytes(report);
  next_report_ = now + VersionStats::ReportInterval(view.routers.size(), bytes,
                                                    kReportBudget);
  if (report.rows.empty()) {
    return;
  }
  const std::vector<RouterId> routers = IdsOf(view);
  std::map<RouterId, StatsReport> by_judge;
  std::map<PoolId, std::vector<RouterId>> judges;
  for (const StatsRow& row : report.rows) {
    const auto [found, is_new] = judges.try_emplace(row.key.pool);
    if (is_new) {
      found->second = JudgesOf(row.key.pool, routers);
    }
    for (const RouterId& judge : found->second) {
      StatsReport& part = by_judge[judge];
      part.router = report.router;
      part.incarnation = report.incarnation;
      part.sequence = report.sequence;
      part.rows.push_back(row);
    }
  }
  // This router's own counts go to its judge in any case, so that it can stop
  // by itself when nobody else can be reached.
  judge_.OnReport(report);
  for (const auto& [judge, part] : by_judge) {
    if (judge != settings_.router) {
      hooks_.send_stats(judge, part);
    }
  }
}

}  // namespace papaya
