#include "include/config/rendezvous.h"

#include <algorithm>
#include <utility>

#include "include/base/stable_hash.h"

namespace papaya {

uint64_t RendezvousWeight(const std::string& purpose, const RouterId& router) {
  return StableHash(router.value(), StableHash(purpose));
}

std::vector<RouterId> PickByRendezvous(const std::string& purpose,
                                       std::vector<RouterId> candidates,
                                       size_t count) {
  const size_t picked = std::min(count, candidates.size());
  const auto middle = candidates.begin() + static_cast<std::ptrdiff_t>(picked);
  std::partial_sort(candidates.begin(), middle, candidates.end(),
                    [&purpose](const RouterId& a, const RouterId& b) {
                      return RendezvousWeight(purpose, a) >
                             RendezvousWeight(purpose, b);
                    });
  candidates.resize(picked);
  return candidates;
}

}  // namespace papaya
