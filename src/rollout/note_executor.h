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

// What a NoteExecutor works with; all outlive it.
struct NoteExecutorContext {
  const NoteRunnerOptions* options;
  std::shared_ptr<const StateChart> chart;
  ConfigPublisher* publisher;
  EngineReconciler* reconciler;
  const StopSet* stops;
  // Starts writing the record in place of `stands`.
  std::function<void(const StoredNote& previous, const NoteRecord&)> save;
};

// Takes one note the next step. Each step follows from the record, from the
// configuration in the store and from what the engines say, so a mover that
// starts in the middle of a note goes on as its predecessor would have.
class NoteExecutor {
 public:
  explicit NoteExecutor(const NoteExecutorContext& context);

  // At most one write of the record is begun; the caller does not call again
  // until it is settled. `requests` of new versions were compared so far. The
  // note must not have ended.
  void Step(const StoredNote& note,
            uint64_t requests,
            TimePoint now,
            WallTime wall);

 private:
  void StartNote();
  void AdvanceStage();
  void RollBack();
  void Finish(const NotePlan& plan);

  // Each gives true if there is nothing more to do in its part.
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

  // Pursues `goal`; an upstream that takes no orders is set aside.
  bool ReconcileEngine(const NotePlan& plan,
                       const UpstreamSpec& upstream,
                       const EngineGoal& goal,
                       TimePoint read_after);
  // Brings each of `upstreams` that is not set aside to the version that it
  // shall serve.
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
  // The step's input.
  const StoredNote* note_ = nullptr;
  uint64_t requests_ = 0;
  TimePoint now_;
  WallTime wall_;
  bool has_saved_ = false;

  // The plan and its configuration for the present stage, worked out anew when
  // the note or the configuration in the store is another.
  std::unique_ptr<const NotePlan> plan_;
  FleetConfig stage_config_;
  std::pair<ObjectVersion, Revision> plan_basis_;

  // When this holder first found all traffic moved, or began to take back: what
  // engines say counts from then on.
  std::optional<TimePoint> settled_since_;
  std::optional<TimePoint> restoring_since_;
};

}  // namespace papaya

#endif  // SRC_ROLLOUT_NOTE_EXECUTOR_H_
