#include "include/routing/output_length_estimator.h"

#include <algorithm>

namespace papaya {

namespace {

// Limit of the weight, in answers. It bounds how far back a mean reaches.
constexpr double kMaxMeanWeight = 64.0;
// Weight of the route's mean in the estimate for a pair, in answers.
constexpr double kRouteMeanWeight = 2.0;

}  // namespace

void OutputLengthEstimator::Mean::Add(double sample) {
  weight = std::min(weight + 1.0, kMaxMeanWeight);
  value += (sample - value) / weight;
}

Tokens OutputLengthEstimator::Estimate(const AccountId& account,
                                       const RouteId& route,
                                       Tokens limit) const {
  double expected = kInitialEstimateTokens;
  auto by_route = by_route_.find(route);
  if (by_route != by_route_.end()) {
    expected = by_route->second.value;
  }
  auto by_pair = by_pair_.find({account, route});
  if (by_pair != by_pair_.end()) {
    const Mean& own = by_pair->second;
    expected = (own.value * own.weight + expected * kRouteMeanWeight) /
               (own.weight + kRouteMeanWeight);
  }
  const Tokens tokens(static_cast<int64_t>(expected));
  return limit.value() > 0 ? std::min(tokens, limit) : tokens;
}

void OutputLengthEstimator::Record(const AccountId& account,
                                   const RouteId& route,
                                   Tokens length) {
  const double sample = static_cast<double>(length.value());
  by_route_[route].Add(sample);
  auto by_pair = by_pair_.find({account, route});
  if (by_pair != by_pair_.end()) {
    by_pair->second.Add(sample);
    return;
  }
  if (by_pair_.size() < kMaxPairs) {
    by_pair_[{account, route}].Add(sample);
  }
}

}  // namespace papaya
