#include "src/rollout/engine_reconciler.h"

#include <algorithm>
#include <utility>

#include "absl/algorithm/container.h"
#include "absl/strings/str_cat.h"

namespace papaya {

namespace {

// Interval between state reads while an engine loads a version, and before a
// retry after a failed call.
constexpr Duration kEngineRetryInterval = std::chrono::seconds(2);
constexpr double kEngineRetryJitter = 0.3;
// A load counts as failed after this many times `load_time`.
constexpr int kMaxLoadTimeFactor = 6;

// The action and argument of the next order.
struct NextOrder {
  OrderAction action;
  std::string argument;
};

std::optional<NextOrder> FindUnload(const EngineState& state,
                                    const EngineGoal& goal) {
  if (!goal.only_active || goal.active.empty()) {
    return std::nullopt;
  }
  for (const VersionId& version : state.loaded) {
    if (version != goal.active && version != state.active) {
      return NextOrder{OrderAction::kUnloadVersion, version.value()};
    }
  }
  return std::nullopt;
}

// Returns the first order that `state` needs to reach `goal`; empty if the goal
// is reached.
std::optional<NextOrder> FindNextOrder(const EngineState& state,
                                       const EngineGoal& goal) {
  for (const VersionId& version : {goal.active, goal.loaded}) {
    if (!version.empty() && state.active != version &&
        !absl::c_linear_search(state.loaded, version)) {
      return NextOrder{OrderAction::kLoadVersion, version.value()};
    }
  }
  for (const std::string& adapter : goal.adapters) {
    if (!absl::c_linear_search(state.adapters, adapter)) {
      return NextOrder{OrderAction::kLoadAdapter, adapter};
    }
  }
  if (!goal.role.empty() && state.role != goal.role) {
    return NextOrder{OrderAction::kSetRole, goal.role};
  }
  if (!goal.active.empty() && state.active != goal.active) {
    return NextOrder{OrderAction::kActivateVersion, goal.active.value()};
  }
  return FindUnload(state, goal);
}

}  // namespace

struct EngineReconciler::Engine {
  std::optional<EngineState> state;
  TimePoint read_at;
  // True if an order was sent after `state` was read.
  bool is_stale = true;
  bool is_busy = false;
  TimePoint next_try;
  // Time of the first failure since the last success of the same kind of call.
  std::optional<TimePoint> reads_failing_since;
  std::optional<TimePoint> orders_failing_since;
  std::optional<TimePoint> loading_since;
};

// State that call completions use after the reconciler is destroyed.
struct EngineReconciler::Shared {
  int calls_in_flight = 0;
};

EngineReconciler::EngineReconciler(const NoteRunnerOptions& options,
                                   const NoteRunnerHooks& hooks,
                                   const NoteLease* lease,
                                   Random* random)
    : options_(options),
      hooks_(hooks),
      lease_(lease),
      random_(random),
      shared_(std::make_shared<Shared>()) {}

EngineReconciler::~EngineReconciler() = default;

void EngineReconciler::BeginTerm(TimePoint now, FencingNumber epoch) {
  now_ = now;
  term_began_ = now;
  epoch_ = epoch;
  engines_.clear();
  loading_.clear();
}

GoalProgress EngineReconciler::Reconcile(const UpstreamSpec& upstream,
                                         const EngineGoal& goal,
                                         TimePoint read_after) {
  if (upstream.kind == UpstreamKind::kPlainService) {
    return GoalProgress::kReached;
  }
  std::shared_ptr<Engine>& slot = engines_[upstream.id];
  if (slot == nullptr) {
    slot = std::make_shared<Engine>();
  }
  Engine* const engine = slot.get();
  const bool is_fresh =
      engine->state && !engine->is_stale && engine->read_at >= read_after;
  if (is_fresh && !FindNextOrder(*engine->state, goal)) {
    loading_.erase(upstream.id);
    engine->loading_since.reset();
    return GoalProgress::kReached;
  }
  const bool may_call = !engine->is_busy && now_ >= engine->next_try &&
                        shared_->calls_in_flight < options_.concurrent_calls;
  // An order of the previous holder may still reach an engine that does not
  // check fencing numbers and would execute it.
  const bool are_old_orders_harmless =
      upstream.checks_fencing || now_ >= term_began_ + options_.order_timeout;
  if (may_call && are_old_orders_harmless) {
    if (is_fresh) {
      SendNextOrder(upstream, goal, engine);
    } else {
      Read(upstream, engine);
    }
  }
  return IsUnreachable(*engine) ? GoalProgress::kUnreachable
                                : GoalProgress::kInProgress;
}

bool EngineReconciler::IsUnreachable(const Engine& engine) const {
  const auto lasts = [this](const std::optional<TimePoint>& since,
                            Duration longest) {
    return since && now_ - *since > longest;
  };
  return lasts(engine.reads_failing_since, options_.unreachable_after) ||
         lasts(engine.orders_failing_since, options_.unreachable_after) ||
         lasts(engine.loading_since, options_.load_time * kMaxLoadTimeFactor);
}

const EngineState* EngineReconciler::LastState(
    const UpstreamId& upstream) const {
  const auto found = engines_.find(upstream);
  return found != engines_.end() && found->second->state
             ? &*found->second->state
             : nullptr;
}

std::optional<TimePoint> EngineReconciler::LastReadTime(
    const UpstreamId& upstream) const {
  const auto found = engines_.find(upstream);
  return found != engines_.end() && found->second->state
             ? std::optional<TimePoint>(found->second->read_at)
             : std::nullopt;
}

void EngineReconciler::Prune(const FleetConfig& config) {
  std::set<UpstreamId> wanted;
  for (const UpstreamSpec& upstream : config.upstreams) {
    wanted.insert(upstream.id);
  }
  std::erase_if(engines_, [&wanted](const auto& entry) {
    return !wanted.contains(entry.first);
  });
  std::erase_if(loading_, [&wanted](const UpstreamId& id) {
    return !wanted.contains(id);
  });
}

void EngineReconciler::Read(const UpstreamSpec& upstream, Engine* engine) {
  engine->is_busy = true;
  ++shared_->calls_in_flight;
  const std::shared_ptr<Engine> engine_ref = engines_.at(upstream.id);
  const std::shared_ptr<Shared> shared = shared_;
  const TimePoint request_time = now_;
  const Duration pause =
      random_->Jitter(kEngineRetryInterval, kEngineRetryJitter);
  hooks_.read_state(upstream, [engine_ref, shared, request_time,
                               pause](const absl::StatusOr<EngineState>& read) {
    --shared->calls_in_flight;
    engine_ref->is_busy = false;
    if (!read.ok()) {
      engine_ref->reads_failing_since =
          engine_ref->reads_failing_since.value_or(request_time);
      engine_ref->next_try = request_time + pause;
      return;
    }
    engine_ref->reads_failing_since.reset();
    engine_ref->state = *read;
    engine_ref->read_at = request_time;
    engine_ref->is_stale = false;
  });
}

bool EngineReconciler::AcquireLoadSlot(const UpstreamSpec& upstream,
                                       Engine* engine) {
  if (loading_.contains(upstream.id)) {
    return true;
  }
  if (loading_.size() >= static_cast<size_t>(options_.concurrent_loads)) {
    return false;
  }
  loading_.insert(upstream.id);
  engine->loading_since = now_;
  return true;
}

void EngineReconciler::SendNextOrder(const UpstreamSpec& upstream,
                                     const EngineGoal& goal,
                                     Engine* engine) {
  const std::optional<NextOrder> next = FindNextOrder(*engine->state, goal);
  const bool is_load = next->action == OrderAction::kLoadVersion;
  if (!is_load) {
    loading_.erase(upstream.id);
    engine->loading_since.reset();
  }
  if (is_load && absl::c_linear_search(engine->state->loading,
                                       VersionId(next->argument))) {
    engine->is_stale = true;
    engine->next_try =
        now_ + random_->Jitter(kEngineRetryInterval, kEngineRetryJitter);
    return;
  }
  if (is_load && !AcquireLoadSlot(upstream, engine)) {
    return;
  }
  if (lease_->HoldsUntil(now_ + options_.order_timeout)) {
    Order(upstream, next->action, next->argument, engine);
  }
}

void EngineReconciler::Order(const UpstreamSpec& upstream,
                             OrderAction action,
                             const std::string& argument,
                             Engine* engine) {
  EngineOrder order;
  order.id = OperationId(absl::StrCat("order/", epoch_.value(), "/",
                                      upstream.id.value(), "/", ++orders_));
  order.upstream = upstream.id;
  order.fencing = epoch_;
  order.action = action;
  order.argument = argument;
  // Half of the timeout is for sending the order, the other half for the
  // answer.
  order.send_before = now_ + options_.order_timeout / 2;
  order.answer_before = now_ + options_.order_timeout;
  engine->is_busy = true;
  engine->is_stale = true;
  ++shared_->calls_in_flight;
  const std::shared_ptr<Engine> engine_ref = engines_.at(upstream.id);
  const std::shared_ptr<Shared> shared = shared_;
  const TimePoint send_time = now_;
  const Duration pause =
      random_->Jitter(kEngineRetryInterval, kEngineRetryJitter);
  hooks_.order(order, [engine_ref, shared, send_time,
                       pause](const absl::Status& status) {
    --shared->calls_in_flight;
    engine_ref->is_busy = false;
    if (status.ok()) {
      engine_ref->orders_failing_since.reset();
      return;
    }
    engine_ref->next_try = send_time + pause;
    if (status.code() != absl::StatusCode::kResourceExhausted) {
      engine_ref->orders_failing_since =
          engine_ref->orders_failing_since.value_or(send_time);
    }
  });
}

}  // namespace papaya
