#ifndef INCLUDE_STANDIN_LAGGED_VALUE_H_
#define INCLUDE_STANDIN_LAGGED_VALUE_H_

#include <deque>
#include <utility>

#include "include/base/units.h"

namespace papaya {

// A value that readers see only some time after it was set.
template <typename T>
class LaggedValue {
 public:
  explicit LaggedValue(T initial) { history_.push_back({{}, initial}); }

  // Sets the value as of `now`, which must not go back.
  void Set(TimePoint now, T value) {
    if (history_.back().value == value) {
      return;
    }
    history_.push_back({now, std::move(value)});
    if (history_.size() > kMaxHistory) {
      history_.pop_front();
    }
  }

  // The value as it was `lag` before `now`, or the oldest that is still known.
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
