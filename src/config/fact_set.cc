#include "include/config/fact_set.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "include/base/stable_hash.h"

namespace papaya {

namespace {

// Without the revision, which may differ between routers.
uint64_t HashFact(const UpstreamId& leaving) {
  return StableHash(leaving.value());
}

bool HasUpstream(const FleetConfig& config, const UpstreamId& id) {
  const auto found =
      std::lower_bound(config.upstreams.begin(), config.upstreams.end(), id,
                       [](const UpstreamSpec& upstream, const UpstreamId& key) {
                         return upstream.id < key;
                       });
  return found != config.upstreams.end() && found->id == id;
}

// True if `config` lets the version have traffic. A pool without shares
// spreads over all its upstreams.
bool HasTraffic(const FleetConfig& config,
                const PoolId& pool,
                const VersionId& version) {
  bool has_shares = false;
  for (const VersionShare& share : config.shares) {
    has_shares |= share.pool == pool;
    if (share.pool == pool && share.version == version) {
      return share.share > Permille(0);
    }
  }
  return !has_shares &&
         std::any_of(config.upstreams.begin(), config.upstreams.end(),
                     [&](const UpstreamSpec& upstream) {
                       return upstream.pool == pool &&
                              upstream.version == version;
                     });
}

}  // namespace

FactSet::AddResult FactSet::Add(const StoppedVersion& fact) {
  const StoppedKey key = KeyOf(fact);
  const auto found = stopped_.find(key);
  if (found != stopped_.end()) {
    Revision& revision = found->second.revision;
    revision = std::max(revision, fact.revision);
    return AddResult::kKnown;
  }
  if (IsMoot(fact) || WasDropped(HashKey(key))) {
    return AddResult::kMoot;
  }
  if (stopped_.size() >= kMaxStoppedVersions) {
    return AddResult::kFull;
  }
  stopped_.emplace(key, fact);
  hash_ ^= HashKey(key);
  return AddResult::kAdded;
}

FactSet::AddResult FactSet::Add(const LeavingUpstream& fact) {
  const auto found = leaving_.find(fact.id);
  if (found != leaving_.end()) {
    found->second = std::max(found->second, fact.since);
    return AddResult::kKnown;
  }
  if (IsMoot(fact) || WasDropped(HashFact(fact.id))) {
    return AddResult::kMoot;
  }
  if (leaving_.size() >= kMaxLeavingUpstreams) {
    return AddResult::kFull;
  }
  leaving_.emplace(fact.id, fact.since);
  hash_ ^= HashFact(fact.id);
  return AddResult::kAdded;
}

void FactSet::OnConfig(std::shared_ptr<const FleetConfig> config) {
  config_ = std::move(config);
  std::erase_if(stopped_, [this](const auto& entry) {
    if (!IsMoot(entry.second)) {
      return false;
    }
    hash_ ^= HashKey(entry.first);
    RememberDropped(HashKey(entry.first));
    return true;
  });
  std::erase_if(leaving_, [this](const auto& entry) {
    if (!IsMoot(LeavingUpstream{entry.first, entry.second})) {
      return false;
    }
    hash_ ^= HashFact(entry.first);
    RememberDropped(HashFact(entry.first));
    return true;
  });
}

bool FactSet::IsStopped(const PoolId& pool, const VersionId& version) const {
  return std::any_of(stopped_.begin(), stopped_.end(), [&](const auto& entry) {
    const StoppedVersion& fact = entry.second;
    return fact.pool == pool && fact.version == version &&
           fact.upstream.empty();
  });
}

std::vector<StoppedVersion> FactSet::stopped() const {
  std::vector<StoppedVersion> facts;
  facts.reserve(stopped_.size());
  for (const auto& [key, fact] : stopped_) {
    facts.push_back(fact);
  }
  return facts;
}

FactSet::StoppedKey FactSet::KeyOf(const StoppedVersion& fact) {
  return {fact.note, fact.pool, fact.version, fact.upstream};
}

uint64_t FactSet::HashKey(const StoppedKey& key) {
  uint64_t hash = StableHash(std::get<NoteId>(key).value());
  hash = StableHash(std::get<PoolId>(key).value(), hash);
  hash = StableHash(std::get<VersionId>(key).value(), hash);
  return StableHash(std::get<UpstreamId>(key).value(), hash);
}

bool FactSet::IsLeaving(const UpstreamId& id) const {
  return leaving_.contains(id);
}

bool FactSet::IsMoot(const StoppedVersion& fact) const {
  return config_ != nullptr && config_->revision > fact.revision &&
         !HasTraffic(*config_, fact.pool, fact.version);
}

bool FactSet::IsMoot(const LeavingUpstream& fact) const {
  return config_ != nullptr && config_->revision > fact.since &&
         !HasUpstream(*config_, fact.id);
}

bool FactSet::WasDropped(uint64_t fact_hash) const {
  return dropped_.contains(fact_hash);
}

void FactSet::RememberDropped(uint64_t fact_hash) {
  if (!dropped_.insert(fact_hash).second) {
    return;
  }
  dropped_order_.push_back(fact_hash);
  if (dropped_order_.size() > kMaxDropped) {
    dropped_.erase(dropped_order_.front());
    dropped_order_.pop_front();
  }
}

}  // namespace papaya
