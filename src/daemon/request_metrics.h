#ifndef SRC_DAEMON_REQUEST_METRICS_H_
#define SRC_DAEMON_REQUEST_METRICS_H_

#include <array>

#include "include/base/outcome.h"
#include "include/base/tier.h"
#include "include/telemetry/metrics.h"

namespace papaya {

// What a router counts of its requests, by tier.
class RequestMetrics {
 public:
  explicit RequestMetrics(MetricsRegistry* registry);

  struct TierMetrics {
    // By outcome.
    std::array<Counter*, 3> outcomes;
    Counter* abandoned;
    // From arrival to the end of the answer.
    LatencyHistogram* total_time;
    // From arrival to the first dispatch.
    LatencyHistogram* queue_wait;
    // From arrival to the first byte of the answer's body.
    LatencyHistogram* first_byte;
  };

  TierMetrics& of(Tier tier) { return tiers_[TierIndex(tier)]; }

  void CountOutcome(Tier tier, Outcome outcome) {
    of(tier).outcomes[static_cast<size_t>(outcome)]->Add();
  }

  // Streams asked for again at their engine after a break.
  Counter& resumed;
  // Requests refused before they had a route, as for a wrong token.
  Counter& rejected;

 private:
  std::array<TierMetrics, kTierCount> tiers_;
};

}  // namespace papaya

#endif  // SRC_DAEMON_REQUEST_METRICS_H_
