#ifndef INCLUDE_ROLLOUT_NOTE_RUNNER_H_
#define INCLUDE_ROLLOUT_NOTE_RUNNER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "include/base/ids.h"
#include "include/base/random.h"
#include "include/base/units.h"
#include "include/config/fleet_config.h"
#include "include/config/object_store.h"
#include "include/rollout/engine_order.h"
#include "include/rollout/note_lease.h"
#include "include/rollout/note_record.h"
#include "include/rollout/release_note.h"
#include "include/rollout/release_note_store.h"
#include "include/rollout/stop_fact.h"
#include "include/telemetry/event.h"

namespace papaya {

class StateChart;

struct NoteRunnerOptions {
  NoteLeaseOptions lease;
  // An order that was not answered after this long will have no effect.
  Duration order_timeout = std::chrono::seconds(5);
  // Loading one version from the weight store takes about this long.
  Duration load_time = std::chrono::seconds(60);
  // Loads that the weight store serves at the same time.
  int concurrent_loads = 4;
  // Orders and reads in flight at the same time.
  int concurrent_calls = 64;
  // The holder reads the notes this often.
  Duration list_interval = std::chrono::seconds(3);
  // A replica that takes no order for so long is set aside.
  Duration unreachable_after = std::chrono::minutes(3);
  // Requests of the old version that were under way get this long before it is
  // unloaded.
  Duration drain_time = std::chrono::seconds(30);
  // A note that leaves a judged version less time than this does not begin.
  Duration min_judged_move = kMinJudgedMove;
  // Ended notes that are kept in the store.
  int max_ended_notes = 50;
};

struct NoteRunnerHooks {
  using OrderDone = std::function<void(absl::Status)>;
  using StateDone = std::function<void(absl::StatusOr<EngineState>)>;

  // Sends an order; `done` exactly once, not from inside the call, by
  // `answer_before` at the latest. kOk: done or being loaded. kAborted: the
  // engine knows a newer fencing number. kResourceExhausted: the weight store
  // is busy. Others: no answer.
  std::function<void(const EngineOrder&, OrderDone)> order;

  // Reads an engine's state; `done` as above, within order_timeout.
  std::function<void(const UpstreamSpec&, StateDone)> read_state;

  // Called with each revision that this runner has written to the store, so
  // that it spreads at once. It is in force whether or not this is called.
  std::function<void(const FleetConfig&, ObjectVersion)> publish;

  // May be empty.
  EventHook log;
};

// Carries out release notes while it holds the lease: plans stages, orders
// engines, publishes configurations, and writes each note's progress and end.
//
// Each step is worked out afresh from the store's notes, the store's
// configuration, what engines say and the stop facts; nothing else is
// remembered. So another holder goes on wherever this one died, and steps may
// be repeated.
//
// Notes that touch the same pools are carried out one after the other, oldest
// first; others side by side.
class NoteRunner {
 public:
  // `store` and `random` must outlive the runner. `owner` is unique to this
  // process's run.
  NoteRunner(ObjectStore* store,
             const std::string& prefix,
             const std::string& owner,
             const std::shared_ptr<const StateChart>& chart,
             const NoteRunnerOptions& options,
             const NoteRunnerHooks& hooks,
             Random* random);
  ~NoteRunner();

  // Goes on with everything; call every 100 ms or so on the control thread.
  // `wall` is compared with notes' `traffic_by`. Only candidates take the
  // lease; make a few routers of each availability zone candidates.
  void OnTick(TimePoint now, WallTime wall, bool is_candidate);

  // A finding of this router's judge or of another's. Kept by any router,
  // holder or not, so that a new holder knows.
  void OnStopFact(const StopFact& fact);

  // Requests of new versions that were compared so far, from VersionJudge.
  void OnEvidence(const NoteId& note, uint64_t requests);

  // True while the lease is surely ours.
  bool IsHolder(TimePoint now) const;

  // Who holds the lease as last seen, for status; empty if unknown.
  std::string seen_holder() const;

  // Notes in progress as this holder knows them; empty on other routers.
  std::vector<StoredNote> Notes() const;

 private:
  class Core;

  std::shared_ptr<Core> core_;
};

}  // namespace papaya

#endif  // INCLUDE_ROLLOUT_NOTE_RUNNER_H_
