#include "include/standin/prefix_cache.h"

#include <utility>

namespace papaya {

size_t PrefixCache::Match(const std::vector<uint64_t>& hashes) {
  size_t matched = 0;
  for (const uint64_t hash : hashes) {
    const auto block = blocks_.find(hash);
    if (block == blocks_.end()) {
      break;
    }
    lru_list_.splice(lru_list_.begin(), lru_list_, block->second);
    ++matched;
  }
  return matched;
}

void PrefixCache::Store(const std::vector<uint64_t>& hashes, TimePoint now) {
  CacheChange stored{.at = now, .kind = CacheChange::Kind::kStored};
  for (const uint64_t hash : hashes) {
    if (blocks_.contains(hash)) {
      continue;
    }
    lru_list_.push_front(hash);
    blocks_[hash] = lru_list_.begin();
    stored.hashes.push_back(hash);
  }
  CacheChange evicted{.at = now, .kind = CacheChange::Kind::kEvicted};
  while (blocks_.size() > max_blocks_) {
    evicted.hashes.push_back(lru_list_.back());
    blocks_.erase(lru_list_.back());
    lru_list_.pop_back();
  }
  RecordChange(std::move(stored));
  RecordChange(std::move(evicted));
}

void PrefixCache::RecordChange(CacheChange event) {
  if (event.hashes.empty()) {
    return;
  }
  const uint64_t number = first_event_ + events_.size();
  if (event_loss_interval_ > 0 &&
      number % event_loss_interval_ == event_loss_interval_ - 1) {
    event.hashes.clear();
  }
  events_.push_back(std::move(event));
  if (events_.size() > kMaxEvents) {
    events_.erase(events_.begin(), events_.begin() + kMaxEvents / 2);
    first_event_ += kMaxEvents / 2;
  }
}

std::vector<CacheChange> PrefixCache::EventsAfter(uint64_t after,
                                                  TimePoint until,
                                                  uint64_t& next) const {
  std::vector<CacheChange> found;
  next = std::max(after, first_event_);
  while (next - first_event_ < events_.size()) {
    const CacheChange& event = events_[next - first_event_];
    if (event.at > until) {
      break;
    }
    if (!event.hashes.empty()) {
      found.push_back(event);
    }
    ++next;
  }
  return found;
}

}  // namespace papaya
