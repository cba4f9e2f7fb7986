#ifndef SRC_ROLLOUT_NOTE_MOVER_H_
#define SRC_ROLLOUT_NOTE_MOVER_H_

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
#include "src/rollout/config_desk.h"
#include "src/rollout/engine_keeper.h"

namespace papaya {

class StateChart;

// What a NoteMover works with; all outlive it.
struct NoteMoverContext {
  const NoteRunnerOptions* options;
  std::shared_ptr<const StateChart> chart;
  ConfigDesk* desk;
  EngineKeeper* keeper;
  const StopSet* stops;
  // Starts writing the record in place of `stands`.
  std::function<void(const StoredNote& stands, const NoteRecord&)> save;
};

// Takes one note the next step. Each step follows from the record, from the
// configuration in the store and from what the engines say, so a mover that
// starts in the middle of a note goes on as its predecessor would have.
class NoteMover {
 public:
  explicit NoteMover(const NoteMoverContext& context);

  // At most one write of the record is begun; the caller does not call again
  // until it is settled. `requests` of new versions were compared so far. The
  // note must not have ended.
  void Step(const StoredNote& note,
            uint64_t requests,
            TimePoint now,
            WallTime wall);

 private:
  void Begin();
  void Move();
  void TakeBack();
  void Finish(const NotePlan& plan);

  // Each gives true if there is nothing more to do in its part.
  bool RefreshPlan();
  bool CaptureMore(const ReleaseNote& note);
  bool HeedRevision(const NotePlan& plan);
  bool HeedStops(const NotePlan& plan);
  bool HeedDeadline(const NotePlan& plan);
  bool PrepareEngines(const NotePlan& plan);
  bool ReturnToOld(const NotePlan& plan, const PoolMove& move);
  bool ActivateEngines(const NotePlan& plan);
  void PreloadNext(const NotePlan& plan);
  void WaitOutStage(const NotePlan& plan);
  bool RestoreEngines(const FleetConfig& base,
                      std::vector<UpstreamId>* missing);

  // Pursues `goal`; an upstream that takes no orders is set aside.
  bool Bring(const NotePlan& plan,
             const UpstreamSpec& upstream,
             const EngineGoal& goal,
             TimePoint read_after);
  // Brings each of `upstreams` that is not set aside to the version that it
  // shall serve.
  bool BringAtOnce(const NotePlan& plan,
                   const std::vector<UpstreamSpec>& upstreams);
  void SetAside(const NotePlan& plan,
                const UpstreamId& upstream,
                const std::string& why);
  void Save(const std::string& event, NoteRecord record);
  void StartTakingBack(const std::string& reason);
  size_t CountAside(const NotePlan& plan, const PoolId& pool) const;
  EngineGoal GoalOf(const NotePlan& plan, const UpstreamSpec& upstream) const;
  bool IsLabelled(const UpstreamId& upstream, const VersionId& version) const;
  WallTime LastMoment(const NotePlan& plan) const;

  const NoteMoverContext context_;
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

#endif  // SRC_ROLLOUT_NOTE_MOVER_H_
