#include "include/rollout/note_plan.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <set>
#include <utility>

#include "absl/algorithm/container.h"
#include "absl/strings/str_cat.h"
#include "include/base/stable_hash.h"
#include "src/rollout/note_delta.h"

namespace papaya {

namespace {

// Pools up to this size have a single new replica in the first stage.
constexpr size_t kMaxSmallPoolSize = 12;
// In larger pools, one replica in this many takes part in the first stage.
constexpr size_t kFirstStageDivisor = 50;
// One replica in this many keeps the old version during the last stage.
constexpr size_t kControlDivisor = 10;
// One replica in this many may be ejected before the version counts as bad.
constexpr size_t kMaxEjectedDivisor = 10;
// Load of a new replica in the first stage, as a fraction of the normal load.
constexpr double kFirstStageLoad = 0.25;
// From this size on, the second stage has at least two new replicas and the
// last stage at least two old ones, so that a single bad VM can be
// distinguished from a bad version.
constexpr size_t kMinPairedPoolSize = 6;
// Relative durations of the stages, by the number of stages. The second stage
// is long: most defects of a version show in it, while few replicas are
// affected.
constexpr size_t kMaxStages = 5;
constexpr double kStageWeights[kMaxStages][kMaxStages] = {
    {1.0},
    {0.2, 0.8},
    {0.06, 0.72, 0.22},
    {0.05, 0.35, 0.38, 0.22},
    {0.05, 0.35, 0.08, 0.30, 0.22}};

size_t CeilDivide(size_t value, size_t divisor) {
  return (value + divisor - 1) / divisor;
}

// Sorts upstreams by a stable hash and interleaves them over availability
// zones, so that each stage takes replicas from all zones.
std::vector<UpstreamSpec> InterleaveZones(std::vector<UpstreamSpec> upstreams) {
  std::sort(upstreams.begin(), upstreams.end(),
            [](const UpstreamSpec& a, const UpstreamSpec& b) {
              return StableHash(a.id.value()) < StableHash(b.id.value());
            });
  std::map<AvailabilityZoneId, size_t> seen;
  std::vector<std::pair<size_t, UpstreamSpec>> ranked;
  ranked.reserve(upstreams.size());
  for (UpstreamSpec& upstream : upstreams) {
    const size_t rank = seen[upstream.zone]++;
    ranked.emplace_back(rank, std::move(upstream));
  }
  std::stable_sort(
      ranked.begin(), ranked.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<UpstreamSpec> result;
  result.reserve(ranked.size());
  for (auto& [rank, upstream] : ranked) {
    result.push_back(std::move(upstream));
  }
  return result;
}

// Returns the traffic share of `new_replicas` new replicas beside `old` ones,
// where a new replica carries `load` times the normal load.
Permille NewVersionShare(size_t new_replicas, size_t old, double load) {
  if (old == 0) {
    return Permille(1000);
  }
  const double share = 1000.0 * load * static_cast<double>(new_replicas) /
                       static_cast<double>(new_replicas + old);
  return Permille(std::clamp(static_cast<int>(share), 1, 999));
}

// Returns the number of replicas that keep the old version until the note is
// done. It is at least two from kMinPairedPoolSize on, because the figures of a
// single VM say more about the VM than about its version.
size_t ControlReplicaCount(size_t total) {
  if (total <= 1) {
    return 0;
  }
  const size_t min_count = total >= kMinPairedPoolSize ? 2 : 1;
  return std::max(min_count, CeilDivide(total, kControlDivisor));
}

std::vector<Stage> MakeStages(size_t total) {
  const size_t first =
      total <= kMaxSmallPoolSize
          ? 1
          : std::max<size_t>(2, CeilDivide(total, kFirstStageDivisor));
  const size_t last = std::max<size_t>(1, total - ControlReplicaCount(total));
  const size_t second =
      total >= kMinPairedPoolSize ? std::max<size_t>(2, first) : first;
  std::vector<Stage> stages = {{first, kFirstStageLoad}, {second, 1.0}};
  const size_t third = total > kMaxSmallPoolSize ? total / 3 : 0;
  for (const size_t count : {third, total * 3 / 5, last}) {
    if (count > stages.back().replicas) {
      stages.push_back({count, 1.0});
    }
  }
  return stages;
}

const Stage& StageOf(const PoolMove& move, size_t stage) {
  return move.stages[std::min(stage, move.stages.size() - 1)];
}

// Returns true for a pool with a single upstream that moves in place: no old
// replica would remain for the comparison.
bool IsSingleInPlaceMove(const PoolMove& move) {
  return move.sequence.size() == 1 && move.removed.empty();
}

}  // namespace

NotePlan::NotePlan(const NoteId& id,
                   const ReleaseNote& note,
                   const FleetConfig& base)
    : id_(id), note_(note), base_(base), target_(ApplyNote(note, base)) {
  const std::set<PoolId> pools = AffectedPools(note, base, target_);
  pools_.assign(pools.begin(), pools.end());
  BuildMoves(base);
}

void NotePlan::BuildMoves(const FleetConfig& base) {
  for (const PoolId& pool : pools_) {
    PoolMove move;
    move.pool = pool;
    move.from = MostCommonVersion(base, pool);
    move.to = MostCommonVersion(target_, pool);
    if (move.from.empty() || move.to.empty() || move.from == move.to) {
      continue;
    }
    std::vector<UpstreamSpec> added;
    std::vector<UpstreamSpec> moved;
    for (const UpstreamSpec& upstream : target_.upstreams) {
      if (upstream.pool == pool) {
        const bool existed = FindUpstream(base, upstream.id) != nullptr;
        (existed ? moved : added).push_back(upstream);
      }
    }
    for (const UpstreamSpec& upstream : base.upstreams) {
      if (upstream.pool == pool &&
          FindUpstream(target_, upstream.id) == nullptr) {
        move.removed.push_back(upstream);
      }
    }
    move.sequence = InterleaveZones(std::move(added));
    for (UpstreamSpec& upstream : InterleaveZones(std::move(moved))) {
      move.sequence.push_back(std::move(upstream));
    }
    if (!IsSingleInPlaceMove(move)) {
      move.stages = MakeStages(move.sequence.size());
      moves_.push_back(std::move(move));
    }
  }
}

size_t NotePlan::stage_count() const {
  size_t count = 1;
  for (const PoolMove& move : moves_) {
    count = std::max(count, move.stages.size());
  }
  return count;
}

Duration NotePlan::StageDuration(size_t stage, Duration remaining) const {
  const size_t count = stage_count();
  const bool is_last = stage + 1 >= count;
  if (is_last && note_.bake.has_value()) {
    return std::min(remaining, *note_.bake);
  }
  const Duration baking = note_.bake.has_value()
                              ? std::min(remaining / 2, *note_.bake)
                              : Duration(0);
  const size_t end = note_.bake.has_value() ? count - 1 : count;
  const double* const stage_weights = kStageWeights[count - 1];
  const double weights =
      std::accumulate(stage_weights + stage, stage_weights + end, 0.0);
  const double own = stage_weights[stage];
  const double seconds = ToSeconds(remaining - baking) * own / weights;
  return SecondsToDuration(std::max(0.0, seconds));
}

std::vector<UpstreamSpec> NotePlan::NewReplicas(
    const PoolMove& move,
    size_t stage,
    const std::vector<UpstreamId>& ejected) const {
  std::vector<UpstreamSpec> replicas;
  for (const UpstreamSpec& upstream : move.sequence) {
    if (!absl::c_linear_search(ejected, upstream.id)) {
      replicas.push_back(upstream);
    }
  }
  // Ejected replicas must not reduce the number of old replicas below the
  // control count.
  const size_t control = ControlReplicaCount(replicas.size());
  const size_t max_new_replicas =
      std::max<size_t>(1, replicas.size() - control);
  replicas.resize(std::min(
      {replicas.size(), max_new_replicas, StageOf(move, stage).replicas}));
  return replicas;
}

// Returns the old replicas that get requests beside `new_replicas`. If the move
// removes old replicas, added replicas replace them one for one, so that all
// replicas carry the same load.
std::vector<UpstreamSpec> NotePlan::OldReplicas(
    const PoolMove& move,
    const std::vector<UpstreamSpec>& new_replicas,
    const std::vector<UpstreamId>& ejected) const {
  std::vector<UpstreamSpec> old;
  for (const UpstreamSpec& upstream : base_.upstreams) {
    const bool is_new_replica =
        std::any_of(new_replicas.begin(), new_replicas.end(),
                    [&upstream](const UpstreamSpec& taken) {
                      return taken.id == upstream.id;
                    });
    if (upstream.pool == move.pool && !is_new_replica &&
        !absl::c_linear_search(ejected, upstream.id)) {
      old.push_back(upstream);
    }
  }
  if (move.removed.empty()) {
    return old;
  }
  const size_t total = move.sequence.size();
  const size_t wanted = std::max(ControlReplicaCount(total),
                                 total - std::min(total, new_replicas.size()));
  old = InterleaveZones(std::move(old));
  old.resize(std::min(old.size(), std::max<size_t>(1, wanted)));
  return old;
}

Permille NotePlan::StageShare(size_t stage,
                              const std::vector<UpstreamId>& ejected) const {
  if (moves_.empty()) {
    return Permille(1000);
  }
  Permille share;
  for (const PoolMove& move : moves_) {
    const std::vector<UpstreamSpec> new_replicas =
        NewReplicas(move, stage, ejected);
    const size_t old = OldReplicas(move, new_replicas, ejected).size();
    share = std::max(share, NewVersionShare(new_replicas.size(), old,
                                            StageOf(move, stage).load));
  }
  return share;
}

FleetConfig NotePlan::StageConfig(
    size_t stage,
    const std::vector<UpstreamId>& ejected) const {
  FleetConfig config = target_;
  for (const PoolMove& move : moves_) {
    std::erase_if(config.upstreams, [&move](const UpstreamSpec& upstream) {
      return upstream.pool == move.pool;
    });
    const std::vector<UpstreamSpec> new_replicas =
        NewReplicas(move, stage, ejected);
    const std::vector<UpstreamSpec> old =
        OldReplicas(move, new_replicas, ejected);
    config.upstreams.insert(config.upstreams.end(), new_replicas.begin(),
                            new_replicas.end());
    config.upstreams.insert(config.upstreams.end(), old.begin(), old.end());
    const Permille share = NewVersionShare(new_replicas.size(), old.size(),
                                           StageOf(move, stage).load);
    config.shares.push_back(
        {move.pool, move.from, Permille(1000) - share, NoteId()});
    config.shares.push_back({move.pool, move.to, share, id_});
  }
  std::erase_if(config.upstreams, [&ejected](const UpstreamSpec& upstream) {
    return absl::c_linear_search(ejected, upstream.id);
  });
  config.note = id_;
  SortConfig(&config);
  return config;
}

std::vector<std::string> NotePlan::StageVersions() const {
  std::vector<std::string> versions;
  for (const PoolMove& move : moves_) {
    versions.push_back(absl::StrCat(move.pool.value(), "=", move.to.value()));
  }
  return versions;
}

size_t NotePlan::MaxEjectedUpstreams(size_t size) {
  return size <= 1 ? 0 : std::max<size_t>(1, size / kMaxEjectedDivisor);
}

}  // namespace papaya
