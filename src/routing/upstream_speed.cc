#include "include/routing/upstream_speed.h"

#include <algorithm>
#include <cmath>

namespace papaya {

namespace {

// Time in which the weight of an observation decays to 1/e. HasEnoughSamples()
// lets the weight decay ten times as slowly.
constexpr double kDecaySeconds = 2.0;
// Weight of the prior, in observed tokens.
constexpr double kPriorTokens = 64.0;
// Age-weighted number of tokens above which the mean is reliable.
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
