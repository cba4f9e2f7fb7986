#ifndef INCLUDE_WIRE_STEADY_TIME_H_
#define INCLUDE_WIRE_STEADY_TIME_H_

#include <chrono>

#include "include/base/units.h"

namespace papaya {

// The time that the daemon hands to the decision cores.
inline TimePoint SteadyNow() {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

// `time` on the clock that Asio's timers use.
inline std::chrono::steady_clock::time_point ToSteadyClock(TimePoint time) {
  return std::chrono::steady_clock::time_point(
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(
          time.time_since_epoch()));
}

// The wall clock, for people and other machines.
inline WallTime WallNow() {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

}  // namespace papaya

#endif  // INCLUDE_WIRE_STEADY_TIME_H_
