#include "src/gateway/gateway_metrics.h"

#include "src/gateway/relayed_request.h"

namespace papaya {

GatewayMetrics::GatewayMetrics()
    : waited_(registry_.GetHistogram(
          "papaya_request_wait_seconds",
          "Time from a request's arrival to its first dispatch.")),
      took_(registry_.GetHistogram(
          "papaya_request_seconds",
          "Time from a request's arrival to the end of its answer.")),
      loop_delay_(registry_.GetHistogram(
          "papaya_loop_delay_seconds",
          "How late timers of the event loop were handled.")),
      attempts_(registry_.GetCounter("papaya_attempts_total",
                                     "Requests sent to upstreams.")),
      in_flight_(registry_.GetGauge("papaya_requests_in_flight",
                                    "Requests that wait or are served.")),
      callers_(registry_.GetGauge("papaya_caller_connections",
                                  "Open connections of callers.")),
      upstream_connections_(
          registry_.GetGauge("papaya_upstream_connections_opened",
                             "Connections to upstreams since the start.")),
      quarantined_parts_(
          registry_.GetGauge("papaya_quarantined_parts",
                             "Prompt parts whose requests are rejected.")) {}

Counter& GatewayMetrics::CounterOf(const std::string& reason) {
  Counter*& counter = requests_[reason];
  if (counter == nullptr) {
    counter = &registry_.GetCounter("papaya_requests_total",
                                    "Requests by how they ended.",
                                    {{"outcome", reason}});
  }
  return *counter;
}

void GatewayMetrics::Count(const RelayReport& report) {
  CounterOf(report.reason.empty() ? "served" : report.reason).Add();
  attempts_.Add(static_cast<uint64_t>(report.attempts));
  waited_.Record(report.waited);
  took_.Record(report.took);
}

void GatewayMetrics::CountRejected(const std::string& reason) {
  CounterOf(reason).Add();
}

void GatewayMetrics::CountEvent(EventId id) {
  switch (id) {
    case EventId::kUpstreamDraining:
    case EventId::kUpstreamClosed:
    case EventId::kResponseCut:
    case EventId::kAttemptBroken:
    case EventId::kEntryRefused:
      registry_
          .GetCounter("papaya_upstream_events_total",
                      "What upstreams and their registrations did.",
                      {{"event", GetEventInfo(id).name}})
          .Add();
      return;
    default:
      return;
  }
}

void GatewayMetrics::CountStoreCall(const std::string& kind,
                                    const std::string& call,
                                    bool is_ok) {
  registry_
      .GetCounter("papaya_store_calls_total",
                  "Calls to the platform's store by kind of object.",
                  {{"kind", kind},
                   {"call", call},
                   {"outcome", is_ok ? "ok" : "failed"}})
      .Add();
}

void GatewayMetrics::SetState(size_t in_flight,
                              size_t callers,
                              int64_t upstream_connections,
                              size_t quarantined_parts) {
  in_flight_.Set(static_cast<int64_t>(in_flight));
  callers_.Set(static_cast<int64_t>(callers));
  upstream_connections_.Set(upstream_connections);
  quarantined_parts_.Set(static_cast<int64_t>(quarantined_parts));
}

}  // namespace papaya
