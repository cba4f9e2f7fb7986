#ifndef SRC_DAEMON_REQUEST_METRICS_H_
#define SRC_DAEMON_REQUEST_METRICS_H_

#include <array>

#include "include/base/outcome.h"
#include "include/base/tier.h"
#include "include/telemetry/metrics.h"

namespace papaya {

// Request metrics of a router, by tier.
class RequestMetrics {
 public:
  explicit RequestMetrics(MetricsRegistry* registry);

  struct TierMetrics {
    // Indexed by Outcome.
    std::array<Counter*, 3> outcomes;
    Counter* abandoned;
    // From arrival to the end of the response.
    LatencyHistogram* total_time;
    // From arrival to the first dispatch.
    LatencyHistogram* queue_wait;
    // From arrival to the first byte of the response body.
    LatencyHistogram* first_byte;
  };

  TierMetrics& of(Tier tier) { return tiers_[TierIndex(tier)]; }

  void CountOutcome(Tier tier, Outcome outcome) {
    of(tier).outcomes[static_cast<size_t>(outcome)]->Add();
  }

  // Streams resumed at their engine after an interruption.
  Counter& resumed;
  // Requests rejected before they had a route, for example for an unknown
  // token.
  Counter& rejected;

 private:
  std::array<TierMetrics, kTierCount> tiers_;
};

}  // namespace papaya

#endif  // SRC_DAEMON_REQUEST_METRICS_H_
