#ifndef SRC_ROLLOUT_ENGINE_RECONCILER_H_
#define SRC_ROLLOUT_ENGINE_RECONCILER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "include/base/ids.h"
#include "include/base/random.h"
#include "include/base/units.h"
#include "include/config/fleet_config.h"
#include "include/rollout/engine_order.h"
#include "include/rollout/note_lease.h"
#include "include/rollout/note_runner.h"

namespace papaya {

// The desired state of an engine. Empty fields are not changed.
struct EngineGoal {
  VersionId loaded;
  VersionId active;
  std::vector<std::string> adapters;
  std::string role;
  // True to unload all versions other than `active`.
  bool only_active = false;
};

// Progress of an engine towards its goal.
enum class GoalProgress {
  kReached,      // reported by the engine itself
  kInProgress,   // waiting for orders, reads, or a time
  kUnreachable,  // reads, orders or a load have failed for too long
};

// Drives engines towards their goals with orders and state reads while this
// process holds the note lease. Each engine has at most one call in flight. No
// order is sent whose timeout ends after the lease.
class EngineReconciler {
 public:
  EngineReconciler(const NoteRunnerOptions& options,
                   const NoteRunnerHooks& hooks,
                   const NoteLease* lease,
                   Random* random);
  ~EngineReconciler();

  // Starts a term as holder and discards the states read before. Engines that
  // do not check fencing numbers are not contacted until `order_timeout` has
  // passed, as an order of the previous holder may still reach them.
  void BeginTerm(TimePoint now, FencingNumber epoch);

  void OnTick(TimePoint now) { now_ = now; }

  // Takes the next step towards `goal`. A state of the engine counts only if
  // its read began at `read_after` or later. Returns kReached for plain
  // services, which take no orders.
  GoalProgress Reconcile(const UpstreamSpec& upstream,
                         const EngineGoal& goal,
                         TimePoint read_after);

  // Returns the last state read in this term, or null.
  const EngineState* LastState(const UpstreamId& upstream) const;

  // Returns when that read began; empty if there was none in this term.
  std::optional<TimePoint> LastReadTime(const UpstreamId& upstream) const;

  // Discards the state of engines that are not in `config`.
  void Prune(const FleetConfig& config);

 private:
  struct Engine;
  struct Shared;

  void Read(const UpstreamSpec& upstream, Engine* engine);
  void Order(const UpstreamSpec& upstream,
             OrderAction action,
             const std::string& argument,
             Engine* engine);
  void SendNextOrder(const UpstreamSpec& upstream,
                     const EngineGoal& goal,
                     Engine* engine);
  bool IsUnreachable(const Engine& engine) const;
  bool AcquireLoadSlot(const UpstreamSpec& upstream, Engine* engine);

  const NoteRunnerOptions options_;
  const NoteRunnerHooks hooks_;
  const NoteLease* const lease_;
  Random* const random_;
  TimePoint now_;
  TimePoint term_began_;
  FencingNumber epoch_;
  uint64_t orders_ = 0;
  std::map<UpstreamId, std::shared_ptr<Engine>> engines_;
  // Engines that are loading a version; at most `concurrent_loads`.
  std::set<UpstreamId> loading_;
  std::shared_ptr<Shared> shared_;
};

}  // namespace papaya

#endif  // SRC_ROLLOUT_ENGINE_RECONCILER_H_
