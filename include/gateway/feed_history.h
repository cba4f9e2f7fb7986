#ifndef INCLUDE_GATEWAY_FEED_HISTORY_H_
#define INCLUDE_GATEWAY_FEED_HISTORY_H_

#include <deque>
#include <vector>

#include "include/base/ids.h"
#include "include/base/units.h"
#include "include/wire/feed_messages.h"

namespace papaya {

// The last changes of one kind as they were passed on, so that a router that
// lacks some of them gets them from another router, in place of the store. Each
// entry follows on the one before it. Single-threaded.
class FeedHistory {
 public:
  // Bounds on the memory of a kind. They cover about ten seconds of changes
  // while all upstreams of a large fleet register, which is longer than a stale
  // list is old.
  static constexpr size_t kMaxEntries = 64;
  static constexpr size_t kMaxBytes = size_t{256} * 1024;

  // Adds changes that were received at `now`. There were no changes between
  // `unchanged_since` and those of the feed. Forgets the earlier entries if
  // this one does not follow on them.
  void Add(KindFeed feed, ObjectVersion unchanged_since, TimePoint now);
  void Clear();

  // Returns the changes that lead from `version` to the newest version. Empty
  // if they are not known, or if there are none.
  std::vector<KindFeed> Since(ObjectVersion version, TimePoint now) const;

 private:
  struct Entry {
    KindFeed feed;
    ObjectVersion unchanged_since;
    // When the store confirmed the changes.
    TimePoint confirmed;
  };

  std::deque<Entry> entries_;
  size_t bytes_ = 0;
};

}  // namespace papaya

#endif  // INCLUDE_GATEWAY_FEED_HISTORY_H_
