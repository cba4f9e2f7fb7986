#include "src/daemon/request_session.h"

#include <cassert>
#include <utility>

#include "absl/cleanup/cleanup.h"
#include "absl/strings/match.h"
#include "include/base/error.h"
#include "include/wire/http_exchange.h"
#include "include/wire/prompt_blocks.h"
#include "include/wire/steady_time.h"
#include "src/daemon/error_answer.h"
#include "src/daemon/once_gate.h"
#include "src/daemon/request_chart.h"
#include "src/daemon/request_mailbox.h"
#include "src/daemon/scheduler_host.h"
#include "src/daemon/stream_id.h"
#include "src/daemon/traffic_services.h"

namespace papaya {

namespace {

namespace asio = boost::asio;
using SystemClock = std::chrono::system_clock;

// The longest whole answer of an upstream that is passed on.
constexpr Bytes kMaxAnswer{32 * 1024 * 1024};
constexpr std::chrono::seconds kCancelTimeout{2};
// Tokens between two reports of a stream's progress to the scheduler.
constexpr int64_t kTokensPerReport = 16;

bool IsEventStream(const HttpResponse& head) {
  return absl::StartsWithIgnoreCase(head.headers.Get("Content-Type"),
                                    "text/event-stream");
}

Tokens TokensOfAnswer(const UpstreamSpec& upstream, const std::string& body) {
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
      life_(services->request_chart),
      report_(services, &request_) {}

RequestSession::~RequestSession() = default;

asio::awaitable<void> RequestSession::Run() {
  exchange_->OnCallerGone([mailbox = mailbox_] {
    RequestCommand gone;
    gone.kind = RequestCommand::Kind::kCallerGone;
    mailbox->Push(std::move(gone));
  });
  if (!request_.spec.idempotent) {
    const bool may_go_on = co_await PassOnce();
    if (!may_go_on) {
      co_return;
    }
  }
  Fire("queue");
  services_->scheduler->Submit(request_.spec, mailbox_);
  while (true) {
    const RequestCommand command = co_await mailbox_->Next();
    if (mailbox_->caller_gone()) {
      services_->scheduler->Cancel(request_.spec.id);
      EndAbandoned();
      co_return;
    }
    if (command.kind == RequestCommand::Kind::kRefuse) {
      co_await AnswerRefusal(command.refusal);
      co_return;
    }
    const bool ended = co_await Attempt(command.upstream);
    if (ended) {
      co_return;
    }
  }
}

asio::awaitable<bool> RequestSession::PassOnce() {
  const absl::StatusOr<OnceDecision> verdict =
      co_await services_->once->Decide(request_.once);
  if (!verdict.ok()) {
    Fire("refuse");
    const ErrorAnswer error{.status = 400,
                            .code = "bad_ticket",
                            .message = std::string(verdict.status().message()),
                            .step = "once.decide"};
    (co_await exchange_->Respond(MakeErrorResponse(error))).IgnoreError();
    co_return false;
  }
  switch (verdict->action) {
    case OnceAction::kProceed:
      owes_outcome_ = true;
      co_return true;
    case OnceAction::kRespond:
      co_await AnswerVerdict(*verdict);
      co_return false;
    case OnceAction::kForward:
      co_await ForwardToIssuer(*verdict);
      co_return false;
  }
  co_return false;
}

asio::awaitable<void> RequestSession::AnswerVerdict(
    const OnceDecision& verdict) {
  Fire(EventOfOutcome(verdict.outcome));
  report_.CountOutcome(verdict.outcome);
  HttpResponse response;
  if (verdict.answer.status != 0) {
    response.status = verdict.answer.status;
    response.headers.Set("Content-Type", verdict.answer.content_type);
    response.body = verdict.answer.body;
    response.headers.Set(kOutcomeHeader, OutcomeName(verdict.outcome));
  } else {
    response = MakeErrorResponse(AnswerToVerdict(verdict));
  }
  response.headers.Set(kRequestIdHeader, request_.name);
  (co_await exchange_->Respond(std::move(response))).IgnoreError();
  report_.End(OnceReasonName(verdict.reason));
}

asio::awaitable<void> RequestSession::ForwardToIssuer(
    const OnceDecision& verdict) {
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
      verdict.router, verdict.incarnation, std::move(forward), deadline);
  const std::string failure(answer.status().message());
  HttpResponse response;
  if (answer.ok()) {
    Fire("complete");
    response = *std::move(answer);
  } else {
    Fire("fail_unknown");
    report_.CountOutcome(Outcome::kUnknown);
    response = MakeErrorResponse({.status = 502,
                                  .code = "issuer_unreachable",
                                  .message = failure,
                                  .step = "ticket.forward",
                                  .outcome = Outcome::kUnknown});
  }
  report_.WriteHop(span, "forward", started, failure, verdict.router.value());
  (co_await exchange_->Respond(std::move(response))).IgnoreError();
  report_.End("");
}

void RequestSession::EndOnce(Outcome outcome, const HttpResponse* response) {
  if (!std::exchange(owes_outcome_, false)) {
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
  report_.OnDispatch();
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
  // The hook refers to `attempt` and must go with it, also when this coroutine
  // is destroyed half-way.
  absl::Cleanup drop_interrupt = [this] { mailbox_->SetInterrupt(nullptr); };
  // What must not run twice is left to end by itself once it was handed over.
  if (request_.spec.idempotent) {
    mailbox_->SetInterrupt([&attempt] { attempt.Close(); });
  }
  const HttpRequest forward = MakeForward(span);
  AttemptHead head = co_await attempt.Begin(forward);
  bool ended = false;
  const bool is_fault = head.end == AttemptEnd::kUnknown;
  handed_over_ = handed_over_ || is_fault || head.end == AttemptEnd::kOk;
  if (head.end != AttemptEnd::kOk) {
    if (is_fault) {
      report_.CountReply(upstream, true, Tokens(0));
    }
    ReportFailure(head.end);
  } else if (IsEventStream(head.response)) {
    ended = co_await RelayStream(attempt, std::move(head.response));
  } else {
    ended = co_await RelayWhole(attempt, std::move(head.response));
  }
  std::move(drop_interrupt).Invoke();
  if (request_.stream && (mailbox_->caller_gone() || mailbox_->preempted())) {
    co_await CancelAtEngine(attempt);
  }
  report_.WriteHop(span, "attempt", started, std::string(head.status.message()),
                   upstream.id.value());
  co_return ended;
}

asio::awaitable<bool> RequestSession::RelayWhole(UpstreamAttempt& attempt,
                                                 HttpResponse head) {
  while (true) {
    const absl::StatusOr<std::string> piece = co_await attempt.ReadPiece();
    const bool too_long = std::ssize(head.body) > kMaxAnswer.value();
    if (!piece.ok() || too_long) {
      report_.CountReply(attempt.upstream(), true, Tokens(0));
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
      .output_tokens = TokensOfAnswer(attempt.upstream(), head.body)};
  services_->scheduler->Finish(request_.spec.id, result);
  report_.CountReply(attempt.upstream(), head.status >= 500, Tokens(0));
  EndOnce(Outcome::kRan, &head);
  AddAnswerHeaders(attempt.upstream(), &head.headers);
  report_.OnFirstByte();
  (co_await exchange_->Respond(std::move(head))).IgnoreError();
  report_.EndAnswered();
  co_return true;
}

asio::awaitable<bool> RequestSession::RelayStream(UpstreamAttempt& attempt,
                                                  HttpResponse head) {
  AddAnswerHeaders(attempt.upstream(), &head.headers);
  head.headers.Set(kStreamIdHeader, stream_id_);
  StreamRelay::Options options;
  options.stream_id = stream_id_;
  StreamRelay relay(options, MakeRelayHooks(attempt), &attempt, exchange_);
  const StreamRelay::End end = co_await relay.Run(std::move(head));
  switch (end) {
    case StreamRelay::End::kNothingSent:
      report_.CountReply(attempt.upstream(), true, Tokens(0));
      ReportFailure(AttemptEnd::kUnknown);
      co_return false;
    case StreamRelay::End::kWhole: {
      Fire("complete");
      const AttemptResult result{.end = AttemptEnd::kOk,
                                 .output_tokens = Tokens(relay.tokens())};
      services_->scheduler->Finish(request_.spec.id, result);
      report_.CountReply(attempt.upstream(), false, Tokens(relay.tokens()));
      EndOnce(Outcome::kRan, nullptr);
      report_.EndAnswered();
      co_return true;
    }
    case StreamRelay::End::kCallerFailed:
      services_->scheduler->Cancel(request_.spec.id);
      EndAbandoned();
      co_return true;
    case StreamRelay::End::kCut:
      break;
  }
  services_->scheduler->Cancel(request_.spec.id);
  if (mailbox_->caller_gone()) {
    EndAbandoned();
    co_return true;
  }
  report_.CountReply(attempt.upstream(), true, Tokens(0));
  EndOnce(Outcome::kUnknown, nullptr);
  Fire("fail_unknown");
  report_.CountOutcome(Outcome::kUnknown);
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
    if (report_.OnFirstToken()) {
      Fire("first_byte");
      services_->scheduler->FirstToken(id);
    }
    if (tokens - reported_tokens_ >= kTokensPerReport) {
      reported_tokens_ = tokens;
      services_->scheduler->SetTokens(id, Tokens(tokens));
    }
  };
  hooks.starting = [this, &attempt] {
    if (mailbox_->preempted() || mailbox_->caller_gone()) {
      return false;
    }
    // A stream that the caller has begun to read isn't preempted any more.
    mailbox_->SetInterrupt([this, &attempt] {
      if (mailbox_->caller_gone()) {
        attempt.Close();
      }
    });
    return true;
  };
  hooks.interrupted = [this] { return mailbox_->caller_gone(); };
  return hooks;
}

void RequestSession::ReportFailure(AttemptEnd end) {
  const bool cancelled = mailbox_->preempted() && end == AttemptEnd::kUnknown;
  AttemptResult result;
  result.end = cancelled ? AttemptEnd::kPreempted : end;
  Fire("retry");
  report_.OnRequeued();
  services_->scheduler->Finish(request_.spec.id, result);
}

asio::awaitable<void> RequestSession::AnswerRefusal(const Rejection& refusal) {
  EndOnce(refusal.outcome, nullptr);
  Fire(EventOfRefusal(refusal));
  HttpResponse response = MakeErrorResponse(AnswerToRefusal(refusal));
  response.headers.Set(kRequestIdHeader, request_.name);
  report_.CountOutcome(refusal.outcome);
  (co_await exchange_->Respond(std::move(response))).IgnoreError();
  report_.End(RejectionReasonName(refusal.reason));
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

HttpRequest RequestSession::MakeForward(const TraceContext& span) const {
  HttpRequest forward = request_.forward;
  forward.headers.Set(kRequestIdHeader, request_.name);
  forward.headers.Set(kTraceparentHeader, FormatTraceparent(span));
  if (request_.stream) {
    forward.headers.Set(kStreamIdHeader, stream_id_);
  }
  return forward;
}

void RequestSession::AddAnswerHeaders(const UpstreamSpec& upstream,
                                      HttpHeaders* headers) {
  headers->Set(kOutcomeHeader, OutcomeName(Outcome::kRan));
  headers->Set(kRequestIdHeader, request_.name);
  headers->Set(kUpstreamHeader, upstream.id.value());
  if (headers->Find(kVersionHeader) == nullptr) {
    headers->Set(kVersionHeader, upstream.version.value());
  }
}

void RequestSession::EndAbandoned() {
  EndOnce(handed_over_ ? Outcome::kUnknown : Outcome::kNotRun, nullptr);
  Fire("caller_gone");
  report_.EndAbandoned();
}

void RequestSession::Fire(const char* event) {
  [[maybe_unused]] const bool accepted = life_.Fire(event);
  assert(accepted);
}

}  // namespace papaya
