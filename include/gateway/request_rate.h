#ifndef INCLUDE_GATEWAY_REQUEST_RATE_H_
#define INCLUDE_GATEWAY_REQUEST_RATE_H_

#include <cstdint>
#include <optional>

#include "include/base/units.h"

namespace papaya {

// The rate of requests over the last 5 to 10 seconds. `now` must not decrease.
class RequestRate {
 public:
  void Count(TimePoint now);

  // Requests a second. Zero before the first request.
  double PerSecond(TimePoint now) const;

 private:
  static constexpr Duration kPeriod = std::chrono::seconds(5);

  void Advance(TimePoint now);

  // Requests in the current period and in the one before it.
  uint64_t current_ = 0;
  uint64_t previous_ = 0;
  // The start of the current period, and of the first one that is counted.
  std::optional<TimePoint> period_start_;
  TimePoint counted_since_;
};

}  // namespace papaya

#endif  // INCLUDE_GATEWAY_REQUEST_RATE_H_
