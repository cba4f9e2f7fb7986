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
  // Time limit for an order. An order that was not answered by then no longer
  // takes effect.
  Duration order_timeout = std::chrono::seconds(5);
  // Usual time to load one version from the weight store.
  Duration load_time = std::chrono::seconds(60);
  // Limit on the number of engines that load a version at the same time.
  int concurrent_loads = 4;
  // Limit on the number of orders and state reads in flight.
  int concurrent_calls = 64;
  // Interval at which the lease holder lists the notes.
  Duration list_interval = std::chrono::seconds(3);
  // An engine whose reads or orders have failed for this long is ejected.
  Duration unreachable_after = std::chrono::minutes(3);
  // Time for requests of the old version to finish before it is unloaded.
  Duration drain_time = std::chrono::seconds(30);
  // A note that moves a pool in stages does not begin if less time than this
  // remains until its `traffic_by`.
  Duration min_judged_move = kMinJudgedMove;
  // Limit on the number of ended notes in the store; the oldest are removed
  // first.
  int max_ended_notes = 50;
};

struct NoteRunnerHooks {
  using OrderDone = std::function<void(absl::Status)>;
  using StateDone = std::function<void(absl::StatusOr<EngineState>)>;

  // Sends an order. Calls `done` exactly once, not from inside the call, by
  // `answer_before` at the latest: with kOk if the action is done or a load has
  // started, kAborted if the engine has received a higher fencing number,
  // kResourceExhausted if the weight store is busy, and another code if there
  // was no answer.
  std::function<void(const EngineOrder&, OrderDone)> order;

  // Reads the state of an engine. Calls `done` exactly once, not from inside
  // the call, within `order_timeout`.
  std::function<void(const UpstreamSpec&, StateDone)> read_state;

  // Called with each revision that this runner has written to the store, so
  // that it spreads to other routers at once. The revision is in force even if
  // it is not called.
  std::function<void(const FleetConfig&, ObjectVersion)> publish;

  // Logs state changes of notes; may be empty.
  EventHook log;
};

// Runs release notes while it holds the note lease: plans stages, sends orders
// to engines, publishes configurations, and records the progress and end of
// each note.
//
// Each step is computed from the notes and the configuration in the store, the
// states reported by engines, and the stop facts; no other state is kept.
// Another holder can therefore continue at any point, and steps may be
// repeated.
//
// Notes that affect the same pool run one after the other, oldest first; other
// notes run concurrently.
class NoteRunner {
 public:
  // `store` and `random` must outlive the runner. `owner` is unique to this run
  // of the process.
  NoteRunner(ObjectStore* store,
             const std::string& prefix,
             const std::string& owner,
             const std::shared_ptr<const StateChart>& chart,
             const NoteRunnerOptions& options,
             const NoteRunnerHooks& hooks,
             Random* random);
  ~NoteRunner();

  // Advances the lease, the notes and the engines; call about every 100 ms on
  // the control thread. `wall` is compared with the `traffic_by` of notes. Only
  // candidates take the lease; make a few routers of each availability zone
  // candidates.
  void OnTick(TimePoint now, WallTime wall, bool is_candidate);

  // Adds a stop fact found by this router or by another one. Every router keeps
  // them, holder or not, so that a new holder has them.
  void OnStopFact(const StopFact& fact);

  // Sets the number of requests of the new versions of `note` that VersionJudge
  // has compared so far.
  void OnEvidence(const NoteId& note, uint64_t requests);

  // Returns true if this process certainly holds the lease at `now`.
  bool IsHolder(TimePoint now) const;

  // Returns the holder of the lease as last seen, for status pages; empty if
  // unknown.
  std::string seen_holder() const;

  // Returns the notes in progress as known to this holder; empty on routers
  // that have not held the lease.
  std::vector<StoredNote> Notes() const;

 private:
  class Core;

  std::shared_ptr<Core> core_;
};

}  // namespace papaya

#endif  // INCLUDE_ROLLOUT_NOTE_RUNNER_H_
