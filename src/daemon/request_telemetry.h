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

// Records the metrics, trace spans and version samples of one request.
class RequestTelemetry {
 public:
  // Both must outlive this object; the fields of `request` that are recorded
  // must not change.
  RequestTelemetry(TrafficServices* services, const AcceptedRequest* request);

  // Call when the request leaves the queue and an attempt begins.
  void OnDispatch();
  // Call when the request returns to the queue.
  void OnRequeued() { queued_wall_ = std::chrono::system_clock::now(); }
  // Call when the first byte of a buffered response is sent to the caller.
  void OnFirstByte();
  // Call for each token of a stream; records the first byte of the request only
  // once. Returns true the first time.
  bool OnFirstToken();

  // Records the result of an attempt for the comparison of versions.
  void CountReply(const UpstreamSpec& upstream, bool failed, Tokens tokens);
  void CountOutcome(Outcome outcome);

  // Call when the complete response was sent.
  void EndCompleted();
  // Call when the caller disconnected.
  void EndAbandoned();
  // Writes the span of the request.
  void End(const std::string& error);

  // Writes the span of one step of the request, from `start` to now.
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
