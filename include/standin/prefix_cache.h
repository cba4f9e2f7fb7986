#ifndef INCLUDE_STANDIN_PREFIX_CACHE_H_
#define INCLUDE_STANDIN_PREFIX_CACHE_H_

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

#include "include/base/units.h"

namespace papaya {

// A change of a prefix cache.
struct CacheChange {
  enum class Kind : uint8_t { kStored, kEvicted };

  TimePoint at;
  Kind kind = Kind::kStored;
  std::vector<uint64_t> hashes;
};

// The KV blocks of prompts that an engine remembers; the least recently used
// leave first.
class PrefixCache {
 public:
  explicit PrefixCache(size_t max_blocks) : max_blocks_(max_blocks) {}

  // How many of the leading `hashes` are held. Marks them as used.
  size_t Match(const std::vector<uint64_t>& hashes);

  // Holds `hashes` from now on, and evicts others if there are too many.
  void Store(const std::vector<uint64_t>& hashes, TimePoint now);

  // Events number `after` and later, no younger than `until`, oldest first.
  // `next` becomes the number to ask for then. Events that are forgotten, or
  // were dropped as gaps, are skipped.
  std::vector<CacheChange> EventsAfter(uint64_t after,
                                       TimePoint until,
                                       uint64_t& next) const;

  // Every n-th event is lost; 0 loses none.
  void set_event_loss_interval(uint64_t n) { event_loss_interval_ = n; }

  size_t size() const { return blocks_.size(); }
  size_t max_blocks() const { return max_blocks_; }

 private:
  void RecordChange(CacheChange event);

  static constexpr size_t kMaxEvents = 4096;

  size_t max_blocks_;
  uint64_t event_loss_interval_ = 0;
  // Most recently used first.
  std::list<uint64_t> lru_list_;
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> blocks_;
  std::vector<CacheChange> events_;
  // The number of events_.front().
  uint64_t first_event_ = 0;
};

}  // namespace papaya

#endif  // INCLUDE_STANDIN_PREFIX_CACHE_H_
