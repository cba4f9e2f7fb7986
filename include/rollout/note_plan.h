#ifndef INCLUDE_ROLLOUT_NOTE_PLAN_H_
#define INCLUDE_ROLLOUT_NOTE_PLAN_H_

#include <optional>
#include <string>
#include <vector>

#include "include/base/ids.h"
#include "include/base/units.h"
#include "include/config/fleet_config.h"
#include "include/rollout/note_record.h"
#include "include/rollout/release_note.h"

namespace papaya {

// One stage of moving a pool to a new version.
struct Stage {
  // Number of replicas that serve the new version.
  size_t replicas = 0;
  // Load of each of these replicas, as a fraction of the load of a replica of
  // the old version.
  double load = 1.0;

  bool operator==(const Stage&) const = default;
};

// The move of one pool from one version to another.
struct PoolMove {
  PoolId pool;
  VersionId from;
  VersionId to;
  // Upstreams of the target configuration, in the order in which they switch to
  // the new version: added ones first, then existing ones, each group
  // interleaved over availability zones.
  std::vector<UpstreamSpec> sequence;
  // Upstreams of the old version that are removed when the note is done.
  std::vector<UpstreamSpec> removed;
  // The number of replicas grows from stage to stage; the last stage keeps some
  // on the old version as the control of the comparison. Old and new replicas
  // carry the same load in all stages but the first, so that a difference in
  // load cannot make either version look worse.
  std::vector<Stage> stages;

  bool operator==(const PoolMove&) const = default;
};

// The stages and configurations through which a note takes the fleet. A pure
// function of the note and of the configuration without it, so every lease
// holder computes the same plan.
class NotePlan {
 public:
  // `base` is the configuration without the changes of the note.
  NotePlan(const NoteId& id, const ReleaseNote& note, const FleetConfig& base);

  // The configuration after the note is done. It has no traffic shares for the
  // pools that the note affects, and the revision of `base`.
  const FleetConfig& target() const { return target_; }

  // Pools that move to a new version in stages. All other changes of the note
  // are applied at once.
  const std::vector<PoolMove>& moves() const { return moves_; }

  // Number of stages: the largest number that any pool of the note needs, at
  // least 1.
  size_t stage_count() const;

  // Returns the planned duration of `stage` if `remaining` is available for it
  // and all later stages.
  Duration StageDuration(size_t stage, Duration remaining) const;

  // Returns the configuration that is in force during `stage`, without the
  // upstreams in `ejected`.
  FleetConfig StageConfig(size_t stage,
                          const std::vector<UpstreamId>& ejected) const;

  // Returns the replicas that serve the new version in `stage`, in the order of
  // `move.sequence`.
  std::vector<UpstreamSpec> NewReplicas(
      const PoolMove& move,
      size_t stage,
      const std::vector<UpstreamId>& ejected) const;

  // Returns the traffic share of the new versions in `stage`: the largest over
  // all pools that move.
  Permille StageShare(size_t stage,
                      const std::vector<UpstreamId>& ejected) const;

  // Returns true if the note moves some pool in stages, so that the new version
  // has to be judged and needs time.
  bool IsJudged() const { return !moves_.empty(); }

  // Returns `pool=version` for each pool that moves, sorted by pool.
  std::vector<std::string> StageVersions() const;

  // The configuration without the changes of the note.
  const FleetConfig& base() const { return base_; }

  // Returns how many upstreams of a pool of `size` may be ejected before the
  // note is rolled back: 10%, but at least one unless the pool has a single
  // upstream.
  static size_t MaxEjectedUpstreams(size_t size);

  // Pools that the note affects, sorted.
  const std::vector<PoolId>& pools() const { return pools_; }

  const ReleaseNote& note() const { return note_; }

 private:
  void BuildMoves(const FleetConfig& base);
  std::vector<UpstreamSpec> OldReplicas(
      const PoolMove& move,
      const std::vector<UpstreamSpec>& new_replicas,
      const std::vector<UpstreamId>& ejected) const;

  const NoteId id_;
  const ReleaseNote note_;
  const FleetConfig base_;
  FleetConfig target_;
  std::vector<PoolId> pools_;
  std::vector<PoolMove> moves_;
};

// Returns `base` with the changes of `note` applied. Changes that do not fit
// `base` are skipped, such as the withdrawal of an unknown upstream.
FleetConfig ApplyNote(const ReleaseNote& note, const FleetConfig& base);

// Returns the state that a rollback of `note` restores, given the present
// configuration. `earlier` is the state captured for earlier texts of the same
// note; the result covers the pools of all these texts.
RollbackState CaptureRollbackState(const ReleaseNote& note,
                                   const FleetConfig& config,
                                   const RollbackState& earlier);

// Returns `config` without the changes of the note that `before` was captured
// for.
FleetConfig UndoNote(const FleetConfig& config, const RollbackState& before);

// Returns the first upstream with `id`, or null if there is none.
const UpstreamSpec* FindUpstream(const FleetConfig& config,
                                 const UpstreamId& id);

}  // namespace papaya

#endif  // INCLUDE_ROLLOUT_NOTE_PLAN_H_
