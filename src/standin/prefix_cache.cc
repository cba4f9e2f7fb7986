#include "include/standin/prefix_cache.h"

#include <utility>

namespace papaya {

size_t PrefixCache::Match(const std::vector<uint64_t>& hashes) {
  size_t held = 0;
  for (const uint64_t hash : hashes) {
    const auto block = blocks_.find(hash);
    if (block == blocks_.end()) {
      break;
    }
    order_.splice(order_.begin(), order_, block->second);
    ++held;
  }
  return held;
}

void PrefixCache::Store(const std::vector<uint64_t>& hashes, TimePoint now) {
  CacheChange stored{.at = now, .kind = CacheChange::Kind::kStored};
  for (const uint64_t hash : hashes) {
    if (blocks_.contains(hash)) {
      continue;
    }
    order_.push_front(hash);
    blocks_[hash] = order_.begin();
    stored.hashes.push_back(hash);
  }
  CacheChange evicted{.at = now, .kind = CacheChange::Kind::kEvicted};
  while (blocks_.size() > max_blocks_) {
    evicted.hashes.push_back(order_.back());
    blocks_.erase(order_.back());
    order_.pop_back();
  }
  AddChange(std::move(stored));
  AddChange(std::move(evicted));
}

void PrefixCache::AddChange(CacheChange event) {
  if (event.hashes.empty()) {
    return;
  }
  const uint64_t number = first_event_ + events_.size();
  if (gap_every_ > 0 && number % gap_every_ == gap_every_ - 1) {
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
