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

// What an engine shall be like. Empty parts are left alone.
struct EngineGoal {
  VersionId loaded;
  VersionId active;
  std::vector<std::string> adapters;
  std::string role;
  // True if versions other than `active` shall be unloaded.
  bool only_active = false;
};

// How far a goal is.
enum class GoalProgress {
  kReached,      // the engine itself says so
  kInProgress,   // orders are under way, or it is not yet time
  kUnreachable,  // it has not taken orders for long
};

// Brings engines to goals by orders and read-backs, under one lease. Each
// engine has at most one call in flight, and no order is sent whose timeout
// outlives the lease.
class EngineReconciler {
 public:
  EngineReconciler(const NoteRunnerOptions& options,
                   const NoteRunnerHooks& hooks,
                   const NoteLease* lease,
                   Random* random);
  ~EngineReconciler();

  // Starts a term as holder: forgets what engines said before. Engines that
  // check no fencing numbers are left alone until the last holder's longest
  // order is over.
  void BeginTerm(TimePoint now, FencingNumber epoch);

  void OnTick(TimePoint now) { now_ = now; }

  // Takes the next step towards `goal`. What the engine said counts only if it
  // was read at `read_after` or later. Plain services reach every goal.
  GoalProgress Reconcile(const UpstreamSpec& upstream,
                         const EngineGoal& goal,
                         TimePoint read_after);

  // What the engine said last in this term; null if nothing.
  const EngineState* LastState(const UpstreamId& upstream) const;

  // When it said so; empty if it has not in this term.
  std::optional<TimePoint> LastReadTime(const UpstreamId& upstream) const;

  // Forgets engines that are not in `config`.
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
  // Engines that load a version now.
  std::set<UpstreamId> loading_;
  std::shared_ptr<Shared> shared_;
};

}  // namespace papaya

#endif  // SRC_ROLLOUT_ENGINE_RECONCILER_H_
