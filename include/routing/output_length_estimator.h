#ifndef INCLUDE_ROUTING_OUTPUT_LENGTH_ESTIMATOR_H_
#define INCLUDE_ROUTING_OUTPUT_LENGTH_ESTIMATOR_H_

#include <cstddef>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "include/base/ids.h"
#include "include/base/units.h"

namespace papaya {

// Estimates the output length of requests from earlier answers, by client
// account and route. Memory for pairs is bounded: after kMaxPairs pairs of
// account and route, requests of new pairs are estimated by their route alone.
class OutputLengthEstimator {
 public:
  static constexpr size_t kMaxPairs = 32768;
  // Estimate for a route and account without any recorded answer.
  static constexpr double kInitialEstimateTokens = 200.0;

  // Returns the expected output length in tokens, at most `limit`. A `limit` of
  // zero means no limit.
  Tokens Estimate(const AccountId& account,
                  const RouteId& route,
                  Tokens limit) const;

  // Records that an answer was `length` tokens long.
  void Record(const AccountId& account, const RouteId& route, Tokens length);

  size_t pairs() const { return by_pair_.size(); }

 private:
  // A running mean that becomes an exponential moving average once its weight
  // reaches the maximum, so that it follows slow changes.
  struct Mean {
    double value = 0.0;
    double weight = 0.0;
    void Add(double sample);
  };

  absl::flat_hash_map<std::pair<AccountId, RouteId>, Mean> by_pair_;
  absl::flat_hash_map<RouteId, Mean> by_route_;
};

}  // namespace papaya

#endif  // INCLUDE_ROUTING_OUTPUT_LENGTH_ESTIMATOR_H_
