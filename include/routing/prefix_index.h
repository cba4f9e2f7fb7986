#ifndef INCLUDE_ROUTING_PREFIX_INDEX_H_
#define INCLUDE_ROUTING_PREFIX_INDEX_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "absl/container/flat_hash_map.h"

namespace papaya {

// Tracks which upstreams probably hold which prompt prefixes in their caches.
// The result is only a hint: engines may evict without reporting it, and their
// reports arrive late. The index is bounded and drops the least recently added
// prefixes first, in steps of half its capacity.
//
// Upstreams are identified by non-negative numbers that the caller assigns.
class PrefixIndex {
 public:
  // Upstreams stored per prefix; the most recently added ones are kept.
  static constexpr size_t kMaxHolders = 4;

  // An upstream and the number of leading blocks of a prompt that it holds.
  struct Match {
    int32_t upstream = 0;
    size_t blocks = 0;
  };

  // Stores about `capacity` prefixes; `capacity` must be at least 2.
  explicit PrefixIndex(size_t capacity) : half_capacity_(capacity / 2) {}

  // Records that `upstream` has, or will soon have, all prefixes in `hashes`.
  void Add(const std::vector<uint64_t>& hashes, int32_t upstream);

  // Records that `upstream` no longer has the prefixes in `hashes`.
  void Remove(const std::vector<uint64_t>& hashes, int32_t upstream);

  // Fills `matches` with the upstreams that hold a prefix of the prompt with
  // the chained `hashes`, longest prefix first and each upstream once, as far
  // as `matches` has room. Returns the number of matches.
  size_t Find(const std::vector<uint64_t>& hashes,
              std::array<Match, kMaxHolders>* matches) const;

  size_t size() const { return recent_.size() + older_.size(); }

 private:
  // The holders of one prefix, most recent first, padded with kNoUpstream.
  using Holders = std::array<int32_t, kMaxHolders>;
  using Table = absl::flat_hash_map<uint64_t, Holders>;

  static constexpr int32_t kNoUpstream = -1;

  const Holders* Lookup(uint64_t hash) const;
  void AddOne(uint64_t hash, int32_t upstream);

  size_t half_capacity_;
  // Added prefixes go to recent_. When recent_ is full, it becomes older_ and
  // the former older_ is dropped.
  Table recent_;
  Table older_;
};

}  // namespace papaya

#endif  // INCLUDE_ROUTING_PREFIX_INDEX_H_
