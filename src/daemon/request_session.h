#ifndef SRC_DAEMON_REQUEST_SESSION_H_
#define SRC_DAEMON_REQUEST_SESSION_H_

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>

#include "include/base/request_spec.h"
#include "include/chart/chart_machine.h"
#include "include/settings/router_settings.h"
#include "include/telemetry/trace_context.h"
#include "include/wire/http_message.h"
#include "src/daemon/once_controller.h"
#include "src/daemon/request_telemetry.h"
#include "src/daemon/stream_relay.h"
#include "src/daemon/upstream_attempt.h"

namespace papaya {

class HttpExchange;
class RequestMailbox;
struct RequestCommand;
struct TrafficServices;

// A request that was found good, with all that serving it needs.
struct AcceptedRequest {
  RequestSpec spec;
  const RouteSettings* route = nullptr;
  // As the caller may quote it.
  std::string name;
  // What goes to the upstream, but for headers of the attempt.
  HttpRequest forward;
  // The caller wants the answer as a stream.
  bool stream = false;
  // With a route that is not idempotent: what it is decided by.
  OnceRequest once;
  // The request as the caller sent it, for the issuer of its ticket.
  HttpRequest original;
  // The span from the caller to this router, and its parent.
  TraceContext trace;
  std::string parent_span;
};

// The life of one request in this router, by charts/request.chart: waits for
// the scheduler's word, makes the attempts that it asks for, and answers the
// caller. Lives on the thread of the caller's connection.
class RequestSession {
 public:
  // `services` and `exchange` must outlive the session.
  RequestSession(TrafficServices* services,
                 HttpExchange* exchange,
                 AcceptedRequest request);
  ~RequestSession();

  // Runs the request to its end.
  boost::asio::awaitable<void> Run();

 private:
  // Asks whether a request that must not run twice may be scheduled; false if
  // it has ended, answered without.
  boost::asio::awaitable<bool> DecideOnce();
  boost::asio::awaitable<void> RespondDecided(const OnceVerdict& verdict);
  boost::asio::awaitable<void> ForwardToIssuer(const OnceVerdict& verdict);
  // Notes the outcome of a request that DecideOnce let through.
  void ReportOnceOutcome(Outcome outcome, const HttpResponse* response);

  // Makes one attempt; true if the request has ended by it.
  boost::asio::awaitable<bool> Attempt(const UpstreamSpec& upstream);
  boost::asio::awaitable<bool> RelayBuffered(UpstreamAttempt& attempt,
                                             HttpResponse head);
  boost::asio::awaitable<bool> RelayStream(UpstreamAttempt& attempt,
                                           HttpResponse head);
  boost::asio::awaitable<void> RespondRejected(const Rejection& rejection);
  // Tells the engine to drop a stream that nobody wants any more.
  boost::asio::awaitable<void> CancelAtEngine(const UpstreamAttempt& attempt);

  HttpRequest MakeUpstreamRequest(const TraceContext& span) const;
  void AddResponseHeaders(const UpstreamSpec& upstream, HttpHeaders* headers);
  StreamRelay::Hooks MakeRelayHooks(UpstreamAttempt& attempt);
  // The attempt ended without an answer; the scheduler decides what follows.
  void ReportFailure(AttemptEnd end);
  void EndAbandoned();
  void Fire(const char* event);

  TrafficServices* services_;
  HttpExchange* exchange_;
  AcceptedRequest request_;
  std::shared_ptr<RequestMailbox> mailbox_;
  ChartMachine state_machine_;
  RequestTelemetry telemetry_;
  std::string stream_id_;
  // DecideOnce let it through, and its outcome is not noted yet.
  bool must_report_outcome_ = false;
  // An upstream may have it.
  bool reached_upstream_ = false;
  int64_t reported_tokens_ = 0;
};

}  // namespace papaya

#endif  // SRC_DAEMON_REQUEST_SESSION_H_
