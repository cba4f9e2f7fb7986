#ifndef SRC_GATEWAY_GATEWAY_METRICS_H_
#define SRC_GATEWAY_GATEWAY_METRICS_H_

#include <string>

#include "absl/container/flat_hash_map.h"
#include "include/telemetry/event_catalog.h"
#include "include/telemetry/metrics.h"

namespace papaya {

struct RelayReport;

// The metrics of a gateway. The number of label values is bounded because
// outcomes and reasons come from the code, never from callers. Single-threaded.
class GatewayMetrics {
 public:
  GatewayMetrics();

  // Counts an accepted request that has ended.
  void Count(const RelayReport& report);
  // Counts a request that was rejected by the manifest or a quota.
  void CountRejected(const std::string& reason);

  // Counts an event about an upstream or an entry of the store. Other events
  // are ignored.
  void CountEvent(EventId id);

  // Counts a call to the platform's store that has ended.
  void CountStoreCall(const std::string& kind,
                      const std::string& call,
                      bool is_ok);

  // Records how late a timer of the event loop was handled.
  void RecordLoopDelay(Duration delay) { loop_delay_.Record(delay); }

  // Sets the gauges to the current state of the router.
  void SetState(size_t in_flight,
                size_t callers,
                int64_t upstream_connections,
                size_t quarantined_parts);

  // Returns all metrics in Prometheus' text format.
  std::string Export() const { return registry_.Export(); }

 private:
  Counter& CounterOf(const std::string& reason);

  MetricsRegistry registry_;
  absl::flat_hash_map<std::string, Counter*> requests_;
  LatencyHistogram& waited_;
  LatencyHistogram& took_;
  LatencyHistogram& loop_delay_;
  Counter& attempts_;
  Gauge& in_flight_;
  Gauge& callers_;
  Gauge& upstream_connections_;
  Gauge& quarantined_parts_;
};

}  // namespace papaya

#endif  // SRC_GATEWAY_GATEWAY_METRICS_H_
