#ifndef SRC_ROLLOUT_NOTE_EXECUTOR_H_
#define SRC_ROLLOUT_NOTE_EXECUTOR_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "include/base/ids.h"
#include "include/base/units.h"
#include "include/rollout/note_plan.h"
#include "include/rollout/note_record.h"
#include "include/rollout/note_runner.h"
#include "include/rollout/stop_fact.h"
#include "src/rollout/config_publisher.h"
#include "src/rollout/engine_reconciler.h"

namespace papaya {

class StateChart;

// The objects that a NoteExecutor uses; all must outlive it.
struct NoteExecutorContext {
  const NoteRunnerOptions* options;
  std::shared_ptr<const StateChart> chart;
  ConfigPublisher* publisher;
  EngineReconciler* reconciler;
  const StopSet* stops;
  // Starts to write the record in place of `previous`.
  std::function<void(const StoredNote& previous, const NoteRecord&)> save;
};

// Runs one note step by step. Each step is computed from the record, the
// configuration in the store and the states reported by engines, so that an
// executor created in the middle of a note continues it.
class NoteExecutor {
 public:
  explicit NoteExecutor(const NoteExecutorContext& context);

  // Takes the next step of `note`, which must not have ended. Starts at most
  // one write of the record; the caller must not call again until that write
  // has finished. `requests` is the number of requests of new versions compared
  // so far.
  void Step(const StoredNote& note,
            uint64_t requests,
            TimePoint now,
            WallTime wall);

 private:
  void StartNote();
  void AdvanceStage();
  void RollBack();
  void Finish(const NotePlan& plan);

  // Each of the following that returns a bool returns true if its part needs no
  // further action.
  bool RefreshPlan();
  bool ExtendRollbackState(const ReleaseNote& note);
  bool HandleRevision(const NotePlan& plan);
  bool HandleStopFacts(const NotePlan& plan);
  bool CheckDeadline(const NotePlan& plan);
  bool PrepareEngines(const NotePlan& plan);
  bool RevertToOldVersion(const NotePlan& plan, const PoolMove& move);
  bool ActivateEngines(const NotePlan& plan);
  void PreloadReplicas(const NotePlan& plan);
  void EndStageWhenDue(const NotePlan& plan);
  bool RestoreEngines(const FleetConfig& base,
                      std::vector<UpstreamId>* missing);

  // Reconciles `upstream` towards `goal` and ejects it if it is unreachable.
  // Returns true if the goal is reached.
  bool ReconcileEngine(const NotePlan& plan,
                       const UpstreamSpec& upstream,
                       const EngineGoal& goal,
                       TimePoint read_after);
  // Reconciles each of `upstreams` that is not ejected towards its version in
  // the target configuration.
  bool ReconcileEngines(const NotePlan& plan,
                        const std::vector<UpstreamSpec>& upstreams);
  void EjectUpstream(const NotePlan& plan,
                     const UpstreamId& upstream,
                     const std::string& why);
  void Save(const std::string& event, NoteRecord record);
  void StartRollback(const std::string& reason);
  size_t CountEjectedUpstreams(const NotePlan& plan, const PoolId& pool) const;
  EngineGoal GoalOf(const NotePlan& plan, const UpstreamSpec& upstream) const;
  bool HasConfiguredVersion(const UpstreamId& upstream,
                            const VersionId& version) const;
  WallTime LastStageDeadline(const NotePlan& plan) const;

  const NoteExecutorContext context_;
  // Input of the present step.
  const StoredNote* note_ = nullptr;
  uint64_t requests_ = 0;
  TimePoint now_;
  WallTime wall_;
  bool has_saved_ = false;

  // The plan and its configuration for the present stage; recomputed when the
  // record or the configuration in the store changes.
  std::unique_ptr<const NotePlan> plan_;
  FleetConfig stage_config_;
  std::pair<ObjectVersion, Revision> plan_basis_;

  // When this holder first found all traffic moved, or began to roll back.
  // Engine states read before that time do not count.
  std::optional<TimePoint> settled_since_;
  std::optional<TimePoint> restoring_since_;
};

}  // namespace papaya

#endif  // SRC_ROLLOUT_NOTE_EXECUTOR_H_
