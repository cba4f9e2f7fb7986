#ifndef INCLUDE_ROUTING_UPSTREAM_SPEED_H_
#define INCLUDE_ROUTING_UPSTREAM_SPEED_H_

#include "include/base/units.h"

namespace papaya {

// A mean of observed seconds per token in which older observations decay.
class DecayingMean {
 public:
  // Adds an observation of `tokens` tokens that took `seconds_per_token` each.
  void Add(double seconds_per_token, double tokens, TimePoint now);

  // Returns the mean combined with `prior`; the less the mean's weight at the
  // last Add(), the more the prior counts.
  double Estimate(double prior) const;

  // Returns true if enough recent tokens were observed to judge the speed by.
  bool HasEnoughSamples(TimePoint now) const;

  // The mean without a prior; 0 if nothing was ever added.
  double value() const { return value_; }

  // The time of the last Add(); the epoch if there was none.
  TimePoint last_update() const { return last_update_; }

 private:
  double value_ = 0.0;
  double weight_ = 0.0;
  TimePoint last_update_;
};

// The observed speed of one upstream, or of all upstreams of one kind, in
// seconds per token.
struct UpstreamSpeed {
  DecayingMean prefill;
  DecayingMean decode;
};

// Seconds per token assumed before any observation.
inline constexpr double kInitialPrefillSecondsPerToken = 2e-4;
inline constexpr double kInitialDecodeSecondsPerToken = 0.03;

}  // namespace papaya

#endif  // INCLUDE_ROUTING_UPSTREAM_SPEED_H_
