#ifndef SRC_GATEWAY_GATEWAY_METRICS_H_
#define SRC_GATEWAY_GATEWAY_METRICS_H_

#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "include/admission/memory_budget.h"
#include "include/base/ids.h"
#include "include/base/units.h"
#include "include/telemetry/event_catalog.h"
#include "include/telemetry/metrics.h"

namespace papaya {

struct RelayReport;

// An evacuated zone as seen by one router.
struct EvacuatedZoneState {
  AvailabilityZoneId zone;
  // When this router learned of the evacuation, in wall time.
  WallTime since;
  // Requests at the zone's upstreams.
  size_t running = 0;
};

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

  // Sets the number of upstreams that are or may be cold, and the number of
  // requests sent to such ones since the start.
  void SetWarmup(size_t cold_upstreams, uint64_t cold_requests);
  // Connections to other routers that were replaced since the start.
  void SetPeers(uint64_t renewed);
  void SetLimited(size_t limited_upstreams);
  // Sets the gauges of evacuated zones. Those of other zones become zero.
  void SetEvacuatedZones(const std::vector<EvacuatedZoneState>& zones);
  // Sets the gauges of the memory budget.
  void SetMemory(const MemoryBudget& budget);

  // Returns all metrics in Prometheus' text format.
  std::string Export() const { return registry_.Export(); }

 private:
  Counter& CounterOf(const std::string& reason);

  MetricsRegistry registry_;
  struct ZoneGauges {
    Gauge* since = nullptr;
    Gauge* running = nullptr;
  };

  absl::flat_hash_map<std::string, Counter*> requests_;
  absl::flat_hash_map<AvailabilityZoneId, ZoneGauges> zones_;
  LatencyHistogram& waited_;
  LatencyHistogram& took_;
  LatencyHistogram& loop_delay_;
  Counter& attempts_;
  Gauge& in_flight_;
  Gauge& callers_;
  Gauge& upstream_connections_;
  Gauge& quarantined_parts_;
  Gauge& cold_upstreams_;
  Gauge& limited_upstreams_;
  Gauge& cold_requests_;
  Gauge& zones_evacuated_;
};

}  // namespace papaya

#endif  // SRC_GATEWAY_GATEWAY_METRICS_H_
