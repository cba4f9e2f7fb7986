#include "include/routing/upstream_speed.h"

#include <algorithm>
#include <cmath>

namespace papaya {

namespace {

// What was seen counts for 1/e after this time.
constexpr double kMemorySeconds = 2.0;
// The prior counts for as much as so many tokens.
constexpr double kPriorTokens = 64.0;
// Tokens, weighted by age, that suffice to judge by.
constexpr double kKnownTokens = 16.0;

}  // namespace

void SpeedMean::Add(double seconds_per_token, double tokens, TimePoint now) {
  const double age = ToSeconds(now - last_);
  weight_ = weight_ * std::exp(-age / kMemorySeconds) + tokens;
  last_ = now;
  value_ += (seconds_per_token - value_) * (tokens / weight_);
}

double SpeedMean::Get(double prior) const {
  return (value_ * weight_ + prior * kPriorTokens) / (weight_ + kPriorTokens);
}

bool SpeedMean::IsKnown(TimePoint now) const {
  const double age = ToSeconds(now - last_);
  return weight_ * std::exp(-age / (kMemorySeconds * 10.0)) > kKnownTokens;
}

}  // namespace papaya
