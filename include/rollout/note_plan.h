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

// One step of moving a pool.
struct Stage {
  // Replicas of the new version that take part.
  size_t replicas = 0;
  // The load of each, as a part of what a replica of the old version carries.
  double load = 1.0;

  bool operator==(const Stage&) const = default;
};

// How one pool moves to a new version.
struct PoolMove {
  PoolId pool;
  VersionId from;
  VersionId to;
  // Upstreams as they shall be, in the order in which they take the new
  // version: added ones first, then the others, spread over availability zones.
  std::vector<UpstreamSpec> sequence;
  // Upstreams of the old version that go when the note is done.
  std::vector<UpstreamSpec> leaving;
  // Few replicas first; the last one leaves some with the old version to
  // compare with. New and old replicas carry the same load in all but the
  // first, so that load alone makes neither look worse.
  std::vector<Stage> stages;

  bool operator==(const PoolMove&) const = default;
};

// What carrying out a note amounts to. A pure function of the note and of the
// configuration without it, so that every holder makes the same plan.
class NotePlan {
 public:
  // `base` is the configuration without the note.
  NotePlan(const NoteId& id, const ReleaseNote& note, const FleetConfig& base);

  // The configuration with the note done. Shares of the pools that it touches
  // are settled. The revision is that of `base`.
  const FleetConfig& target() const { return target_; }

  // Pools that move to a new version in stages. Others change at once.
  const std::vector<PoolMove>& moves() const { return moves_; }

  // Stages of the note: the most that any of its pools needs; at least 1.
  size_t stage_count() const;

  // The time that `stage` shall last when `left` is left for it and for all
  // after it.
  Duration StageDuration(size_t stage, Duration remaining) const;

  // The configuration of `stage`, without the upstreams in `ejected`.
  FleetConfig StageConfig(size_t stage,
                          const std::vector<UpstreamId>& ejected) const;

  // Replicas of the new version in `stage`, in order.
  std::vector<UpstreamSpec> NewReplicas(
      const PoolMove& move,
      size_t stage,
      const std::vector<UpstreamId>& ejected) const;

  // The share that `stage` gives to new versions; the largest over its pools.
  Permille StageShare(size_t stage,
                      const std::vector<UpstreamId>& ejected) const;

  // True if some version is judged, so that time is needed.
  bool IsJudged() const { return !moves_.empty(); }

  // `pool=version` for each pool that moves, sorted.
  std::vector<std::string> StageVersions() const;

  // The configuration without the note.
  const FleetConfig& base() const { return base_; }

  // How many upstreams of a pool of `size` may be set aside before the note is
  // in doubt.
  static size_t MaxEjectedUpstreams(size_t size);

  // Pools that the note touches, sorted.
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

// `base` with all that `note` says, its faults passed over.
FleetConfig ApplyNote(const ReleaseNote& note, const FleetConfig& base);

// What taking back `note` has to restore, when `config` stands and `earlier`
// texts of the same note had touched `earlier`.
RollbackState CaptureRollbackState(const ReleaseNote& note,
                                   const FleetConfig& config,
                                   const RollbackState& earlier);

// `config` without the note that left `before`.
FleetConfig UndoNote(const FleetConfig& config, const RollbackState& before);

// The first upstream called `id`; null if there is none.
const UpstreamSpec* FindUpstream(const FleetConfig& config,
                                 const UpstreamId& id);

}  // namespace papaya

#endif  // INCLUDE_ROLLOUT_NOTE_PLAN_H_
