#ifndef INCLUDE_STANDIN_PREFIX_CACHE_H_
#define INCLUDE_STANDIN_PREFIX_CACHE_H_

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

#include "include/base/units.h"

namespace papaya {

// One change of a prefix cache: blocks that were stored or evicted.
struct CacheChange {
  enum class Kind : uint8_t { kStored, kEvicted };

  TimePoint at;
  Kind kind = Kind::kStored;
  std::vector<uint64_t> hashes;
};

// An LRU cache of the KV blocks of prompts, identified by their hashes, with a
// log of its changes.
class PrefixCache {
 public:
  explicit PrefixCache(size_t max_blocks) : max_blocks_(max_blocks) {}

  // Returns how many of the leading `hashes` are cached and marks these as
  // recently used.
  size_t Match(const std::vector<uint64_t>& hashes);

  // Adds `hashes` and evicts the least recently used blocks above the capacity.
  void Store(const std::vector<uint64_t>& hashes, TimePoint now);

  // Returns the events with number `after` and above that happened by `until`,
  // oldest first. Sets `next` to the value of `after` for the next call. Skips
  // events that were removed from the log or that set_event_loss_interval
  // suppresses.
  std::vector<CacheChange> EventsAfter(uint64_t after,
                                       TimePoint until,
                                       uint64_t& next) const;

  // Suppresses every n-th event; 0 suppresses none.
  void set_event_loss_interval(uint64_t n) { event_loss_interval_ = n; }

  size_t size() const { return blocks_.size(); }
  size_t max_blocks() const { return max_blocks_; }

 private:
  void RecordChange(CacheChange event);

  static constexpr size_t kMaxEvents = 4096;

  size_t max_blocks_;
  uint64_t event_loss_interval_ = 0;
  // Block hashes, most recently used first.
  std::list<uint64_t> lru_list_;
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> blocks_;
  std::vector<CacheChange> events_;
  // The number of events_.front().
  uint64_t first_event_ = 0;
};

}  // namespace papaya

#endif  // INCLUDE_STANDIN_PREFIX_CACHE_H_
