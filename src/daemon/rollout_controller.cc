#include "src/daemon/rollout_controller.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "include/base/error.h"
#include "include/chart/state_chart.h"
#include "include/config/fleet_view.h"
#include "include/wire/steady_time.h"

namespace papaya {

namespace {

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
  options.min_judged_move = settings.shortest_move;
  return options;
}

}  // namespace

RolloutController::RolloutController(
    boost::asio::io_context& context,
    const RouterSettings& settings,
    Incarnation incarnation,
    const std::shared_ptr<const StateChart>& note_chart,
    ObjectStore* store,
    Hooks hooks,
    uint64_t seed)
    : settings_(settings),
      hooks_(std::move(hooks)),
      random_(seed),
      engine_client_(context),
      note_store_(store,
                  settings.store_prefix,
                  note_chart,
                  settings.rollout.shortest_move),
      stats_(settings.router, incarnation),
      sender_(settings.router,
              &stats_,
              [this](const RouterId& judge, const StatsReport& report) {
                if (judge == settings_.router) {
                  judge_.OnReport(report);
                  return;
                }
                hooks_.send_stats(judge, report);
              }),
      judge_(VersionJudgeOptions(),
             [this](const StopFact& fact) { hooks_.stop(fact); }),
      runner_(store,
              settings.store_prefix,
              OwnerName(settings, incarnation),
              note_chart,
              RunnerOptionsOf(settings.rollout),
              MakeRunnerHooks(),
              &random_) {}

RolloutController::~RolloutController() = default;

void RolloutController::OnTick(TimePoint now,
                               const FleetView& view,
                               bool is_candidate) {
  judge_.OnTick(now);
  for (const VersionEvidence& evidence : judge_.Evidence()) {
    runner_.OnEvidence(evidence.note, evidence.requests);
  }
  runner_.OnTick(now, WallNow(), is_candidate);
  if (is_counting_ && sender_.IsDue(now)) {
    sender_.OnTick(now, IdsOf(view));
  }
}

void RolloutController::OnConfig(
    const std::shared_ptr<const FleetConfig>& config) {
  stats_.OnConfig(*config);
  judge_.OnConfig(*config);
  is_counting_ = std::any_of(config->shares.begin(), config->shares.end(),
                             [this](const VersionShare& share) {
                               return stats_.IsCounting(share.pool);
                             });
}

void RolloutController::OnStopFact(const StopFact& fact) {
  runner_.OnStopFact(fact);
}

void RolloutController::OnReport(const StatsReport& report) {
  judge_.OnReport(report);
}

void RolloutController::OnReply(const ReplySample& sample) {
  if (!stats_.IsCounting(sample.pool)) {
    return;
  }
  stats_.OnReply(
      sample.pool, sample.version, sample.route, sample.upstream, sample.failed,
      ComparableLatency(sample.first_token, sample.total_time, sample.tokens));
}

NoteRunnerHooks RolloutController::MakeRunnerHooks() {
  NoteRunnerHooks hooks;
  hooks.order = [this](const EngineOrder& order,
                       NoteRunnerHooks::OrderDone done) {
    engine_client_.Order(order, addresses_[order.upstream], std::move(done));
  };
  hooks.read_state = [this](const UpstreamSpec& upstream,
                            NoteRunnerHooks::StateDone done) {
    // The runner reads an engine's state before it sends an order to it. An
    // engine that a note adds is not in the configuration yet, so its address
    // is kept from that read.
    addresses_[upstream.id] = upstream.address;
    engine_client_.ReadState(
        upstream.address, NoteRunnerOptions().order_timeout, std::move(done));
  };
  hooks.publish = [this](const FleetConfig& config, ObjectVersion) {
    hooks_.offer(config);
  };
  hooks.log = hooks_.event;
  return hooks;
}

}  // namespace papaya
