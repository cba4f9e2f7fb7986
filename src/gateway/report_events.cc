#include "src/gateway/report_events.h"

#include "absl/strings/str_cat.h"
#include "src/gateway/relayed_request.h"
#include "src/gateway/request_dispatcher.h"

namespace papaya {

namespace {

constexpr int kServedLinesPerSecond = 20;
constexpr int kFailedLinesPerSecond = 60;

std::string FormatMs(Duration duration) {
  return absl::StrCat(duration / std::chrono::milliseconds(1));
}

}  // namespace

std::map<EventId, int> RequestEventLimits() {
  return {{EventId::kRequestServed, kServedLinesPerSecond},
          {EventId::kRequestFailed, kFailedLinesPerSecond},
          {EventId::kRequestRejected, kFailedLinesPerSecond},
          {EventId::kUpstreamClosed, kFailedLinesPerSecond},
          {EventId::kResponseCut, kFailedLinesPerSecond},
          {EventId::kAttemptBroken, kFailedLinesPerSecond},
          {EventId::kUpstreamCold, kFailedLinesPerSecond},
          {EventId::kWarmupRefused, kFailedLinesPerSecond},
          {EventId::kUpstreamWarm, kFailedLinesPerSecond},
          {EventId::kUpstreamLimited, kFailedLinesPerSecond},
          {EventId::kUpstreamUnlimited, kFailedLinesPerSecond},
          {EventId::kLimitRefused, kFailedLinesPerSecond}};
}

EventId EventOf(const RelayReport& report) {
  return report.reason.empty() ? EventId::kRequestServed
                               : EventId::kRequestFailed;
}

Event MakeReportEvent(const RelayReport& report) {
  Event event{.id = EventOf(report)};
  event.fields = {{"request", report.attempt_id},
                  {"route", report.route.value()},
                  {"account", report.account.value()},
                  {"upstream", report.upstream.value()},
                  {"attempts", absl::StrCat(report.attempts)},
                  {"status", absl::StrCat(report.status)},
                  {"reason", report.reason},
                  {"error", report.error},
                  {"unread_ms", FormatMs(report.unread)},
                  {"waited_ms", FormatMs(report.waited)},
                  {"first_ms", FormatMs(report.first)},
                  {"took_ms", FormatMs(report.took)},
                  {"events", absl::StrCat(report.events)},
                  {"parts", report.parts},
                  {"manifest", absl::StrCat(report.manifest.value())}};
  return event;
}

void AddServiceFields(const RelayReport& report,
                      const ServiceLoad& load,
                      Duration store_age,
                      Event* event) {
  event->fields.push_back({"service", report.service.value()});
  event->fields.push_back({"queued", absl::StrCat(load.queued)});
  event->fields.push_back({"upstreams", absl::StrCat(load.upstreams)});
  event->fields.push_back({"store_age_ms", FormatMs(store_age)});
}

}  // namespace papaya
