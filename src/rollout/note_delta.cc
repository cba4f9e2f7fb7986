// Applies the changes of a note to a configuration and undoes them.

#include "src/rollout/note_delta.h"

#include <algorithm>
#include <map>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

#include "absl/algorithm/container.h"
#include "include/rollout/note_plan.h"

namespace papaya {

namespace {

bool ById(const UpstreamSpec& a, const UpstreamSpec& b) {
  return a.id < b.id;
}

bool ByPoolAndVersion(const VersionShare& a, const VersionShare& b) {
  return std::tie(a.pool, a.version) < std::tie(b.pool, b.version);
}

// Assigns `change` to `field` if it has a value.
template <typename T>
void SetIfGiven(const std::optional<T>& change, T* field) {
  if (change.has_value()) {
    *field = *change;
  }
}

void ApplyUpstream(const UpstreamChange& change, UpstreamSpec* spec) {
  SetIfGiven(change.vm, &spec->vm);
  SetIfGiven(change.address, &spec->address);
  SetIfGiven(change.zone, &spec->zone);
  SetIfGiven(change.kind, &spec->kind);
  SetIfGiven(change.pool, &spec->pool);
  SetIfGiven(change.version, &spec->version);
  SetIfGiven(change.generation, &spec->generation);
  SetIfGiven(change.slots, &spec->slots);
  SetIfGiven(change.checks_fencing, &spec->checks_fencing);
  SetIfGiven(change.refusal_means_not_run, &spec->refusal_means_not_run);
}

void ApplyPool(const PoolChange& change, FleetConfig* config) {
  if (change.withdrawn) {
    std::erase_if(config->upstreams, [&change](const UpstreamSpec& upstream) {
      return upstream.pool == change.pool;
    });
    return;
  }
  if (change.version.empty()) {
    return;
  }
  for (UpstreamSpec& upstream : config->upstreams) {
    if (upstream.pool == change.pool) {
      upstream.version = change.version;
    }
  }
}

// Adds, changes or removes one upstream of `config`. A new upstream without a
// version gets the most common one of its pool in `base`.
void ApplyUpstreamChange(const UpstreamChange& change,
                         const FleetConfig& base,
                         FleetConfig* config) {
  const auto found =
      std::find_if(config->upstreams.begin(), config->upstreams.end(),
                   [&change](const UpstreamSpec& upstream) {
                     return upstream.id == change.id;
                   });
  if (change.withdrawn) {
    if (found != config->upstreams.end()) {
      config->upstreams.erase(found);
    }
    return;
  }
  if (found != config->upstreams.end()) {
    ApplyUpstream(change, &*found);
    return;
  }
  UpstreamSpec added;
  added.id = change.id;
  ApplyUpstream(change, &added);
  if (added.version.empty()) {
    added.version = MostCommonVersion(base, added.pool);
  }
  config->upstreams.push_back(std::move(added));
}

void EraseShares(const PoolId& pool, FleetConfig* config) {
  std::erase_if(config->shares, [&pool](const VersionShare& share) {
    return share.pool == pool;
  });
}

}  // namespace

std::set<PoolId> AffectedPools(const ReleaseNote& note,
                               const FleetConfig& base,
                               const FleetConfig& target) {
  std::set<PoolId> pools;
  for (const PoolChange& pool : note.pools) {
    pools.insert(pool.pool);
  }
  for (const UpstreamChange& change : note.upstreams) {
    for (const FleetConfig* config : {&base, &target}) {
      const UpstreamSpec* const upstream = FindUpstream(*config, change.id);
      if (upstream != nullptr) {
        pools.insert(upstream->pool);
      }
    }
  }
  return pools;
}

VersionId MostCommonVersion(const FleetConfig& config, const PoolId& pool) {
  std::map<VersionId, size_t> counts;
  for (const UpstreamSpec& upstream : config.upstreams) {
    if (upstream.pool == pool) {
      ++counts[upstream.version];
    }
  }
  VersionId best;
  size_t max_count = 0;
  for (const auto& [version, count] : counts) {
    if (count > max_count) {
      best = version;
      max_count = count;
    }
  }
  return best;
}

void SortConfig(FleetConfig* config) {
  std::sort(config->upstreams.begin(), config->upstreams.end(), &ById);
  std::sort(config->shares.begin(), config->shares.end(), &ByPoolAndVersion);
}

const UpstreamSpec* FindUpstream(const FleetConfig& config,
                                 const UpstreamId& id) {
  const auto found =
      std::find_if(config.upstreams.begin(), config.upstreams.end(),
                   [&id](const UpstreamSpec& spec) { return spec.id == id; });
  return found == config.upstreams.end() ? nullptr : &*found;
}

FleetConfig ApplyNote(const ReleaseNote& note, const FleetConfig& base) {
  FleetConfig config = base;
  for (const UpstreamChange& change : note.upstreams) {
    ApplyUpstreamChange(change, base, &config);
  }
  for (const PoolChange& change : note.pools) {
    ApplyPool(change, &config);
  }
  for (const PoolId& pool : AffectedPools(note, base, config)) {
    EraseShares(pool, &config);
  }
  SortConfig(&config);
  return config;
}

RollbackState CaptureRollbackState(const ReleaseNote& note,
                                   const FleetConfig& config,
                                   const RollbackState& earlier) {
  const FleetConfig base = UndoNote(config, earlier);
  const FleetConfig target = ApplyNote(note, base);
  const std::set<PoolId> touched = AffectedPools(note, base, target);
  std::set<PoolId> pools(earlier.pools.begin(), earlier.pools.end());
  pools.insert(touched.begin(), touched.end());
  std::set<UpstreamId> added(earlier.added.begin(), earlier.added.end());
  RollbackState before;
  for (const UpstreamSpec& upstream : base.upstreams) {
    if (pools.contains(upstream.pool)) {
      before.upstreams.push_back(upstream);
    }
  }
  for (const UpstreamSpec& upstream : target.upstreams) {
    if (FindUpstream(base, upstream.id) == nullptr) {
      added.insert(upstream.id);
    }
  }
  for (const VersionShare& share : base.shares) {
    if (pools.contains(share.pool)) {
      before.shares.push_back(share);
    }
  }
  before.pools.assign(pools.begin(), pools.end());
  before.added.assign(added.begin(), added.end());
  return before;
}

FleetConfig UndoNote(const FleetConfig& config, const RollbackState& before) {
  FleetConfig restored = config;
  std::erase_if(restored.upstreams, [&before](const UpstreamSpec& upstream) {
    return absl::c_linear_search(before.added, upstream.id) ||
           std::any_of(before.upstreams.begin(), before.upstreams.end(),
                       [&upstream](const UpstreamSpec& earlier) {
                         return earlier.id == upstream.id;
                       });
  });
  restored.upstreams.insert(restored.upstreams.end(), before.upstreams.begin(),
                            before.upstreams.end());
  for (const PoolId& pool : before.pools) {
    EraseShares(pool, &restored);
  }
  restored.shares.insert(restored.shares.end(), before.shares.begin(),
                         before.shares.end());
  SortConfig(&restored);
  return restored;
}

}  // namespace papaya
