#include "include/rollout/note_runner.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "include/chart/state_chart.h"
#include "include/rollout/note_plan.h"
#include "src/rollout/config_publisher.h"
#include "src/rollout/engine_reconciler.h"
#include "src/rollout/note_executor.h"

namespace papaya {

namespace {

// Least remaining time of the lease to start any work, so that a store write
// can finish within it.
constexpr Duration kMinLeaseForWrite = std::chrono::seconds(2);
// Interval between audits of single engines that no note affects.
constexpr Duration kAuditInterval = std::chrono::milliseconds(100);
// An audited engine is read again if its last state is older than this.
constexpr Duration kMaxAuditAge = std::chrono::seconds(30);

bool IsSubmittedEarlier(const StoredNote* a, const StoredNote* b) {
  return std::tie(a->record.submitted, a->record.id) <
         std::tie(b->record.submitted, b->record.id);
}

// The parts of a note that decide when it may run, cached for one version of
// the note and of the configuration.
struct NoteScope {
  ObjectVersion note;
  Revision config;
  // The affected pools; no other note may run on them at the same time.
  std::vector<PoolId> pools;
  WallTime traffic_by;
};

}  // namespace

// State of the runner. Callbacks share its ownership and check `is_alive_`.
class NoteRunner::Core : public std::enable_shared_from_this<NoteRunner::Core> {
 public:
  Core(ObjectStore* store,
       const std::string& prefix,
       const std::string& owner,
       const std::shared_ptr<const StateChart>& chart,
       const NoteRunnerOptions& options,
       const NoteRunnerHooks& hooks,
       Random* random)
      : options_(options),
        hooks_(hooks),
        owner_(owner),
        prefix_(prefix),
        store_(store),
        chart_(chart),
        note_store_(store, prefix, chart),
        lease_(store, prefix, owner, options.lease, random),
        publisher_(store, prefix, owner, hooks.publish),
        reconciler_(options_, hooks, &lease_, random) {}

  void OnTick(TimePoint now, WallTime wall, bool is_candidate) {
    now_ = now;
    wall_ = wall;
    lease_.OnTick(now, is_candidate);
    const std::optional<FencingNumber> epoch = lease_.HeldEpoch(now);
    if (!epoch) {
      return;
    }
    if (epoch != epoch_ || !was_holder_) {
      BeginTerm(*epoch);
    }
    was_holder_ = true;
    if (!lease_.HoldsUntil(now + kMinLeaseForWrite)) {
      return;  // too little time remains to start anything
    }
    publisher_.OnTick(now);
    reconciler_.OnTick(now);
    ListIfDue();
    if (has_listed_ && publisher_.IsKnown()) {
      StepNotes();
      Audit();
      PruneNotes();
    }
  }

  void UpdateHolderState() {
    if (!lease_.HeldEpoch(now_)) {
      was_holder_ = false;
    }
  }

  void Stop() { is_alive_ = false; }

  StopSet* stops() { return &stops_; }
  std::map<NoteId, uint64_t>* evidence() { return &evidence_; }
  const NoteLease& lease() const { return lease_; }

  std::vector<StoredNote> Notes() const {
    std::vector<StoredNote> notes;
    for (const auto& [id, note] : notes_) {
      if (!IsFinalNoteState(note.record.state)) {
        notes.push_back(note);
      }
    }
    return notes;
  }

 private:
  void BeginTerm(FencingNumber epoch) {
    epoch_ = epoch;
    has_listed_ = false;
    next_list_ = now_;
    notes_.clear();
    executors_.clear();
    scopes_.clear();
    saving_.clear();
    ++term_;
    publisher_.Forget();
    reconciler_.BeginTerm(now_, epoch);
  }

  void ListIfDue() {
    if (is_listing_ || now_ < next_list_) {
      return;
    }
    is_listing_ = true;
    next_list_ = now_ + options_.list_interval;
    note_store_.List(
        [self = shared_from_this(), term = term_](
            const absl::Status& status, const std::vector<StoredNote>& notes) {
          self->is_listing_ = false;
          if (self->is_alive_ && status.ok() && term == self->term_) {
            self->OnListed(notes);
          }
        });
  }

  void OnListed(const std::vector<StoredNote>& notes) {
    has_listed_ = true;
    for (const StoredNote& note : notes) {
      StoredNote& known = notes_[note.record.id];
      if (known.version < note.version) {
        known = note;
      }
      if (IsFinalNoteState(known.record.state)) {
        stops_.Forget(known.record.id);
      }
    }
    // Writes with an uncertain result were started before this list was
    // requested.
    std::erase_if(saving_, [](const auto& entry) {
      return entry.second == SaveState::kInDoubt;
    });
  }

  // Steps the notes in progress whose pools are free, started ones first, then
  // by time of submission.
  void StepNotes() {
    std::vector<const StoredNote*> active;
    for (const auto& [id, note] : notes_) {
      if (!IsFinalNoteState(note.record.state)) {
        active.push_back(&note);
      }
    }
    // Notes that have started already own their pools.
    std::sort(active.begin(), active.end(), &IsSubmittedEarlier);
    std::stable_partition(active.begin(), active.end(),
                          [](const StoredNote* note) {
                            return note->record.state != kNoteWaiting;
                          });
    busy_pools_.clear();
    for (const StoredNote* const note : active) {
      const NoteScope& scope = ScopeOf(*note);
      const std::vector<PoolId>& pools = scope.pools;
      const bool is_free = std::none_of(
          pools.begin(), pools.end(),
          [this](const PoolId& pool) { return busy_pools_.contains(pool); });
      busy_pools_.insert(pools.begin(), pools.end());
      // A note that waits for its pools past its `traffic_by` may step, as its
      // only step is to end.
      const bool may_step = is_free || note->record.state != kNoteWaiting ||
                            scope.traffic_by <= wall_;
      if (may_step && !saving_.contains(note->record.id)) {
        StepNote(note->record.id);
      }
    }
  }

  const NoteScope& ScopeOf(const StoredNote& note) {
    NoteScope& scope = scopes_[note.record.id];
    if (scope.note == note.version &&
        scope.config == publisher_.config().revision) {
      return scope;
    }
    std::vector<TextFault> faults;
    const ReleaseNote text = ReleaseNote::Parse(note.record.text, &faults);
    scope.note = note.version;
    scope.config = publisher_.config().revision;
    scope.pools =
        CaptureRollbackState(text, publisher_.config(), note.record.before)
            .pools;
    scope.traffic_by = text.traffic_by;
    return scope;
  }

  void StepNote(const NoteId& id) {
    std::unique_ptr<NoteExecutor>& executor = executors_[id];
    if (executor == nullptr) {
      executor = std::make_unique<NoteExecutor>(NoteExecutorContext{
          &options_, chart_, &publisher_, &reconciler_, &stops_,
          [this](const StoredNote& previous, const NoteRecord& record) {
            Save(previous, record);
          }});
    }
    // Copied, because saving may replace the entry.
    const StoredNote note = notes_.at(id);
    executor->Step(note, evidence_[id], now_, wall_);
  }

  void Save(const StoredNote& previous, const NoteRecord& record) {
    saving_[record.id] = SaveState::kWriting;
    const OperationId operation(absl::StrCat("note/", owner_, "/", ++writes_));
    note_store_.Update(
        record, previous.version, operation,
        [self = shared_from_this(), id = record.id, term = term_,
         before = previous.record.state](const NoteResult& result) {
          if (self->is_alive_ && term == self->term_) {
            self->OnSaved(id, before, result);
          }
        });
  }

  void OnSaved(const NoteId& id,
               const std::string& state_before,
               const NoteResult& result) {
    if (notes_[id].version < result.note.version) {
      notes_[id] = result.note;
    }
    if (!result.status.ok()) {
      // The note is not stepped again until the notes were listed again.
      saving_[id] = SaveState::kInDoubt;
      next_list_ = std::min(next_list_, now_ + std::chrono::seconds(1));
      return;
    }
    saving_.erase(id);
    if (result.note.record.state != state_before) {
      Log(result.note.record);
    }
    if (IsFinalNoteState(result.note.record.state)) {
      executors_.erase(id);
      scopes_.erase(id);
      evidence_.erase(id);
      stops_.Forget(id);
      drain_until_ = now_ + options_.drain_time;
    }
  }

  void Log(const NoteRecord& record) const {
    if (hooks_.log) {
      hooks_.log({EventId::kNoteStateChanged,
                  {{"note", record.id.value()},
                   {"state", record.state},
                   {"reason", record.reason}}});
    }
  }

  // Reconciles the engines that no note affects, one per call: corrects the
  // effects of late orders and restarts, and unloads versions that no note
  // needs.
  void Audit() {
    const FleetConfig& config = publisher_.config();
    if (config.upstreams.empty() || now_ < next_audit_) {
      return;
    }
    next_audit_ = now_ + kAuditInterval;
    audited_ = (audited_ + 1) % config.upstreams.size();
    const UpstreamSpec& upstream = config.upstreams[audited_];
    if (busy_pools_.contains(upstream.pool)) {
      return;
    }
    EngineGoal goal;
    goal.active = upstream.version;
    goal.only_active = now_ >= drain_until_;
    reconciler_.Reconcile(upstream, goal, now_ - kMaxAuditAge);
  }

  // Removes the oldest ended notes beyond `max_ended_notes`, one at a time.
  void PruneNotes() {
    std::vector<const StoredNote*> ended;
    for (const auto& [id, note] : notes_) {
      if (IsFinalNoteState(note.record.state)) {
        ended.push_back(&note);
      }
    }
    if (is_pruning_ ||
        ended.size() <= static_cast<size_t>(options_.max_ended_notes)) {
      return;
    }
    const StoredNote oldest =
        **std::min_element(ended.begin(), ended.end(), &IsSubmittedEarlier);
    is_pruning_ = true;
    const ConditionalWrite removal = {
        absl::StrCat(prefix_, "/notes/", oldest.record.id.value()),
        oldest.version,
        OperationId(absl::StrCat("prune/", owner_, "/", ++writes_)),
        std::nullopt};
    store_->Put(removal, [self = shared_from_this(), id = oldest.record.id](
                             const absl::StatusOr<ObjectVersion>&) {
      self->is_pruning_ = false;
      self->notes_.erase(id);
    });
  }

  enum class SaveState { kWriting, kInDoubt };

  const NoteRunnerOptions options_;
  const NoteRunnerHooks hooks_;
  const std::string owner_;
  const std::string prefix_;
  ObjectStore* const store_;
  const std::shared_ptr<const StateChart> chart_;
  ReleaseNoteStore note_store_;
  NoteLease lease_;
  ConfigPublisher publisher_;
  EngineReconciler reconciler_;
  StopSet stops_;
  std::map<NoteId, uint64_t> evidence_;

  bool is_alive_ = true;
  TimePoint now_;
  WallTime wall_;
  std::optional<FencingNumber> epoch_;
  bool was_holder_ = false;
  // Grows with each term as holder, so that answers to calls of an earlier term
  // are ignored.
  uint64_t term_ = 0;
  uint64_t writes_ = 0;

  bool is_listing_ = false;
  bool has_listed_ = false;
  bool is_pruning_ = false;
  TimePoint next_list_;
  std::map<NoteId, StoredNote> notes_;
  std::map<NoteId, std::unique_ptr<NoteExecutor>> executors_;
  std::map<NoteId, SaveState> saving_;
  std::map<NoteId, NoteScope> scopes_;
  std::set<PoolId> busy_pools_;
  TimePoint next_audit_;
  // Until this time, requests of an old version may still be in progress.
  TimePoint drain_until_;
  size_t audited_ = 0;
};

NoteRunner::NoteRunner(ObjectStore* store,
                       const std::string& prefix,
                       const std::string& owner,
                       const std::shared_ptr<const StateChart>& chart,
                       const NoteRunnerOptions& options,
                       const NoteRunnerHooks& hooks,
                       Random* random)
    : core_(std::make_shared<Core>(store,
                                   prefix,
                                   owner,
                                   chart,
                                   options,
                                   hooks,
                                   random)) {}

NoteRunner::~NoteRunner() {
  core_->Stop();
}

void NoteRunner::OnTick(TimePoint now, WallTime wall, bool is_candidate) {
  core_->OnTick(now, wall, is_candidate);
  core_->UpdateHolderState();
}

void NoteRunner::OnStopFact(const StopFact& fact) {
  core_->stops()->Add(fact);
}

void NoteRunner::OnEvidence(const NoteId& note, uint64_t requests) {
  (*core_->evidence())[note] = requests;
}

bool NoteRunner::IsHolder(TimePoint now) const {
  return core_->lease().HeldEpoch(now).has_value();
}

std::string NoteRunner::seen_holder() const {
  return core_->lease().seen_owner();
}

std::vector<StoredNote> NoteRunner::Notes() const {
  return core_->Notes();
}

}  // namespace papaya
