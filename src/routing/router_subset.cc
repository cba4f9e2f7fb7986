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
                           const RouterLocation& self)
    : self_(self) {
  bool has_self = false;
  for (const RouterLocation& location : routers) {
    has_self = has_self || location.id == self.id;
    routers_.push_back({location, StableHash(location.id.value())});
  }
  if (!has_self) {
    routers_.push_back({self, StableHash(self.id.value())});
  }
  std::sort(routers_.begin(), routers_.end(),
            [](const Candidate& a, const Candidate& b) {
              return a.location.id < b.location.id;
            });
}

std::vector<RouterId> RouterSubset::RoutersOf(const UpstreamSpec& upstream,
                                              size_t count) const {
  const uint64_t hash = StableHash(upstream.id.value());
  std::vector<std::pair<uint64_t, size_t>> weights;
  weights.reserve(routers_.size());
  for (size_t i = 0; i < routers_.size(); ++i) {
    const bool same_zone = routers_[i].location.zone == upstream.zone;
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
  return PairWeight(StableHash(self_.id.value()),
                    StableHash(upstream.id.value()),
                    self_.zone == upstream.zone);
}

}  // namespace papaya
