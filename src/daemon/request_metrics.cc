#include "src/daemon/request_metrics.h"

namespace papaya {

RequestMetrics::RequestMetrics(MetricsRegistry* registry)
    : resumed(registry->GetCounter("papaya_streams_resumed_total",
                                   "Streams resumed after a break.")),
      rejected(registry->GetCounter("papaya_requests_rejected_total",
                                    "Requests refused before any route.")) {
  for (const Tier tier : kAllTiers) {
    TierMetrics& metrics = of(tier);
    const MetricLabels labels = {{"tier", TierName(tier)}};
    for (const Outcome outcome :
         {Outcome::kNotRun, Outcome::kRan, Outcome::kUnknown}) {
      MetricLabels with_outcome = labels;
      with_outcome.emplace_back("outcome", OutcomeName(outcome));
      metrics.outcomes[static_cast<size_t>(outcome)] = &registry->GetCounter(
          "papaya_requests_total", "Requests answered, by tier and outcome.",
          with_outcome);
    }
    metrics.abandoned =
        &registry->GetCounter("papaya_requests_abandoned_total",
                              "Requests whose callers went away.", labels);
    metrics.total_time = &registry->GetHistogram(
        "papaya_request_seconds", "From arrival to the end of the answer.",
        labels);
    metrics.queue_wait =
        &registry->GetHistogram("papaya_queue_wait_seconds",
                                "From arrival to the first dispatch.", labels);
    metrics.first_byte = &registry->GetHistogram(
        "papaya_first_byte_seconds", "From arrival to the answer's first byte.",
        labels);
  }
}

}  // namespace papaya
