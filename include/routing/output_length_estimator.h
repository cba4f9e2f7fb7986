#ifndef INCLUDE_ROUTING_OUTPUT_LENGTH_ESTIMATOR_H_
#define INCLUDE_ROUTING_OUTPUT_LENGTH_ESTIMATOR_H_

#include <cstddef>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "include/base/ids.h"
#include "include/base/units.h"

namespace papaya {

// Learns how long answers are, by client account and route. Bounded: past
// kMaxPairs pairs of account and route, new ones are told by their route.
class OutputLengthEstimator {
 public:
  static constexpr size_t kMaxPairs = 32768;
  // What is expected before any answer was seen.
  static constexpr double kInitialEstimateTokens = 200.0;

  // The expected length of an answer; at most `limit` unless that is zero.
  Tokens Estimate(const AccountId& account,
                  const RouteId& route,
                  Tokens limit) const;

  // An answer was `length` tokens long.
  void Record(const AccountId& account, const RouteId& route, Tokens length);

  size_t pairs() const { return by_pair_.size(); }

 private:
  // A mean that follows slow changes.
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
