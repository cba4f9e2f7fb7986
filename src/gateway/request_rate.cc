#include "include/gateway/request_rate.h"

#include <algorithm>

namespace papaya {

namespace {

// A shorter time tells no rate.
constexpr Duration kMinTime = std::chrono::seconds(1);

}  // namespace

void RequestRate::Advance(TimePoint now) {
  if (!period_start_.has_value()) {
    period_start_ = now;
    counted_since_ = now;
    return;
  }
  const int64_t periods = (now - *period_start_) / kPeriod;
  if (periods <= 0) {
    return;
  }
  previous_ = periods == 1 ? current_ : 0;
  current_ = 0;
  *period_start_ += periods * kPeriod;
  counted_since_ = std::max(counted_since_, *period_start_ - kPeriod);
}

void RequestRate::Count(TimePoint now) {
  Advance(now);
  ++current_;
}

double RequestRate::PerSecond(TimePoint now) const {
  if (!period_start_.has_value()) {
    return 0.0;
  }
  RequestRate rate = *this;
  rate.Advance(now);
  const Duration time = std::max(kMinTime, now - rate.counted_since_);
  return static_cast<double>(rate.current_ + rate.previous_) / ToSeconds(time);
}

}  // namespace papaya
