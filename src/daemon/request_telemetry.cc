#include "src/daemon/request_telemetry.h"

#include <utility>

#include "include/wire/steady_time.h"
#include "src/daemon/request_session.h"
#include "src/daemon/traffic_services.h"

namespace papaya {

using SystemClock = std::chrono::system_clock;

RequestTelemetry::RequestTelemetry(TrafficServices* services,
                                   const AcceptedRequest* request)
    : services_(services),
      request_(request),
      arrived_wall_(SystemClock::now()),
      queued_wall_(arrived_wall_) {}

void RequestTelemetry::OnDispatch() {
  attempt_started_ = SteadyNow();
  first_token_at_ = TimePoint();
  WriteChildSpan(request_->trace.NewChild(), "queue_wait", queued_wall_, "",
                 "");
  services_->metrics->of(request_->spec.tier)
      .queue_wait->Record(SteadyNow() - request_->spec.arrival);
}

void RequestTelemetry::OnFirstByte() {
  services_->metrics->of(request_->spec.tier)
      .first_byte->Record(SteadyNow() - request_->spec.arrival);
}

bool RequestTelemetry::OnFirstToken() {
  if (std::exchange(first_token_seen_, true)) {
    return false;
  }
  first_token_at_ = SteadyNow();
  OnFirstByte();
  return true;
}

void RequestTelemetry::CountReply(const UpstreamSpec& upstream,
                                  bool failed,
                                  Tokens tokens) {
  const TimePoint now = SteadyNow();
  const TimePoint first = first_token_seen_ ? first_token_at_ : now;
  services_->count_reply({.pool = upstream.pool,
                          .version = upstream.version,
                          .route = request_->spec.route,
                          .upstream = upstream.id,
                          .failed = failed,
                          .first_token = first - attempt_started_,
                          .total_time = now - attempt_started_,
                          .tokens = tokens});
}

void RequestTelemetry::CountOutcome(Outcome outcome) {
  services_->metrics->CountOutcome(request_->spec.tier, outcome);
}

void RequestTelemetry::EndCompleted() {
  CountOutcome(Outcome::kRan);
  services_->metrics->of(request_->spec.tier)
      .total_time->Record(SteadyNow() - request_->spec.arrival);
  End("");
}

void RequestTelemetry::EndAbandoned() {
  services_->metrics->of(request_->spec.tier).abandoned->Add();
  End("the caller disconnected");
}

void RequestTelemetry::End(const std::string& error) {
  WriteSpan(request_->trace, request_->parent_span, "request", arrived_wall_,
            error, "");
}

void RequestTelemetry::WriteChildSpan(const TraceContext& context,
                                      const char* name,
                                      SystemClock::time_point start,
                                      const std::string& error,
                                      const std::string& upstream) {
  WriteSpan(context, request_->trace.span_id, name, start, error, upstream);
}

void RequestTelemetry::WriteSpan(const TraceContext& context,
                                 const std::string& parent,
                                 const char* name,
                                 SystemClock::time_point start,
                                 const std::string& error,
                                 const std::string& upstream) {
  if (!services_->spans->is_open()) {
    return;
  }
  Span span{.context = context,
            .parent_id = parent,
            .name = name,
            .start = start,
            .end = SystemClock::now(),
            .error = error};
  span.attributes = {{"papaya.request", request_->name},
                     {"papaya.tier", TierName(request_->spec.tier)}};
  if (!upstream.empty()) {
    span.attributes.emplace_back("papaya.upstream", upstream);
  }
  services_->spans->Write(span);
}

}  // namespace papaya
