#ifndef INCLUDE_ROUTING_PREFIX_INDEX_H_
#define INCLUDE_ROUTING_PREFIX_INDEX_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "absl/container/flat_hash_map.h"

namespace papaya {

// Remembers which upstreams probably hold which prompt prefixes in their
// caches. Only a hint: engines evict without telling, and tell late. Bounded;
// what was not used for longest is forgotten first, in steps of half the size.
//
// Upstreams are named by any small numbers of the caller's choice.
class PrefixIndex {
 public:
  // Upstreams remembered for one prefix; the latest ones win.
  static constexpr size_t kMaxHolders = 4;

  // One upstream, and how many of a prompt's blocks it holds.
  struct Match {
    int32_t upstream = 0;
    size_t blocks = 0;
  };

  // Remembers up to `capacity` prefixes, which must be at least 2.
  explicit PrefixIndex(size_t capacity) : half_capacity_(capacity / 2) {}

  // `upstream` has, or will soon have, all prefixes in `hashes`.
  void Add(const std::vector<uint64_t>& hashes, int32_t upstream);

  // `upstream` no longer has them.
  void Remove(const std::vector<uint64_t>& hashes, int32_t upstream);

  // The upstreams that hold the longest known part of the prompt with these
  // chained hashes; and those that hold shorter ones, as far as `matches` has
  // room. Returns the number of matches.
  size_t Find(const std::vector<uint64_t>& hashes,
              std::array<Match, kMaxHolders>* matches) const;

  size_t size() const { return recent_.size() + older_.size(); }

 private:
  // The holders of one prefix, latest first; kNoUpstream fills up.
  using Holders = std::array<int32_t, kMaxHolders>;
  using Table = absl::flat_hash_map<uint64_t, Holders>;

  static constexpr int32_t kNoUpstream = -1;

  const Holders* Lookup(uint64_t hash) const;
  void AddOne(uint64_t hash, int32_t upstream);

  size_t half_capacity_;
  // New and used prefixes go to recent_; when it is full it becomes older_, and
  // the former older_ is forgotten.
  Table recent_;
  Table older_;
};

}  // namespace papaya

#endif  // INCLUDE_ROUTING_PREFIX_INDEX_H_
