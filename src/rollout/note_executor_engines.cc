// The parts of NoteExecutor that reconcile engines.

#include <algorithm>

#include "absl/algorithm/container.h"
#include "include/rollout/release_note.h"
#include "src/rollout/note_executor.h"

namespace papaya {

namespace {

const UpstreamChange* FindChange(const ReleaseNote& note,
                                 const UpstreamId& upstream) {
  for (const UpstreamChange& change : note.upstreams) {
    if (change.id == upstream) {
      return &change;
    }
  }
  return nullptr;
}

// Returns true if the note moves the pool to a new version in stages.
bool IsMoved(const NotePlan& plan, const PoolId& pool) {
  return std::any_of(
      plan.moves().begin(), plan.moves().end(),
      [&pool](const PoolMove& move) { return move.pool == pool; });
}

// Returns the upstreams that the note adds to pools that do not move in stages.
std::vector<UpstreamSpec> AddedAtOnce(const NotePlan& plan,
                                      const RollbackState& before) {
  std::vector<UpstreamSpec> added;
  for (const UpstreamSpec& upstream : plan.target().upstreams) {
    if (!IsMoved(plan, upstream.pool) &&
        absl::c_linear_search(before.added, upstream.id)) {
      added.push_back(upstream);
    }
  }
  return added;
}

// Returns the existing upstreams of affected pools that do not move in stages.
std::vector<UpstreamSpec> ChangedAtOnce(const NotePlan& plan,
                                        const RollbackState& before) {
  std::vector<UpstreamSpec> changed;
  for (const UpstreamSpec& upstream : plan.target().upstreams) {
    const bool is_touched = absl::c_linear_search(plan.pools(), upstream.pool);
    if (is_touched && !IsMoved(plan, upstream.pool) &&
        !absl::c_linear_search(before.added, upstream.id)) {
      changed.push_back(upstream);
    }
  }
  return changed;
}

}  // namespace

EngineGoal NoteExecutor::GoalOf(const NotePlan& plan,
                                const UpstreamSpec& upstream) const {
  EngineGoal goal;
  for (const PoolChange& change : plan.note().pools) {
    if (change.pool == upstream.pool) {
      goal.adapters = change.adapters;
    }
  }
  const UpstreamChange* const change = FindChange(plan.note(), upstream.id);
  if (change != nullptr) {
    goal.role = change->role.value_or("");
  }
  return goal;
}

bool NoteExecutor::ReconcileEngine(const NotePlan& plan,
                                   const UpstreamSpec& upstream,
                                   const EngineGoal& goal,
                                   TimePoint read_after) {
  if (has_saved_) {
    return false;
  }
  const GoalProgress progress =
      context_.reconciler->Reconcile(upstream, goal, read_after);
  if (progress == GoalProgress::kUnreachable &&
      !absl::c_linear_search(note_->record.ejected, upstream.id)) {
    EjectUpstream(plan, upstream.id, "takes no orders");
  }
  return progress == GoalProgress::kReached;
}

bool NoteExecutor::PrepareEngines(const NotePlan& plan) {
  const NoteRecord& record = note_->record;
  bool is_ready = true;
  for (const PoolMove& move : plan.moves()) {
    for (const UpstreamSpec& upstream : plan.NewReplicas(
             move, static_cast<size_t>(record.stage), record.ejected)) {
      EngineGoal goal = GoalOf(plan, upstream);
      goal.loaded = move.to;
      if (HasConfiguredVersion(upstream.id, move.from)) {
        goal.role.clear();  // it still serves the old version
      } else {
        goal.active = move.to;
      }
      is_ready = ReconcileEngine(plan, upstream, goal, TimePoint()) && is_ready;
    }
    is_ready = RevertToOldVersion(plan, move) && is_ready;
  }
  return ReconcileEngines(plan, AddedAtOnce(plan, record.before)) && is_ready;
}

bool NoteExecutor::ReconcileEngines(
    const NotePlan& plan,
    const std::vector<UpstreamSpec>& upstreams) {
  bool is_ready = true;
  for (const UpstreamSpec& upstream : upstreams) {
    if (absl::c_linear_search(note_->record.ejected, upstream.id)) {
      continue;
    }
    EngineGoal goal = GoalOf(plan, upstream);
    goal.active = upstream.version;
    is_ready = ReconcileEngine(plan, upstream, goal, TimePoint()) && is_ready;
  }
  return is_ready;
}

// An upstream that an earlier text or stage moved to another version must serve
// the old version again before it gets requests of the old version.
bool NoteExecutor::RevertToOldVersion(const NotePlan& plan,
                                      const PoolMove& move) {
  bool is_ready = true;
  for (const UpstreamSpec& upstream : stage_config_.upstreams) {
    const bool is_old =
        upstream.pool == move.pool && upstream.version == move.from;
    if (is_old && !HasConfiguredVersion(upstream.id, move.from)) {
      EngineGoal goal;
      goal.active = move.from;
      is_ready = ReconcileEngine(plan, upstream, goal, TimePoint()) && is_ready;
    }
  }
  return is_ready;
}

// Returns true if the configuration in force gives `upstream` this version.
bool NoteExecutor::HasConfiguredVersion(const UpstreamId& upstream,
                                        const VersionId& version) const {
  const UpstreamSpec* const spec =
      FindUpstream(context_.publisher->config(), upstream);
  return spec != nullptr && spec->version == version;
}

bool NoteExecutor::ActivateEngines(const NotePlan& plan) {
  const NoteRecord& record = note_->record;
  bool is_ready = true;
  for (const PoolMove& move : plan.moves()) {
    for (const UpstreamSpec& upstream : plan.NewReplicas(
             move, static_cast<size_t>(record.stage), record.ejected)) {
      EngineGoal goal = GoalOf(plan, upstream);
      goal.active = move.to;
      is_ready = ReconcileEngine(plan, upstream, goal, TimePoint()) && is_ready;
    }
  }
  return ReconcileEngines(plan, ChangedAtOnce(plan, record.before)) && is_ready;
}

void NoteExecutor::PreloadReplicas(const NotePlan& plan) {
  const size_t last = plan.stage_count() - 1;
  for (const PoolMove& move : plan.moves()) {
    for (const UpstreamSpec& upstream :
         plan.NewReplicas(move, last, note_->record.ejected)) {
      EngineGoal goal;
      goal.loaded = move.to;
      context_.reconciler->Reconcile(upstream, goal, TimePoint());
    }
  }
}

bool NoteExecutor::RestoreEngines(const FleetConfig& base,
                                  std::vector<UpstreamId>* missing) {
  const RollbackState& before = note_->record.before;
  bool is_settled = true;
  for (const UpstreamSpec& original : before.upstreams) {
    const UpstreamSpec* const upstream = FindUpstream(base, original.id);
    if (upstream == nullptr) {
      continue;
    }
    EngineGoal goal;
    goal.active = upstream->version;
    for (const EngineRole& role : before.roles) {
      if (role.upstream == original.id) {
        goal.role = role.role;
      }
    }
    const GoalProgress progress =
        context_.reconciler->Reconcile(*upstream, goal, *restoring_since_);
    if (progress != GoalProgress::kReached) {
      missing->push_back(original.id);
    }
    is_settled = is_settled && progress != GoalProgress::kInProgress;
  }
  return is_settled;
}

}  // namespace papaya
