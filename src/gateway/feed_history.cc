#include "include/gateway/feed_history.h"

#include <algorithm>
#include <utility>

namespace papaya {

void FeedHistory::Clear() {
  entries_.clear();
  bytes_ = 0;
}

void FeedHistory::Add(KindFeed feed,
                      ObjectVersion unchanged_since,
                      TimePoint now) {
  if (!entries_.empty() && unchanged_since != entries_.back().feed.to) {
    Clear();
  }
  bytes_ += feed.changes.size();
  const TimePoint confirmed = now - feed.age;
  feed.recovery_age.reset();
  entries_.push_back({std::move(feed), unchanged_since, confirmed});
  while (entries_.size() > kMaxEntries || bytes_ > kMaxBytes) {
    bytes_ -= entries_.front().feed.changes.size();
    entries_.pop_front();
  }
}

std::vector<KindFeed> FeedHistory::Since(ObjectVersion version,
                                         TimePoint now) const {
  std::vector<KindFeed> feeds;
  const auto first = std::find_if(
      entries_.begin(), entries_.end(),
      [version](const Entry& entry) { return entry.feed.to > version; });
  if (first == entries_.end() || first->unchanged_since > version) {
    return feeds;
  }
  for (auto entry = first; entry != entries_.end(); ++entry) {
    feeds.push_back(entry->feed);
    // There are no changes between the two versions.
    feeds.back().from = std::min(entry->feed.from, version);
    feeds.back().age = now - entry->confirmed;
    version = entry->feed.to;
  }
  return feeds;
}

}  // namespace papaya
