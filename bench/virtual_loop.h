#ifndef BENCH_VIRTUAL_LOOP_H_
#define BENCH_VIRTUAL_LOOP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "include/base/units.h"

namespace papaya::bench {

// An event loop in virtual time. Calls functions in the order of their virtual
// times, and functions with the same time in the order in which they were
// added. Not thread-safe.
class VirtualLoop {
 public:
  TimePoint now() const { return now_; }

  // Schedules `body` to be called after `delay`, which must not be negative.
  void After(Duration delay, std::function<void()> body) {
    queue_.emplace(std::pair(now_ + delay, next_sequence_++), std::move(body));
  }

  // Calls all functions that are due by `end`, including those added meanwhile,
  // and sets the virtual time to `end`.
  void RunUntil(TimePoint end) {
    while (!queue_.empty() && queue_.begin()->first.first <= end) {
      auto first = queue_.extract(queue_.begin());
      now_ = first.key().first;
      first.mapped()();
    }
    now_ = end;
  }

 private:
  TimePoint now_ = TimePoint(std::chrono::hours(1));
  uint64_t next_sequence_ = 0;
  std::map<std::pair<TimePoint, uint64_t>, std::function<void()>> queue_;
};

}  // namespace papaya::bench

#endif  // BENCH_VIRTUAL_LOOP_H_
