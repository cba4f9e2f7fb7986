#ifndef SRC_GATEWAY_GATEWAY_METRICS_H_
#define SRC_GATEWAY_GATEWAY_METRICS_H_

#include <string>

#include "absl/container/flat_hash_map.h"
#include "include/telemetry/metrics.h"

namespace papaya {

struct RelayReport;

// What a gateway counts. Labels are bounded: outcomes and reasons are words of
// the code, never of a caller. One thread.
class GatewayMetrics {
 public:
  GatewayMetrics();

  // A request that was taken in has ended.
  void Count(const RelayReport& report);
  // A request was turned away by the manifest or a quota.
  void CountRejected(const std::string& reason);

  // What the router has in hand now.
  void SetState(size_t in_flight, size_t callers, int64_t upstream_connections);

  // Prometheus' text format.
  std::string Export() const { return registry_.Export(); }

 private:
  Counter& CounterOf(const std::string& reason);

  MetricsRegistry registry_;
  absl::flat_hash_map<std::string, Counter*> requests_;
  LatencyHistogram& waited_;
  LatencyHistogram& took_;
  Counter& attempts_;
  Gauge& in_flight_;
  Gauge& callers_;
  Gauge& upstream_connections_;
};

}  // namespace papaya

#endif  // SRC_GATEWAY_GATEWAY_METRICS_H_
