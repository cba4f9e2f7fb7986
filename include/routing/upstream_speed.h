#ifndef INCLUDE_ROUTING_UPSTREAM_SPEED_H_
#define INCLUDE_ROUTING_UPSTREAM_SPEED_H_

#include "include/base/units.h"

namespace papaya {

// A mean of observed seconds per token that forgets with time.
class DecayingMean {
 public:
  // Adds the mean of `tokens` tokens that took `seconds_per_token` each.
  void Add(double seconds_per_token, double tokens, TimePoint now);

  // The mean, drawn towards `prior` while few tokens were seen lately.
  double Estimate(double prior) const;

  // True if enough was seen lately to judge by.
  bool HasEnoughSamples(TimePoint now) const;

  // The mean alone; 0 if nothing was ever seen.
  double value() const { return value_; }

  // When something was last added; the epoch if never.
  TimePoint last_update() const { return last_update_; }

 private:
  double value_ = 0.0;
  double weight_ = 0.0;
  TimePoint last_update_;
};

// How fast one upstream, or the upstreams of one kind, were seen to work.
struct UpstreamSpeed {
  DecayingMean prefill;
  DecayingMean decode;
};

// Seconds per token assumed before anything was seen.
inline constexpr double kInitialPrefillSecondsPerToken = 2e-4;
inline constexpr double kInitialDecodeSecondsPerToken = 0.03;

}  // namespace papaya

#endif  // INCLUDE_ROUTING_UPSTREAM_SPEED_H_
