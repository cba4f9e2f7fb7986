#ifndef SRC_DAEMON_REQUEST_TELEMETRY_H_
#define SRC_DAEMON_REQUEST_TELEMETRY_H_

#include <chrono>
#include <string>

#include "include/base/outcome.h"
#include "include/base/units.h"
#include "include/config/fleet_config.h"
#include "include/telemetry/trace_context.h"

namespace papaya {

struct AcceptedRequest;
struct TrafficServices;

// What one request leaves in metrics, spans and the comparison of versions.
class RequestTelemetry {
 public:
  // Both must outlive this; what it tells of `request` must not change.
  RequestTelemetry(TrafficServices* services, const AcceptedRequest* request);

  // Its wait is over and an attempt begins.
  void OnDispatch();
  // It waits again.
  void OnRequeued() { queued_wall_ = std::chrono::system_clock::now(); }
  // The caller gets the first part of its answer.
  void OnFirstByte();
  // The same of a stream; true the first time.
  bool OnFirstToken();

  // Counts the end of an attempt for the comparison of versions.
  void CountReply(const UpstreamSpec& upstream, bool failed, Tokens tokens);
  void CountOutcome(Outcome outcome);

  // The caller has its whole answer.
  void EndCompleted();
  // The caller went away.
  void EndAbandoned();
  // Writes the span of the whole request.
  void End(const std::string& error);

  // Writes the span of one hop, from `start` to now.
  void WriteChildSpan(const TraceContext& context,
                      const char* name,
                      std::chrono::system_clock::time_point start,
                      const std::string& error,
                      const std::string& upstream);

 private:
  void WriteSpan(const TraceContext& context,
                 const std::string& parent,
                 const char* name,
                 std::chrono::system_clock::time_point start,
                 const std::string& error,
                 const std::string& upstream);

  TrafficServices* services_;
  const AcceptedRequest* request_;
  const std::chrono::system_clock::time_point arrived_wall_;
  std::chrono::system_clock::time_point queued_wall_;
  TimePoint attempt_started_;
  TimePoint first_token_at_;
  bool first_token_seen_ = false;
};

}  // namespace papaya

#endif  // SRC_DAEMON_REQUEST_TELEMETRY_H_
