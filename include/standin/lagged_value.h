#ifndef INCLUDE_STANDIN_LAGGED_VALUE_H_
#define INCLUDE_STANDIN_LAGGED_VALUE_H_

#include <deque>
#include <utility>

#include "include/base/units.h"

namespace papaya {

// Keeps the history of a value, so that it can be read as it was some time ago.
template <typename T>
class LaggedValue {
 public:
  explicit LaggedValue(T initial) { history_.push_back({{}, initial}); }

  // Sets the value from `now` on. `now` must not decrease between calls.
  void Set(TimePoint now, T value) {
    if (history_.back().value == value) {
      return;
    }
    history_.push_back({now, std::move(value)});
    if (history_.size() > kMaxHistory) {
      history_.pop_front();
    }
  }

  // Returns the value as it was at the time `now` - `lag`, or the oldest value
  // in the history if that one starts later.
  const T& Get(TimePoint now, Duration lag) const {
    for (auto entry = history_.rbegin(); entry != history_.rend(); ++entry) {
      if (entry->since + lag <= now) {
        return entry->value;
      }
    }
    return history_.front().value;
  }

  const T& Latest() const { return history_.back().value; }

 private:
  struct Entry {
    TimePoint since;
    T value;
  };

  static constexpr size_t kMaxHistory = 4096;

  std::deque<Entry> history_;
};

}  // namespace papaya

#endif  // INCLUDE_STANDIN_LAGGED_VALUE_H_
