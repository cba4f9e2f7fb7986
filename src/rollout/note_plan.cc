#include "include/rollout/note_plan.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "include/base/stable_hash.h"
#include "src/rollout/note_delta.h"

namespace papaya {

namespace {

// Pools up to this size begin with a single replica.
constexpr size_t kSmallPool = 12;
// One of so many replicas takes part in the first stages of larger pools.
constexpr size_t kFirstStageDivisor = 50;
// One of so many replicas keeps the old version while the last stage bakes.
constexpr size_t kControlDivisor = 10;
// One of so many replicas may be set aside without doubt on the version.
constexpr size_t kAsideDivisor = 10;
// The first stage gives its replicas this part of a normal load.
constexpr double kFirstStageLoad = 0.25;
// While the last stage bakes the old version keeps at least this share.
constexpr int kControlPermille = 60;
// Relative lengths of the stages; pools with fewer stages leave out middle
// ones.
constexpr double kStageWeights[] = {0.10, 0.20, 0.15, 0.15, 0.40};
constexpr size_t kMostStages = std::size(kStageWeights);

size_t CeilDivide(size_t value, size_t divisor) {
  return (value + divisor - 1) / divisor;
}

// Orders upstreams by a stable hash, one availability zone after the other, so
// that each stage takes from all zones alike.
std::vector<UpstreamSpec> SpreadOverZones(std::vector<UpstreamSpec> upstreams) {
  std::sort(upstreams.begin(), upstreams.end(),
            [](const UpstreamSpec& a, const UpstreamSpec& b) {
              return StableHash(a.id.value()) < StableHash(b.id.value());
            });
  std::map<AvailabilityZoneId, size_t> seen;
  std::vector<std::pair<size_t, UpstreamSpec>> ranked;
  for (UpstreamSpec& upstream : upstreams) {
    const size_t rank = seen[upstream.zone]++;
    ranked.emplace_back(rank, std::move(upstream));
  }
  std::stable_sort(
      ranked.begin(), ranked.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<UpstreamSpec> result;
  for (auto& [rank, upstream] : ranked) {
    result.push_back(std::move(upstream));
  }
  return result;
}

Permille ShareOf(size_t replicas, size_t total, double load) {
  const double share = 1000.0 * load * static_cast<double>(replicas) /
                       static_cast<double>(total);
  const int most = 1000 - kControlPermille;
  return Permille(std::clamp(static_cast<int>(share), 1, most));
}

std::vector<Stage> MakeStages(size_t total) {
  const size_t first =
      total <= kSmallPool
          ? 1
          : std::max<size_t>(2, CeilDivide(total, kFirstStageDivisor));
  const size_t control =
      std::max<size_t>(1, CeilDivide(total, kControlDivisor));
  const size_t last = std::max<size_t>(1, total - std::min(total, control));
  std::vector<Stage> stages = {{first, ShareOf(first, total, kFirstStageLoad)},
                               {first, ShareOf(first, total, 1.0)}};
  for (const size_t count : {total / 3, total * 3 / 5, last}) {
    if (count > stages.back().replicas) {
      stages.push_back({count, ShareOf(count, total, 1.0)});
    }
  }
  return stages;
}

// True if the only way to bring in the new version leaves nothing to compare
// with: one upstream that is moved in place.
bool IsLoneMover(const PoolMove& move) {
  return move.sequence.size() == 1 && move.leaving.empty();
}

bool Contains(const std::vector<UpstreamId>& ids, const UpstreamId& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

}  // namespace

NotePlan::NotePlan(const NoteId& id,
                   const ReleaseNote& note,
                   const FleetConfig& base)
    : id_(id), note_(note), base_(base), target_(ApplyNote(note, base)) {
  const std::set<PoolId> pools = TouchedPools(note, base, target_);
  pools_.assign(pools.begin(), pools.end());
  BuildMoves(base);
}

void NotePlan::BuildMoves(const FleetConfig& base) {
  for (const PoolId& pool : pools_) {
    PoolMove move;
    move.pool = pool;
    move.from = PresentVersion(base, pool);
    move.to = PresentVersion(target_, pool);
    if (move.from.empty() || move.to.empty() || move.from == move.to) {
      continue;
    }
    std::vector<UpstreamSpec> added;
    std::vector<UpstreamSpec> moved;
    for (const UpstreamSpec& upstream : target_.upstreams) {
      if (upstream.pool == pool) {
        const bool stood = FindUpstream(base, upstream.id) != nullptr;
        (stood ? moved : added).push_back(upstream);
      }
    }
    for (const UpstreamSpec& upstream : base.upstreams) {
      if (upstream.pool == pool &&
          FindUpstream(target_, upstream.id) == nullptr) {
        move.leaving.push_back(upstream);
      }
    }
    move.sequence = SpreadOverZones(std::move(added));
    for (UpstreamSpec& upstream : SpreadOverZones(std::move(moved))) {
      move.sequence.push_back(std::move(upstream));
    }
    if (!IsLoneMover(move)) {
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

Duration NotePlan::StageLength(size_t stage, Duration left) const {
  const size_t count = stage_count();
  const bool is_last = stage + 1 >= count;
  if (is_last && note_.bake.has_value()) {
    return std::min(left, *note_.bake);
  }
  const Duration baking =
      note_.bake.has_value() ? std::min(left / 2, *note_.bake) : Duration(0);
  const size_t end = note_.bake.has_value() ? count - 1 : count;
  double weights = 0.0;
  double own = 0.0;
  for (size_t i = stage; i < end; ++i) {
    // The last stage always has the last weight.
    const double weight = kStageWeights[i + 1 == count ? kMostStages - 1 : i];
    weights += weight;
    own = i == stage ? weight : own;
  }
  const double seconds = ToSeconds(left - baking) * own / weights;
  return SecondsToDuration(std::max(0.0, seconds));
}

std::vector<UpstreamSpec> NotePlan::NewReplicas(
    const PoolMove& move,
    size_t stage,
    const std::vector<UpstreamId>& set_aside) const {
  const size_t index = std::min(stage, move.stages.size() - 1);
  std::vector<UpstreamSpec> replicas;
  for (const UpstreamSpec& upstream : move.sequence) {
    if (replicas.size() == move.stages[index].replicas) {
      break;
    }
    if (!Contains(set_aside, upstream.id)) {
      replicas.push_back(upstream);
    }
  }
  return replicas;
}

Permille NotePlan::StageShare(size_t stage) const {
  if (moves_.empty()) {
    return Permille(1000);
  }
  Permille share;
  for (const PoolMove& move : moves_) {
    share = std::max(
        share, move.stages[std::min(stage, move.stages.size() - 1)].share);
  }
  return share;
}

FleetConfig NotePlan::StageConfig(
    size_t stage,
    const std::vector<UpstreamId>& set_aside) const {
  FleetConfig config = target_;
  for (const PoolMove& move : moves_) {
    std::erase_if(config.upstreams, [&move](const UpstreamSpec& upstream) {
      return upstream.pool == move.pool;
    });
    std::vector<UpstreamSpec> members = NewReplicas(move, stage, set_aside);
    std::set<UpstreamId> taken;
    for (const UpstreamSpec& member : members) {
      taken.insert(member.id);
    }
    for (const UpstreamSpec& upstream : base_.upstreams) {
      if (upstream.pool == move.pool && !taken.contains(upstream.id)) {
        members.push_back(upstream);
      }
    }
    config.upstreams.insert(config.upstreams.end(), members.begin(),
                            members.end());
    const Permille share =
        move.stages[std::min(stage, move.stages.size() - 1)].share;
    config.shares.push_back(
        {move.pool, move.from, Permille(1000) - share, NoteId()});
    config.shares.push_back({move.pool, move.to, share, id_});
  }
  std::erase_if(config.upstreams, [&set_aside](const UpstreamSpec& upstream) {
    return Contains(set_aside, upstream.id);
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

size_t NotePlan::AllowedAside(size_t size) {
  return size <= 1 ? 0 : std::max<size_t>(1, size / kAsideDivisor);
}

}  // namespace papaya
