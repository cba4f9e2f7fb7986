// What a note needs of engines at each point of its life.

#include <algorithm>

#include "absl/algorithm/container.h"
#include "include/rollout/release_note.h"
#include "src/rollout/note_mover.h"

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

// True if the note moves the pool to a new version in stages.
bool IsMoved(const NotePlan& plan, const PoolId& pool) {
  return std::any_of(
      plan.moves().begin(), plan.moves().end(),
      [&pool](const PoolMove& move) { return move.pool == pool; });
}

// The upstreams that the note adds without judging a new version: all at once.
std::vector<UpstreamSpec> AddedAtOnce(const NotePlan& plan,
                                      const NoteBefore& before) {
  std::vector<UpstreamSpec> added;
  for (const UpstreamSpec& upstream : plan.target().upstreams) {
    if (!IsMoved(plan, upstream.pool) &&
        absl::c_linear_search(before.added, upstream.id)) {
      added.push_back(upstream);
    }
  }
  return added;
}

// Engines of pools that change without stages and stood before.
std::vector<UpstreamSpec> ChangedAtOnce(const NotePlan& plan,
                                        const NoteBefore& before) {
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

EngineGoal NoteMover::GoalOf(const NotePlan& plan,
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

bool NoteMover::Bring(const NotePlan& plan,
                      const UpstreamSpec& upstream,
                      const EngineGoal& goal,
                      TimePoint read_after) {
  if (has_saved_) {
    return false;
  }
  const GoalProgress progress =
      context_.keeper->Pursue(upstream, goal, read_after);
  if (progress == GoalProgress::kUnreachable &&
      !absl::c_linear_search(note_->record.set_aside, upstream.id)) {
    SetAside(plan, upstream.id, "takes no orders");
  }
  return progress == GoalProgress::kReached;
}

bool NoteMover::PrepareEngines(const NotePlan& plan) {
  const NoteRecord& record = note_->record;
  bool is_ready = true;
  for (const PoolMove& move : plan.moves()) {
    for (const UpstreamSpec& upstream : plan.NewReplicas(
             move, static_cast<size_t>(record.stage), record.set_aside)) {
      EngineGoal goal = GoalOf(plan, upstream);
      goal.loaded = move.to;
      if (IsLabelled(upstream.id, move.from)) {
        goal.role.clear();  // it still serves the old version
      } else {
        goal.active = move.to;
      }
      is_ready = Bring(plan, upstream, goal, TimePoint()) && is_ready;
    }
    is_ready = ReturnToOld(plan, move) && is_ready;
  }
  return BringAtOnce(plan, AddedAtOnce(plan, record.before)) && is_ready;
}

bool NoteMover::BringAtOnce(const NotePlan& plan,
                            const std::vector<UpstreamSpec>& upstreams) {
  bool is_ready = true;
  for (const UpstreamSpec& upstream : upstreams) {
    if (absl::c_linear_search(note_->record.set_aside, upstream.id)) {
      continue;
    }
    EngineGoal goal = GoalOf(plan, upstream);
    goal.active = upstream.version;
    is_ready = Bring(plan, upstream, goal, TimePoint()) && is_ready;
  }
  return is_ready;
}

// An upstream that an earlier text or stage had moved serves the old version
// again before it is given the old version's work.
bool NoteMover::ReturnToOld(const NotePlan& plan, const PoolMove& move) {
  bool is_ready = true;
  for (const UpstreamSpec& upstream : stage_config_.upstreams) {
    const bool is_old =
        upstream.pool == move.pool && upstream.version == move.from;
    if (is_old && !IsLabelled(upstream.id, move.from)) {
      EngineGoal goal;
      goal.active = move.from;
      is_ready = Bring(plan, upstream, goal, TimePoint()) && is_ready;
    }
  }
  return is_ready;
}

// True if routers count `upstream` to `version` now.
bool NoteMover::IsLabelled(const UpstreamId& upstream,
                           const VersionId& version) const {
  const UpstreamSpec* const spec =
      FindUpstream(context_.desk->config(), upstream);
  return spec != nullptr && spec->version == version;
}

bool NoteMover::ActivateEngines(const NotePlan& plan) {
  const NoteRecord& record = note_->record;
  bool is_ready = true;
  for (const PoolMove& move : plan.moves()) {
    for (const UpstreamSpec& upstream : plan.NewReplicas(
             move, static_cast<size_t>(record.stage), record.set_aside)) {
      EngineGoal goal = GoalOf(plan, upstream);
      goal.active = move.to;
      is_ready = Bring(plan, upstream, goal, TimePoint()) && is_ready;
    }
  }
  return BringAtOnce(plan, ChangedAtOnce(plan, record.before)) && is_ready;
}

void NoteMover::PreloadNext(const NotePlan& plan) {
  const size_t last = plan.stage_count() - 1;
  for (const PoolMove& move : plan.moves()) {
    for (const UpstreamSpec& upstream :
         plan.NewReplicas(move, last, note_->record.set_aside)) {
      EngineGoal goal;
      goal.loaded = move.to;
      context_.keeper->Pursue(upstream, goal, TimePoint());
    }
  }
}

bool NoteMover::RestoreEngines(const FleetConfig& base,
                               std::vector<UpstreamId>* missing) {
  const NoteBefore& before = note_->record.before;
  bool is_settled = true;
  for (const UpstreamSpec& stood : before.upstreams) {
    const UpstreamSpec* const upstream = FindUpstream(base, stood.id);
    if (upstream == nullptr) {
      continue;
    }
    EngineGoal goal;
    goal.active = upstream->version;
    for (const EngineRole& role : before.roles) {
      if (role.upstream == stood.id) {
        goal.role = role.role;
      }
    }
    const GoalProgress progress =
        context_.keeper->Pursue(*upstream, goal, *restoring_since_);
    if (progress != GoalProgress::kReached) {
      missing->push_back(stood.id);
    }
    is_settled = is_settled && progress != GoalProgress::kWorking;
  }
  return is_settled;
}

}  // namespace papaya
