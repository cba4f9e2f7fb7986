#include "src/rollout/note_executor.h"

#include <algorithm>
#include <cassert>
#include <set>
#include <utility>

#include "absl/algorithm/container.h"
#include "absl/strings/str_cat.h"
#include "include/chart/chart_machine.h"
#include "include/chart/state_chart.h"
#include "include/rollout/release_note.h"
#include "src/rollout/note_messages.h"

namespace papaya {

namespace {

// One part in this many of the time from the start of the note to `traffic_by`,
// but at most kMaxReserve, is reserved for the last change.
constexpr int kReserveDivisor = 10;
constexpr Duration kMaxReserve = std::chrono::minutes(2);
// A last stage shorter than one part in this many of `min_judged_move` is too
// short to judge a version.
constexpr int kMinBakeDivisor = 5;
// A version with fewer compared requests is not yet judged: it does not leave
// the last stage and is rolled back at the deadline.
constexpr uint64_t kMinJudgedRequests = 50;
// A rollback waits this long for slow engines before it publishes a
// configuration without them.
constexpr Duration kPartialRollbackDelay = std::chrono::seconds(10);

size_t CountMembers(const NotePlan& plan, const PoolId& pool) {
  return static_cast<size_t>(std::count_if(
      plan.target().upstreams.begin(), plan.target().upstreams.end(),
      [&pool](const UpstreamSpec& spec) { return spec.pool == pool; }));
}

ReleaseNote ParseAccepted(const std::string& text) {
  std::vector<TextFault> faults;
  return ReleaseNote::Parse(text, &faults);
}

// Removes the upstreams in `missing` from `config`, but keeps all upstreams of
// a pool that would become empty.
void RemoveUpstreams(const std::vector<UpstreamId>& missing,
                     FleetConfig* config) {
  std::set<PoolId> present;
  for (const UpstreamSpec& upstream : config->upstreams) {
    if (!absl::c_linear_search(missing, upstream.id)) {
      present.insert(upstream.pool);
    }
  }
  std::erase_if(config->upstreams, [&](const UpstreamSpec& upstream) {
    return absl::c_linear_search(missing, upstream.id) &&
           present.contains(upstream.pool);
  });
}

}  // namespace

NoteExecutor::NoteExecutor(const NoteExecutorContext& context)
    : context_(context) {}

void NoteExecutor::Step(const StoredNote& note,
                        uint64_t requests,
                        TimePoint now,
                        WallTime wall) {
  assert(!IsFinalNoteState(note.record.state));
  note_ = &note;
  requests_ = requests;
  now_ = now;
  wall_ = wall;
  has_saved_ = false;
  if (!context_.publisher->IsKnown()) {
    return;
  }
  if (note.record.state == kNoteWaiting) {
    StartNote();
  } else if (note.record.state == kNoteMoving) {
    restoring_since_.reset();
    AdvanceStage();
  } else {
    settled_since_.reset();
    RollBack();
  }
}

void NoteExecutor::Save(const std::string& event, NoteRecord record) {
  ChartMachine machine(context_.chart, note_->record.state);
  const bool fired = machine.Fire(event);
  assert(fired);
  static_cast<void>(fired);
  record.state = machine.state();
  if (IsFinalNoteState(record.state)) {
    record.ended = wall_;
  }
  has_saved_ = true;
  context_.save(*note_, record);
}

void NoteExecutor::StartNote() {
  NoteRecord record = note_->record;
  const std::vector<TextFault> faults =
      CheckReleaseNote(record.text, &context_.publisher->config(), wall_,
                       context_.options->min_judged_move);
  if (!faults.empty()) {
    record.reason = absl::StrCat("could not begin: line ", faults.front().line,
                                 ": ", faults.front().message);
    Save("withdraw", std::move(record));
    return;
  }
  const ReleaseNote note = ParseAccepted(record.text);
  record.before = CaptureRollbackState(note, context_.publisher->config(), {});
  record.began = wall_;
  record.stage = 0;
  record.stage_since = WallTime();
  record.reason = "preparing the first stage";
  Save("start", std::move(record));
}

void NoteExecutor::AdvanceStage() {
  const NoteRecord& record = note_->record;
  if (!RefreshPlan()) {
    return;
  }
  const NotePlan& plan = *plan_;
  if (!HandleRevision(plan) || !HandleStopFacts(plan) || !CheckDeadline(plan)) {
    return;
  }
  if (static_cast<size_t>(record.stage) >= plan.stage_count()) {
    Finish(plan);
    return;
  }
  settled_since_.reset();
  if (!PrepareEngines(plan)) {
    return;
  }
  if (!context_.publisher->Publish(stage_config_)) {
    return;
  }
  if (!ActivateEngines(plan)) {
    return;
  }
  EndStageWhenDue(plan);
  PreloadReplicas(plan);
}

bool NoteExecutor::RefreshPlan() {
  const std::pair<ObjectVersion, Revision> basis(
      note_->version, context_.publisher->config().revision);
  if (plan_ != nullptr && plan_basis_ == basis) {
    return true;
  }
  const NoteRecord& record = note_->record;
  const ReleaseNote note = ParseAccepted(record.text);
  if (!ExtendRollbackState(note)) {
    return false;
  }
  plan_ = std::make_unique<const NotePlan>(
      record.id, note, UndoNote(context_.publisher->config(), record.before));
  plan_basis_ = basis;
  stage_config_ =
      plan_->StageConfig(static_cast<size_t>(record.stage), record.ejected);
  return true;
}

bool NoteExecutor::ExtendRollbackState(const ReleaseNote& note) {
  NoteRecord record = note_->record;
  RollbackState before =
      CaptureRollbackState(note, context_.publisher->config(), record.before);
  before.roles = record.before.roles;
  for (const UpstreamChange& change : note.upstreams) {
    const UpstreamSpec* const original =
        FindUpstream(UndoNote(context_.publisher->config(), before), change.id);
    const bool is_known = std::any_of(before.roles.begin(), before.roles.end(),
                                      [&change](const EngineRole& role) {
                                        return role.upstream == change.id;
                                      });
    if (!change.role || original == nullptr || is_known) {
      continue;
    }
    const EngineState* const state = context_.reconciler->LastState(change.id);
    if (state == nullptr) {
      context_.reconciler->Reconcile(*original, {}, now_);
      return false;
    }
    before.roles.push_back({change.id, state->role});
  }
  if (before == record.before) {
    return true;
  }
  record.before = std::move(before);
  Save("advance", std::move(record));
  return false;
}

bool NoteExecutor::HandleRevision(const NotePlan& plan) {
  NoteRecord record = note_->record;
  if (record.stage_versions == plan.StageVersions()) {
    return true;
  }
  record.stage_versions = plan.StageVersions();
  record.stage = 0;
  record.stage_since = WallTime();
  record.ejected.clear();
  Save("advance", std::move(record));
  return false;
}

size_t NoteExecutor::CountEjectedUpstreams(const NotePlan& plan,
                                           const PoolId& pool) const {
  return static_cast<size_t>(std::count_if(
      plan.target().upstreams.begin(), plan.target().upstreams.end(),
      [this, &pool](const UpstreamSpec& upstream) {
        return upstream.pool == pool &&
               absl::c_linear_search(note_->record.ejected, upstream.id);
      }));
}

void NoteExecutor::StartRollback(const std::string& reason) {
  NoteRecord record = note_->record;
  record.reason = reason;
  Save("withdraw", std::move(record));
}

void NoteExecutor::EjectUpstream(const NotePlan& plan,
                                 const UpstreamId& upstream,
                                 const std::string& why) {
  NoteRecord record = note_->record;
  record.ejected.push_back(upstream);
  const UpstreamSpec* const spec = FindUpstream(plan.target(), upstream);
  if (spec != nullptr) {
    const size_t others = CountEjectedUpstreams(plan, spec->pool);
    if (others + 1 >
        NotePlan::MaxEjectedUpstreams(CountMembers(plan, spec->pool))) {
      StartRollback(absl::StrCat(
          "version ", spec->version.value(), " of ", spec->pool.value(),
          " is in doubt: ", upstream.value(), " ", why,
          others > 0 ? absl::StrCat(", after ", others, " set aside before")
                     : std::string()));
      return;
    }
  }
  record.stage_since = WallTime();
  record.reason = absl::StrCat("set aside ", upstream.value(), ", which ", why);
  Save("advance", std::move(record));
}

bool NoteExecutor::HandleStopFacts(const NotePlan& plan) {
  for (const PoolMove& move : plan.moves()) {
    const StopFact* const fact =
        context_.stops->FindVersionFact(note_->record.id, move.pool, move.to);
    if (fact != nullptr) {
      StartRollback(DescribeStop(*fact));
      return false;
    }
  }
  for (const StopFact& fact :
       context_.stops->UpstreamFactsOf(note_->record.id)) {
    const bool is_moved =
        std::any_of(plan.moves().begin(), plan.moves().end(),
                    [&fact](const PoolMove& move) {
                      return move.pool == fact.pool && move.to == fact.version;
                    });
    if (is_moved &&
        !absl::c_linear_search(note_->record.ejected, fact.upstream)) {
      EjectUpstream(plan, fact.upstream,
                    fact.cause == StopCause::kFailures
                        ? "fails more than others"
                        : "is slower than others");
      return false;
    }
  }
  return true;
}

WallTime NoteExecutor::LastStageDeadline(const NotePlan& plan) const {
  const Duration window = plan.note().traffic_by - note_->record.began;
  const Duration reserve = std::min(window / kReserveDivisor, kMaxReserve);
  return plan.note().traffic_by -
         std::chrono::duration_cast<std::chrono::milliseconds>(reserve);
}

bool NoteExecutor::CheckDeadline(const NotePlan& plan) {
  const NoteRecord& record = note_->record;
  const bool is_finishing =
      static_cast<size_t>(record.stage) >= plan.stage_count();
  // Only the last change may use the reserved time.
  const WallTime limit =
      is_finishing ? plan.note().traffic_by : LastStageDeadline(plan);
  if (wall_ < limit) {
    return true;
  }
  StartRollback(DescribeLateness(plan.note().traffic_by, record.stage,
                                 plan.stage_count()));
  return false;
}

void NoteExecutor::EndStageWhenDue(const NotePlan& plan) {
  if (has_saved_) {
    return;
  }
  NoteRecord record = note_->record;
  const size_t stage = static_cast<size_t>(record.stage);
  const size_t count = plan.stage_count();
  if (record.stage_since == WallTime()) {
    record.stage_since = wall_;
    record.share = plan.StageShare(stage, record.ejected);
    record.reason = DescribeStage(record.stage, count, record.share);
    Save("advance", std::move(record));
    return;
  }
  const Duration remaining = LastStageDeadline(plan) - record.stage_since;
  const bool is_last = stage + 1 == count;
  const Duration min_bake = context_.options->min_judged_move / kMinBakeDivisor;
  if (plan.IsJudged() && is_last && remaining < min_bake) {
    StartRollback("too little time was left to judge the new version");
    return;
  }
  const Duration length =
      plan.IsJudged() ? plan.StageDuration(stage, remaining) : Duration(0);
  // The last stage ends 5% early, so that it does not end past its deadline.
  const Duration planned = is_last ? length - length / 20 : length;
  if (wall_ - record.stage_since < planned) {
    return;
  }
  if (plan.IsJudged() && is_last && requests_ < kMinJudgedRequests) {
    return;  // more requests may be compared before the deadline
  }
  ++record.stage;
  record.stage_since = WallTime();
  record.reason = is_last ? "judged good, moving the rest"
                          : absl::StrCat("preparing stage ", record.stage + 1,
                                         " of ", count);
  Save("advance", std::move(record));
}

void NoteExecutor::Finish(const NotePlan& plan) {
  const NoteRecord& record = note_->record;
  FleetConfig wanted = plan.target();
  wanted.note = record.id;
  std::erase_if(wanted.upstreams, [&record](const UpstreamSpec& upstream) {
    return absl::c_linear_search(record.ejected, upstream.id);
  });
  bool is_ready = true;
  for (const PoolMove& move : plan.moves()) {
    for (const UpstreamSpec& upstream : move.sequence) {
      if (absl::c_linear_search(record.ejected, upstream.id)) {
        continue;
      }
      EngineGoal goal = GoalOf(plan, upstream);
      goal.active = move.to;
      // Once all traffic has moved, each engine must confirm its state again: a
      // late order of an earlier holder may have changed it.
      is_ready = ReconcileEngine(plan, upstream, goal,
                                 settled_since_.value_or(TimePoint())) &&
                 is_ready;
    }
  }
  if (has_saved_ || !is_ready || !context_.publisher->Publish(wanted)) {
    return;
  }
  if (!settled_since_) {
    settled_since_ = now_;
    return;
  }
  NoteRecord done = record;
  done.share = Permille(1000);
  done.reason = plan.IsJudged() ? DescribeMove(plan.pools(), requests_)
                                : DescribeChange(plan.pools());
  if (!record.ejected.empty()) {
    absl::StrAppend(&done.reason, DescribeEjected(record.ejected));
  }
  Save("finish", std::move(done));
}

void NoteExecutor::RollBack() {
  if (!restoring_since_) {
    restoring_since_ = now_;
  }
  const NoteRecord& record = note_->record;
  const FleetConfig base =
      UndoNote(context_.publisher->config(), record.before);
  std::vector<UpstreamId> missing;
  const bool is_settled = RestoreEngines(base, &missing);
  if (!is_settled && now_ - *restoring_since_ < kPartialRollbackDelay) {
    return;
  }
  FleetConfig wanted = base;
  wanted.note = record.id;
  RemoveUpstreams(missing, &wanted);
  if (!context_.publisher->Publish(wanted) || !is_settled) {
    return;
  }
  NoteRecord rolled_back = record;
  rolled_back.share = Permille(0);
  absl::StrAppend(&rolled_back.reason,
                  "; taken back, traffic is where it was before");
  if (!missing.empty()) {
    absl::StrAppend(&rolled_back.reason, ", without ", ListNames(missing),
                    ", which take no orders");
  }
  Save("finish", std::move(rolled_back));
}

}  // namespace papaya
