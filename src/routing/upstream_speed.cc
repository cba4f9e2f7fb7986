#include "include/routing/upstream_speed.h"

#include <algorithm>
#include <cmath>

namespace papaya {

namespace {

// What was seen counts for 1/e after this time.
constexpr double kDecaySeconds = 2.0;
// The prior counts for as much as so many tokens.
constexpr double kPriorTokens = 64.0;
// Tokens, weighted by age, that suffice to judge by.
constexpr double kMinObservedTokens = 16.0;

}  // namespace

void DecayingMean::Add(double seconds_per_token, double tokens, TimePoint now) {
  const double age = ToSeconds(now - last_update_);
  weight_ = weight_ * std::exp(-age / kDecaySeconds) + tokens;
  last_update_ = now;
  value_ += (seconds_per_token - value_) * (tokens / weight_);
}

double DecayingMean::Estimate(double prior) const {
  return (value_ * weight_ + prior * kPriorTokens) / (weight_ + kPriorTokens);
}

bool DecayingMean::HasEnoughSamples(TimePoint now) const {
  const double age = ToSeconds(now - last_update_);
  return weight_ * std::exp(-age / (kDecaySeconds * 10.0)) > kMinObservedTokens;
}

}  // namespace papaya
