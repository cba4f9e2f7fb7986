#include "src/routing/router_subset.h"

#include <algorithm>
#include <utility>

#include "include/base/stable_hash.h"

namespace papaya {

namespace {

constexpr uint64_t kSameZoneBit = uint64_t{1} << 63;

uint64_t PairWeight(uint64_t router_hash,
                    uint64_t upstream_hash,
                    bool same_zone) {
  const uint64_t weight = CombineHashes(router_hash, upstream_hash) >> 1;
  return same_zone ? weight | kSameZoneBit : weight;
}

}  // namespace

RouterSubset::RouterSubset(const std::vector<RouterLocation>& routers,
                           const RouterLocation& self,
                           ZonePreference preference)
    : preference_(preference),
      self_(self),
      self_hash_(StableHash(self.id.value())) {
  bool has_self = false;
  for (const RouterLocation& location : routers) {
    has_self = has_self || location.id == self.id;
    routers_.push_back({location, StableHash(location.id.value())});
  }
  if (!has_self) {
    routers_.push_back({self, self_hash_});
  }
  std::sort(routers_.begin(), routers_.end(),
            [](const Candidate& a, const Candidate& b) {
              return a.location.id < b.location.id;
            });
  for (size_t i = 0; i < routers_.size(); ++i) {
    by_zone_[preference_ == ZonePreference::kNone ? AvailabilityZoneId()
                                                  : routers_[i].location.zone]
        .push_back(i);
    if (routers_[i].location.id == self.id) {
      self_position_ = i;
    }
  }
}

bool RouterSubset::IsSelfAmong(const UpstreamSpec& upstream,
                               size_t count) const {
  const uint64_t hash = StableHash(upstream.id.value());
  const bool is_near =
      IsNear(routers_[self_position_].location.zone, upstream.zone);
  // RoutersOf prefers greater weights, and later positions if they are equal.
  const std::pair<uint64_t, size_t> own(PairWeight(self_hash_, hash, is_near),
                                        self_position_);
  size_t preferred = 0;
  const auto near =
      by_zone_.find(preference_ == ZonePreference::kNone ? AvailabilityZoneId()
                                                         : upstream.zone);
  if (near != by_zone_.end()) {
    // All routers of the upstream's zone are preferred to those of others.
    preferred = is_near ? CountPreferred(near->second, hash, true, own)
                        : near->second.size();
  }
  if (is_near || preferred >= count) {
    return preferred < count;
  }
  for (const auto& [zone, positions] : by_zone_) {
    if (zone != upstream.zone) {
      preferred += CountPreferred(positions, hash, false, own);
    }
  }
  return preferred < count;
}

size_t RouterSubset::CountPreferred(
    const std::vector<size_t>& positions,
    uint64_t upstream_hash,
    bool same_zone,
    const std::pair<uint64_t, size_t>& own) const {
  size_t preferred = 0;
  for (size_t i : positions) {
    const uint64_t weight =
        PairWeight(routers_[i].hash, upstream_hash, same_zone);
    preferred += std::pair(weight, i) > own ? 1 : 0;
  }
  return preferred;
}

std::vector<RouterId> RouterSubset::RoutersOf(const UpstreamSpec& upstream,
                                              size_t count) const {
  const uint64_t hash = StableHash(upstream.id.value());
  std::vector<std::pair<uint64_t, size_t>> weights;
  weights.reserve(routers_.size());
  for (size_t i = 0; i < routers_.size(); ++i) {
    const bool same_zone = IsNear(routers_[i].location.zone, upstream.zone);
    weights.emplace_back(PairWeight(routers_[i].hash, hash, same_zone), i);
  }
  if (weights.size() > count) {
    std::nth_element(weights.begin(),
                     weights.begin() + static_cast<ptrdiff_t>(count),
                     weights.end(), std::greater<>());
    weights.resize(count);
  }
  std::vector<RouterId> chosen;
  chosen.reserve(weights.size());
  for (const auto& [weight, index] : weights) {
    chosen.push_back(routers_[index].location.id);
  }
  std::sort(chosen.begin(), chosen.end());
  return chosen;
}

uint64_t RouterSubset::OwnWeight(const UpstreamSpec& upstream) const {
  return PairWeight(self_hash_, StableHash(upstream.id.value()),
                    IsNear(self_.zone, upstream.zone));
}

}  // namespace papaya
