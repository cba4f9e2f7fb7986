#include "src/daemon/request_session.h"

#include <cassert>
#include <utility>

#include "absl/cleanup/cleanup.h"
#include "absl/strings/match.h"
#include "include/base/error.h"
#include "include/wire/http_exchange.h"
#include "include/wire/prompt_blocks.h"
#include "include/wire/steady_time.h"
#include "src/daemon/once_client.h"
#include "src/daemon/request_chart.h"
#include "src/daemon/request_mailbox.h"
#include "src/daemon/router_error.h"
#include "src/daemon/scheduler_host.h"
#include "src/daemon/stream_id.h"
#include "src/daemon/traffic_services.h"

namespace papaya {

namespace {

namespace asio = boost::asio;
using SystemClock = std::chrono::system_clock;

// Maximum size of a buffered upstream response.
constexpr Bytes kMaxBufferedResponse{32 * 1024 * 1024};
constexpr std::chrono::seconds kCancelTimeout{2};
// Interval between progress reports of a stream to the scheduler, in tokens.
constexpr int64_t kTokensPerReport = 16;

bool IsEventStream(const HttpResponse& head) {
  return absl::StartsWithIgnoreCase(head.headers.Get("Content-Type"),
                                    "text/event-stream");
}

Tokens EstimateResponseTokens(const UpstreamSpec& upstream,
                              const std::string& body) {
  return upstream.kind == UpstreamKind::kModelEngine ? EstimateTokens(body)
                                                     : Tokens(0);
}

}  // namespace

RequestSession::RequestSession(TrafficServices* services,
                               HttpExchange* exchange,
                               AcceptedRequest request)
    : services_(services),
      exchange_(exchange),
      request_(std::move(request)),
      mailbox_(std::make_shared<RequestMailbox>(exchange->executor())),
      state_machine_(services->request_chart),
      telemetry_(services, &request_) {}

RequestSession::~RequestSession() = default;

asio::awaitable<void> RequestSession::Run() {
  exchange_->OnCallerGone([mailbox = mailbox_] {
    RequestCommand gone;
    gone.kind = RequestCommand::Kind::kCallerDisconnected;
    mailbox->Push(std::move(gone));
  });
  if (!request_.spec.idempotent) {
    const bool may_go_on = co_await DecideOnce();
    if (!may_go_on) {
      co_return;
    }
  }
  Fire("queue");
  services_->scheduler->Submit(request_.spec, mailbox_);
  while (true) {
    const RequestCommand command = co_await mailbox_->Next();
    if (mailbox_->caller_disconnected()) {
      services_->scheduler->Cancel(request_.spec.id);
      EndAbandoned();
      co_return;
    }
    if (command.kind == RequestCommand::Kind::kReject) {
      co_await RespondRejected(command.rejection);
      co_return;
    }
    const bool ended = co_await Attempt(command.upstream);
    if (ended) {
      co_return;
    }
  }
}

asio::awaitable<bool> RequestSession::DecideOnce() {
  const absl::StatusOr<OnceDecision> decision =
      co_await services_->once->Decide(request_.once);
  if (!decision.ok()) {
    Fire("refuse");
    const RouterError error{.status = 400,
                            .code = "bad_ticket",
                            .message = std::string(decision.status().message()),
                            .step = "once.decide"};
    (co_await exchange_->Respond(MakeErrorResponse(error))).IgnoreError();
    co_return false;
  }
  switch (decision->action) {
    case OnceAction::kProceed:
      must_report_outcome_ = true;
      co_return true;
    case OnceAction::kRespond:
      co_await RespondDecided(*decision);
      co_return false;
    case OnceAction::kForward:
      co_await ForwardToIssuer(*decision);
      co_return false;
  }
  co_return false;
}

asio::awaitable<void> RequestSession::RespondDecided(
    const OnceDecision& decision) {
  Fire(OutcomeEvent(decision.outcome));
  telemetry_.CountOutcome(decision.outcome);
  HttpResponse response;
  if (decision.answer.status != 0) {
    response.status = decision.answer.status;
    response.headers.Set("Content-Type", decision.answer.content_type);
    response.body = decision.answer.body;
    response.headers.Set(kOutcomeHeader, OutcomeName(decision.outcome));
  } else {
    response = MakeErrorResponse(ErrorOfDecision(decision));
  }
  response.headers.Set(kRequestIdHeader, request_.name);
  (co_await exchange_->Respond(std::move(response))).IgnoreError();
  telemetry_.End(OnceReasonName(decision.reason));
}

asio::awaitable<void> RequestSession::ForwardToIssuer(
    const OnceDecision& decision) {
  Fire("forward");
  const SystemClock::time_point started = SystemClock::now();
  const TraceContext span = request_.trace.NewChild();
  const TimePoint deadline =
      request_.spec.deadline + request_.route->attempt_timeout;
  ForwardRequest forward{.account = request_.spec.account,
                         .ticket = request_.once.ticket,
                         .request = std::move(request_.original),
                         .time_left = request_.spec.deadline - SteadyNow()};
  forward.request.headers.Set(kTraceparentHeader, FormatTraceparent(span));
  absl::StatusOr<HttpResponse> answer = co_await services_->once->Forward(
      decision.router, decision.incarnation, std::move(forward), deadline);
  const std::string failure(answer.status().message());
  HttpResponse response;
  if (answer.ok()) {
    Fire("complete");
    response = *std::move(answer);
  } else {
    Fire("fail_unknown");
    telemetry_.CountOutcome(Outcome::kUnknown);
    response = MakeErrorResponse({.status = 502,
                                  .code = "issuer_unreachable",
                                  .message = failure,
                                  .step = "ticket.forward",
                                  .outcome = Outcome::kUnknown});
  }
  telemetry_.WriteChildSpan(span, "forward", started, failure,
                            decision.router.value());
  (co_await exchange_->Respond(std::move(response))).IgnoreError();
  telemetry_.End("");
}

void RequestSession::ReportOnceOutcome(Outcome outcome,
                                       const HttpResponse* response) {
  if (!std::exchange(must_report_outcome_, false)) {
    return;
  }
  StoredAnswer answer;
  if (response != nullptr) {
    answer = {.status = response->status,
              .content_type = response->headers.Get("Content-Type"),
              .body = response->body};
  }
  services_->once->End(request_.spec.id, outcome, std::move(answer));
}

asio::awaitable<bool> RequestSession::Attempt(const UpstreamSpec& upstream) {
  Fire("dispatch");
  telemetry_.OnDispatch();
  const SystemClock::time_point started = SystemClock::now();
  const TraceContext span = request_.trace.NewChild();
  stream_id_ = MakeStreamId(upstream.id, request_.name, request_.spec.account,
                            services_->settings.fleet_secret);

  UpstreamAttempt::Options options;
  options.upstream = upstream;
  options.idempotent = request_.spec.idempotent;
  options.deadline = SteadyNow() + request_.route->attempt_timeout;
  UpstreamAttempt attempt(options,
                          services_->PoolOf(exchange_->executor().context()));
  // The hook refers to `attempt`, so it must be reset together with it, even if
  // this coroutine is destroyed while suspended.
  absl::Cleanup reset_cancel_hook = [this] {
    mailbox_->SetCancelHook(nullptr);
  };
  // An at-most-once request gets no cancel hook here: once it was sent, it is
  // left to complete by itself.
  if (request_.spec.idempotent) {
    mailbox_->SetCancelHook([&attempt] { attempt.Close(); });
  }
  const HttpRequest forward = MakeUpstreamRequest(span);
  AttemptHead head = co_await attempt.Begin(forward);
  bool ended = false;
  const bool is_upstream_failure = head.end == AttemptEnd::kUnknown;
  reached_upstream_ =
      reached_upstream_ || is_upstream_failure || head.end == AttemptEnd::kOk;
  if (head.end != AttemptEnd::kOk) {
    if (is_upstream_failure) {
      telemetry_.CountReply(upstream, true, Tokens(0));
    }
    ReportFailure(head.end);
  } else if (IsEventStream(head.response)) {
    ended = co_await RelayStream(attempt, std::move(head.response));
  } else {
    ended = co_await RelayBuffered(attempt, std::move(head.response));
  }
  std::move(reset_cancel_hook).Invoke();
  if (request_.stream &&
      (mailbox_->caller_disconnected() || mailbox_->preempted())) {
    co_await CancelAtEngine(attempt);
  }
  telemetry_.WriteChildSpan(span, "attempt", started,
                            std::string(head.status.message()),
                            upstream.id.value());
  co_return ended;
}

asio::awaitable<bool> RequestSession::RelayBuffered(UpstreamAttempt& attempt,
                                                    HttpResponse head) {
  while (true) {
    const absl::StatusOr<std::string> piece = co_await attempt.ReadPiece();
    const bool too_long = std::ssize(head.body) > kMaxBufferedResponse.value();
    if (!piece.ok() || too_long) {
      telemetry_.CountReply(attempt.upstream(), true, Tokens(0));
      ReportFailure(AttemptEnd::kUnknown);
      co_return false;
    }
    if (piece->empty()) {
      break;
    }
    head.body += *piece;
  }
  Fire("complete");
  const AttemptResult result{
      .end = AttemptEnd::kOk,
      .output_tokens = EstimateResponseTokens(attempt.upstream(), head.body)};
  services_->scheduler->Finish(request_.spec.id, result);
  telemetry_.CountReply(attempt.upstream(), head.status >= 500, Tokens(0));
  ReportOnceOutcome(Outcome::kRan, &head);
  AddResponseHeaders(attempt.upstream(), &head.headers);
  telemetry_.OnFirstByte();
  (co_await exchange_->Respond(std::move(head))).IgnoreError();
  telemetry_.EndCompleted();
  co_return true;
}

asio::awaitable<bool> RequestSession::RelayStream(UpstreamAttempt& attempt,
                                                  HttpResponse head) {
  AddResponseHeaders(attempt.upstream(), &head.headers);
  head.headers.Set(kStreamIdHeader, stream_id_);
  StreamRelay::Options options;
  options.stream_id = stream_id_;
  StreamRelay relay(options, MakeRelayHooks(attempt), &attempt, exchange_);
  const StreamRelay::End end = co_await relay.Run(std::move(head));
  switch (end) {
    case StreamRelay::End::kNothingSent:
      telemetry_.CountReply(attempt.upstream(), true, Tokens(0));
      ReportFailure(AttemptEnd::kUnknown);
      co_return false;
    case StreamRelay::End::kComplete: {
      Fire("complete");
      const AttemptResult result{.end = AttemptEnd::kOk,
                                 .output_tokens = Tokens(relay.tokens())};
      services_->scheduler->Finish(request_.spec.id, result);
      telemetry_.CountReply(attempt.upstream(), false, Tokens(relay.tokens()));
      ReportOnceOutcome(Outcome::kRan, nullptr);
      telemetry_.EndCompleted();
      co_return true;
    }
    case StreamRelay::End::kCallerFailed:
      services_->scheduler->Cancel(request_.spec.id);
      EndAbandoned();
      co_return true;
    case StreamRelay::End::kTruncated:
      break;
  }
  services_->scheduler->Cancel(request_.spec.id);
  if (mailbox_->caller_disconnected()) {
    EndAbandoned();
    co_return true;
  }
  telemetry_.CountReply(attempt.upstream(), true, Tokens(0));
  ReportOnceOutcome(Outcome::kUnknown, nullptr);
  Fire("fail_unknown");
  telemetry_.CountOutcome(Outcome::kUnknown);
  Event event{.id = EventId::kStreamCut};
  event.fields = {{"request", request_.name},
                  {"upstream", attempt.upstream().id.value()},
                  {"error", std::string(relay.status().message())}};
  services_->event(event);
  co_return true;
}

StreamRelay::Hooks RequestSession::MakeRelayHooks(UpstreamAttempt& attempt) {
  StreamRelay::Hooks hooks;
  hooks.resuming = [this](bool begins) {
    Fire(begins ? "resume" : "resumed");
    if (begins) {
      services_->metrics->resumed.Add();
    }
  };
  hooks.tokens = [this](int64_t tokens) {
    const RequestId id = request_.spec.id;
    if (telemetry_.OnFirstToken()) {
      Fire("first_byte");
      services_->scheduler->FirstToken(id);
    }
    if (tokens - reported_tokens_ >= kTokensPerReport) {
      reported_tokens_ = tokens;
      services_->scheduler->SetTokens(id, Tokens(tokens));
    }
  };
  hooks.before_first_event = [this, &attempt] {
    if (mailbox_->preempted() || mailbox_->caller_disconnected()) {
      return false;
    }
    // A stream is no longer preempted once its caller has received a part of
    // it.
    mailbox_->SetCancelHook([this, &attempt] {
      if (mailbox_->caller_disconnected()) {
        attempt.Close();
      }
    });
    return true;
  };
  hooks.is_cancelled = [this] { return mailbox_->caller_disconnected(); };
  return hooks;
}

void RequestSession::ReportFailure(AttemptEnd end) {
  const bool cancelled = mailbox_->preempted() && end == AttemptEnd::kUnknown;
  AttemptResult result;
  result.end = cancelled ? AttemptEnd::kPreempted : end;
  Fire("retry");
  telemetry_.OnRequeued();
  services_->scheduler->Finish(request_.spec.id, result);
}

asio::awaitable<void> RequestSession::RespondRejected(
    const Rejection& rejection) {
  ReportOnceOutcome(rejection.outcome, nullptr);
  Fire(RejectionEvent(rejection));
  HttpResponse response = MakeErrorResponse(ErrorOfRejection(rejection));
  response.headers.Set(kRequestIdHeader, request_.name);
  telemetry_.CountOutcome(rejection.outcome);
  (co_await exchange_->Respond(std::move(response))).IgnoreError();
  telemetry_.End(RejectionReasonName(rejection.reason));
}

asio::awaitable<void> RequestSession::CancelAtEngine(
    const UpstreamAttempt& attempt) {
  HttpRequest request;
  request.method = "DELETE";
  request.target = "/v1/streams/" + stream_id_;
  const TimePoint deadline = SteadyNow() + Duration(kCancelTimeout);
  (co_await FetchHttp(attempt.upstream().address, request, deadline))
      .IgnoreError();
}

HttpRequest RequestSession::MakeUpstreamRequest(
    const TraceContext& span) const {
  HttpRequest forward = request_.forward;
  forward.headers.Set(kRequestIdHeader, request_.name);
  forward.headers.Set(kTraceparentHeader, FormatTraceparent(span));
  if (request_.stream) {
    forward.headers.Set(kStreamIdHeader, stream_id_);
  }
  return forward;
}

void RequestSession::AddResponseHeaders(const UpstreamSpec& upstream,
                                        HttpHeaders* headers) {
  headers->Set(kOutcomeHeader, OutcomeName(Outcome::kRan));
  headers->Set(kRequestIdHeader, request_.name);
  headers->Set(kUpstreamHeader, upstream.id.value());
  if (headers->Find(kVersionHeader) == nullptr) {
    headers->Set(kVersionHeader, upstream.version.value());
  }
}

void RequestSession::EndAbandoned() {
  ReportOnceOutcome(reached_upstream_ ? Outcome::kUnknown : Outcome::kNotRun,
                    nullptr);
  Fire("caller_gone");
  telemetry_.EndAbandoned();
}

void RequestSession::Fire(const char* event) {
  [[maybe_unused]] const bool accepted = state_machine_.Fire(event);
  assert(accepted);
}

}  // namespace papaya
