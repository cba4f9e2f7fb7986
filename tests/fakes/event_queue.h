#ifndef TESTS_FAKES_EVENT_QUEUE_H_
#define TESTS_FAKES_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "include/base/units.h"

namespace papaya {

// Virtual time: runs functions in the order of their times, those of one time
// in the order in which they were added.
class EventQueue {
 public:
  TimePoint now() const { return now_; }

  void At(TimePoint time, std::function<void()> action) {
    events_.push({std::max(time, now_), next_++, std::move(action)});
  }

  void After(Duration delay, std::function<void()> action) {
    At(now_ + delay, std::move(action));
  }

  // Runs all that is due up to `end`, and sets the time to it.
  void RunUntil(TimePoint end) {
    while (!events_.empty() && events_.top().time <= end) {
      const std::function<void()> action = std::move(events_.top().action);
      now_ = events_.top().time;
      events_.pop();
      action();
    }
    now_ = end;
  }

  void RunFor(Duration time) { RunUntil(now_ + time); }

 private:
  struct Item {
    TimePoint time;
    uint64_t order = 0;
    // Moved out just before the item is popped.
    mutable std::function<void()> action;

    bool operator<(const Item& other) const {
      return std::pair(time, order) > std::pair(other.time, other.order);
    }
  };

  TimePoint now_;
  uint64_t next_ = 0;
  std::priority_queue<Item> events_;
};

}  // namespace papaya

#endif  // TESTS_FAKES_EVENT_QUEUE_H_
