#include "include/config/config_delta.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "include/base/error.h"
#include "include/base/stable_hash.h"

namespace papaya {

namespace {

uint64_t HashUpstream(uint64_t hash, const UpstreamSpec& upstream) {
  hash = StableHash(upstream.id.value(), hash);
  hash = StableHash(upstream.vm.value(), hash);
  hash = StableHash(upstream.address, hash);
  hash = StableHash(upstream.zone.value(), hash);
  hash = StableHash(upstream.pool.value(), hash);
  hash = StableHash(upstream.version.value(), hash);
  hash = StableHash(upstream.generation.value(), hash);
  const uint64_t flags = (upstream.checks_fencing ? 1 : 0) +
                         (upstream.refusal_means_not_run ? 2 : 0) +
                         4 * static_cast<uint64_t>(upstream.kind);
  hash = CombineHashes(hash, flags);
  return CombineHashes(hash, static_cast<uint64_t>(upstream.slots));
}

uint64_t HashShare(uint64_t hash, const VersionShare& share) {
  hash = StableHash(share.pool.value(), hash);
  hash = StableHash(share.version.value(), hash);
  return CombineHashes(hash, static_cast<uint64_t>(share.share.value()));
}

// Walks both sorted lists at once.
void DiffUpstreams(const std::vector<UpstreamSpec>& base,
                   const std::vector<UpstreamSpec>& result,
                   ConfigDelta* delta) {
  auto old_it = base.begin();
  auto new_it = result.begin();
  while (old_it != base.end() || new_it != result.end()) {
    if (new_it == result.end() ||
        (old_it != base.end() && old_it->id < new_it->id)) {
      delta->removed.push_back(old_it->id);
      ++old_it;
      continue;
    }
    const bool is_same_id = old_it != base.end() && old_it->id == new_it->id;
    if (!is_same_id || *old_it != *new_it) {
      delta->changed.push_back(*new_it);
    }
    if (is_same_id) {
      ++old_it;
    }
    ++new_it;
  }
}

// `base` without those removed, with those changed in their place.
std::vector<UpstreamSpec> MergeUpstreams(const std::vector<UpstreamSpec>& base,
                                         const ConfigDelta& delta) {
  std::vector<UpstreamSpec> result;
  result.reserve(base.size() + delta.changed.size());
  auto changed = delta.changed.begin();
  for (const UpstreamSpec& upstream : base) {
    while (changed != delta.changed.end() && changed->id < upstream.id) {
      result.push_back(*changed++);
    }
    if (changed != delta.changed.end() && changed->id == upstream.id) {
      result.push_back(*changed++);
      continue;
    }
    if (!std::binary_search(delta.removed.begin(), delta.removed.end(),
                            upstream.id)) {
      result.push_back(upstream);
    }
  }
  result.insert(result.end(), changed, delta.changed.end());
  return result;
}

}  // namespace

uint64_t HashConfig(const FleetConfig& config) {
  uint64_t hash = StableHash(config.note.value(), config.revision.value());
  hash = CombineHashes(hash, config.upstreams.size());
  for (const UpstreamSpec& upstream : config.upstreams) {
    hash = HashUpstream(hash, upstream);
  }
  for (const VersionShare& share : config.shares) {
    hash = HashShare(hash, share);
  }
  return hash;
}

ConfigDelta DiffConfigs(const FleetConfig& base, const FleetConfig& result) {
  ConfigDelta delta;
  delta.base = base.revision;
  delta.base_hash = HashConfig(base);
  delta.revision = result.revision;
  delta.result_hash = HashConfig(result);
  delta.note = result.note;
  delta.shares = result.shares;
  DiffUpstreams(base.upstreams, result.upstreams, &delta);
  return delta;
}

absl::StatusOr<FleetConfig> ApplyDelta(const FleetConfig& base,
                                       uint64_t base_hash,
                                       const ConfigDelta& delta) {
  const ErrorOrigin origin{.step = "config.apply_delta"};
  if (delta.base != base.revision || delta.base_hash != base_hash) {
    return MakeError(absl::StatusCode::kFailedPrecondition, origin,
                     absl::StrCat("made from revision ", delta.base.value(),
                                  ", applied to ", base.revision.value()));
  }
  FleetConfig result;
  result.revision = delta.revision;
  result.note = delta.note;
  result.shares = delta.shares;
  result.upstreams = MergeUpstreams(base.upstreams, delta);
  if (HashConfig(result) != delta.result_hash) {
    return MakeError(
        absl::StatusCode::kDataLoss, origin,
        absl::StrCat("revision ", delta.revision.value(), " came out wrong"));
  }
  return result;
}

absl::StatusOr<FleetConfig> ApplyDeltas(
    const FleetConfig& base,
    uint64_t base_hash,
    const std::vector<ConfigDelta>& deltas) {
  FleetConfig result = base;
  uint64_t hash = base_hash;
  for (const ConfigDelta& delta : deltas) {
    absl::StatusOr<FleetConfig> next = ApplyDelta(result, hash, delta);
    if (!next.ok()) {
      return next;
    }
    result = *std::move(next);
    hash = delta.result_hash;
  }
  return result;
}

}  // namespace papaya
