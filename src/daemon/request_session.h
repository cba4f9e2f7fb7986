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

// A request that passed all checks, with everything needed to serve it.
struct AcceptedRequest {
  RequestSpec spec;
  const RouteSettings* route = nullptr;
  // Request id returned to the caller.
  std::string name;
  // The request to the upstream, without the headers that differ between
  // attempts.
  HttpRequest forward;
  // True if the caller requested a streamed response.
  bool stream = false;
  // Only for non-idempotent routes: the input of the at-most-once decision.
  OnceRequest once;
  // The request as received from the caller, to forward to the issuer of its
  // ticket.
  HttpRequest original;
  // The span of this request in this router, and the id of its parent span.
  TraceContext trace;
  std::string parent_span;
};

// Processes one request according to charts/request.chart: waits for the
// scheduler, makes the attempts that it dispatches, and responds to the caller.
// Runs on the thread of the caller's connection.
class RequestSession {
 public:
  // `services` and `exchange` must outlive the session.
  RequestSession(TrafficServices* services,
                 HttpExchange* exchange,
                 AcceptedRequest request);
  ~RequestSession();

  // Completes when the request has ended.
  boost::asio::awaitable<void> Run();

 private:
  // Decides whether an at-most-once request may be scheduled. Returns false if
  // it has ended and was answered without running here.
  boost::asio::awaitable<bool> DecideOnce();
  boost::asio::awaitable<void> RespondDecided(const OnceDecision& decision);
  boost::asio::awaitable<void> ForwardToIssuer(const OnceDecision& decision);
  // Reports the outcome of a request that DecideOnce let proceed; does nothing
  // if it was already reported.
  void ReportOnceOutcome(Outcome outcome, const HttpResponse* response);

  // Makes one attempt; returns true if it ended the request.
  boost::asio::awaitable<bool> Attempt(const UpstreamSpec& upstream);
  boost::asio::awaitable<bool> RelayBuffered(UpstreamAttempt& attempt,
                                             HttpResponse head);
  boost::asio::awaitable<bool> RelayStream(UpstreamAttempt& attempt,
                                           HttpResponse head);
  boost::asio::awaitable<void> RespondRejected(const Rejection& rejection);
  // Cancels a stream at the engine whose caller disconnected or that was
  // preempted.
  boost::asio::awaitable<void> CancelAtEngine(const UpstreamAttempt& attempt);

  HttpRequest MakeUpstreamRequest(const TraceContext& span) const;
  void AddResponseHeaders(const UpstreamSpec& upstream, HttpHeaders* headers);
  StreamRelay::Hooks MakeRelayHooks(UpstreamAttempt& attempt);
  // Reports to the scheduler that the attempt ended without a response; the
  // scheduler decides whether to retry.
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
  // DecideOnce let the request proceed and its outcome was not reported yet.
  bool must_report_outcome_ = false;
  // An upstream may have received the request.
  bool reached_upstream_ = false;
  int64_t reported_tokens_ = 0;
};

}  // namespace papaya

#endif  // SRC_DAEMON_REQUEST_SESSION_H_
