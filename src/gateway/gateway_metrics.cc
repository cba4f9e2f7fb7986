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
                             "Prompt parts whose requests are rejected.")),
      cold_upstreams_(registry_.GetGauge(
          "papaya_cold_upstreams",
          "Upstreams that are or may be cold and get few requests.")),
      limited_upstreams_(registry_.GetGauge(
          "papaya_limited_upstreams",
          "Upstreams that have named a limit on their requests.")),
      cold_requests_(registry_.GetGauge(
          "papaya_cold_requests",
          "Requests sent to cold upstreams since the start.")),
      zones_evacuated_(
          registry_.GetGauge("papaya_zones_evacuated",
                             "Availability zones that get no new requests "
                             "because operators have evacuated them.")) {}

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
    case EventId::kUpstreamCold:
    case EventId::kWarmupHeldBack:
    case EventId::kWarmupRefused:
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

void GatewayMetrics::SetPeers(uint64_t renewed) {
  registry_
      .GetGauge("papaya_peer_connections_renewed",
                "Connections to other routers that went silent and were "
                "replaced, since the start.")
      .Set(static_cast<int64_t>(renewed));
}

void GatewayMetrics::SetLimited(size_t limited_upstreams) {
  limited_upstreams_.Set(static_cast<int64_t>(limited_upstreams));
}

void GatewayMetrics::SetWarmup(size_t cold_upstreams, uint64_t cold_requests) {
  cold_upstreams_.Set(static_cast<int64_t>(cold_upstreams));
  cold_requests_.Set(static_cast<int64_t>(cold_requests));
}

void GatewayMetrics::SetEvacuatedZones(
    const std::vector<EvacuatedZoneState>& zones) {
  zones_evacuated_.Set(static_cast<int64_t>(zones.size()));
  for (auto& [zone, gauges] : zones_) {
    gauges.since->Set(0);
    gauges.running->Set(0);
  }
  for (const EvacuatedZoneState& state : zones) {
    ZoneGauges& gauges = zones_[state.zone];
    if (gauges.since == nullptr) {
      const MetricLabels labels = {{"zone", state.zone.value()}};
      gauges.since = &registry_.GetGauge(
          "papaya_zone_evacuated_since_seconds",
          "Unix time at which this router learned that the zone is evacuated; "
          "0 once the evacuation has ended.",
          labels);
      gauges.running = &registry_.GetGauge(
          "papaya_evacuated_zone_requests",
          "Requests that still run at upstreams of an evacuated zone.", labels);
    }
    gauges.since->Set(state.since.time_since_epoch() / std::chrono::seconds(1));
    gauges.running->Set(static_cast<int64_t>(state.running));
  }
}

void GatewayMetrics::SetMemory(const MemoryBudget& budget) {
  for (size_t i = 0; i < kMemoryKindCount; ++i) {
    const auto kind = static_cast<MemoryKind>(i);
    registry_
        .GetGauge("papaya_memory_bytes",
                  "Bytes held for callers, upstreams, the store and routers.",
                  {{"kind", MemoryKindName(kind)}})
        .Set(budget.used(kind).value());
  }
  const std::pair<const char*, int64_t> gauges[] = {
      {"capacity", budget.capacity().value()}, {"peak", budget.peak().value()}};
  for (const auto& [bound, value] : gauges) {
    registry_
        .GetGauge("papaya_memory_budget_bytes",
                  "The budget for held bytes, zero without a limit, and the "
                  "highest use so far.",
                  {{"bound", bound}})
        .Set(value);
  }
  const std::pair<const char*, uint64_t> actions[] = {
      {"paused", budget.paused()}, {"rejected", budget.rejected()}};
  for (const auto& [action, value] : actions) {
    registry_
        .GetGauge("papaya_memory_actions",
                  "Bodies and responses paused, and requests rejected, because "
                  "memory was short, since the start.",
                  {{"action", action}})
        .Set(static_cast<int64_t>(value));
  }
  registry_
      .GetGauge("papaya_memory_waiting_bodies",
                "Callers' bodies that wait for memory to be read.")
      .Set(static_cast<int64_t>(budget.waiting()));
}

}  // namespace papaya
