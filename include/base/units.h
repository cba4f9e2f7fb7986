#ifndef INCLUDE_BASE_UNITS_H_
#define INCLUDE_BASE_UNITS_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "include/base/strong_number.h"

namespace papaya {

// The time scale of the decision core. No core reads it: the daemon passes
// std::chrono::steady_clock, tests and benches pass virtual time.
struct MonotonicClock {
  using rep = int64_t;
  using period = std::nano;
  using duration = std::chrono::nanoseconds;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true;
};

using Duration = MonotonicClock::duration;
using TimePoint = MonotonicClock::time_point;

// Wall-clock time, for what people and other machines read.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

// `seconds` as a Duration.
// Longer times are cut to about 31 years, so that sums of a few durations can't
// overflow.
constexpr Duration SecondsToDuration(double seconds) {
  constexpr double kMaxSeconds = 1e9;
  return Duration(static_cast<int64_t>(
      std::clamp(seconds, -kMaxSeconds, kMaxSeconds) * 1e9));
}

// `duration` in seconds.
constexpr double ToSeconds(Duration duration) {
  return static_cast<double>(duration.count()) * 1e-9;
}

using Tokens = StrongNumber<struct TokensTag, int64_t>;
using Bytes = StrongNumber<struct BytesTag, int64_t>;
// Thousandths of a whole.
using Permille = StrongNumber<struct PermilleTag, int32_t>;

}  // namespace papaya

#endif  // INCLUDE_BASE_UNITS_H_
