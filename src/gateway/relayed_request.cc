#include "src/gateway/relayed_request.h"

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "include/rollout/version_stats.h"
#include "src/gateway/caller_connection.h"
#include "src/gateway/request_format.h"
#include "src/gateway/upstream_pool.h"

namespace papaya {

namespace {

// Short because nothing is sent before the connection is established, so that
// another upstream can be tried without risk.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
// The timeout of an attempt that may be repeated elsewhere, as a multiple of
// the latency objective.
constexpr int kIdempotentTimeoutFactor = 4;
constexpr int kStreamTimeoutFactor = 5;
// Responses up to this size are buffered completely, so that the request can be
// repeated if the response breaks off.
constexpr size_t kMaxBufferedBytes = size_t{64} * 1024;
// An event of a stream that is longer than this is taken for one without end.
constexpr size_t kMaxEventBytes = size_t{256} * 1024;
// Reading from the upstream pauses while more than this is queued for the
// caller.
constexpr size_t kMaxPendingBytes = size_t{256} * 1024;
// The same, and the limit for buffered responses, while memory is short.
constexpr size_t kShortPendingBytes = size_t{64} * 1024;
constexpr size_t kShortBufferedBytes = size_t{16} * 1024;
// An engine that has sent so many events of a response has survived its prompt.
// The first event alone may be sent just before a crash.
constexpr int64_t kSurvivedEvents = 2;
constexpr char kCallerGoneReason[] = "caller_gone";
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr int kFirstServerErrorStatus = 500;
constexpr int kFirstErrorStatus = 400;

}  // namespace

std::string FormatSeconds(Duration duration) {
  return absl::StrFormat("%.2f", ToSeconds(duration));
}

RelayedRequest::RelayedRequest(const Context* context, Input input)
    : context_(context), input_(std::move(input)) {}

RelayedRequest::~RelayedRequest() = default;

void RelayedRequest::Start() {
  std::weak_ptr<RelayedRequest> weak = weak_from_this();
  input_.caller->SetDisconnectHook([weak] {
    if (const auto self = weak.lock()) {
      self->OnCallerDisconnected();
    }
  });
  input_.caller->SetDrainedHook([weak] {
    if (const auto self = weak.lock()) {
      self->ApplyBackpressure();
    }
  });
}

UpstreamConnection::RequestBytes RelayedRequest::FormatRequest(
    const UpstreamRecord& upstream) const {
  ForwardMetadata metadata;
  metadata.instance = upstream.instance;
  metadata.account = input_.account.value();
  metadata.time_left = input_.response_deadline - context_->now();
  metadata.last_event_id = events_.last_id().empty()
                               ? input_.metadata.last_event_id
                               : events_.last_id();
  return {.head = FormatRequestHead(input_.request, input_.body->size(),
                                    metadata, *context_->header_codec),
          .body = input_.body};
}

bool RelayedRequest::EndIfUnwanted() {
  if (!has_ended_ && context_->now() >= input_.response_deadline) {
    TimeOut();
  }
  if (!has_ended_) {
    // Calls OnCallerDisconnected if the caller has left.
    input_.caller->CloseIfCallerLeft();
  }
  return has_ended_;
}

std::optional<UpstreamConnection::RequestBytes>
RelayedRequest::TakeRequestBytes(const UpstreamRecord& upstream) {
  // Dispatch has just checked.
  if (!is_dispatching_ && EndIfUnwanted()) {
    return std::nullopt;
  }
  return FormatRequest(upstream);
}

void RelayedRequest::Dispatch(const UpstreamRecord* upstream) {
  const std::shared_ptr<RelayedRequest> self = shared_from_this();
  if (EndIfUnwanted()) {
    return;
  }
  if (upstream == nullptr) {
    FinishAttempt(AttemptEnd::kUnreachable);
    return;
  }
  if (attempts_ == 0 && !ReserveResponse()) {
    return;
  }
  dispatched_ = context_->now();
  if (attempts_ == 0) {
    first_dispatched_ = dispatched_;
  }
  ++attempts_;
  upstream_ = upstream->id;
  upstream_zone_ = upstream->zone;
  response_kind_ = ResponseKind::kNone;
  first_event_ = TimePoint();
  last_event_ = dispatched_;
  is_reading_ = true;
  has_measurement_ = false;
  has_survived_ = false;
  events_.Restart();
  earlier_events_ = events_.events();
  UpstreamConnection::Call call;
  call.make_bytes = [weak = weak_from_this(), upstream = *upstream]()
      -> std::optional<UpstreamConnection::RequestBytes> {
    const auto self = weak.lock();
    return self == nullptr ? std::nullopt : self->TakeRequestBytes(upstream);
  };
  call.attempt_id = input_.metadata.attempt_id;
  call.is_head_request = input_.request.method == "HEAD";
  std::weak_ptr<RelayedRequest> weak = weak_from_this();
  call.observed = [context = context_,
                   id = upstream_](const ResponseMetadata& metadata) {
    context->observed(id, metadata);
  };
  call.head = [weak](const ResponseReader& reader,
                     const ResponseMetadata& metadata) {
    if (const auto self = weak.lock()) {
      self->OnHead(reader, metadata);
    }
  };
  call.body = [weak](const std::string& bytes) {
    if (const auto self = weak.lock()) {
      self->OnBody(bytes);
    }
  };
  call.ended = [weak] {
    if (const auto self = weak.lock()) {
      self->OnResponseEnd();
    }
  };
  call.failed = [weak](CallFailure failure, const std::string& error) {
    if (const auto self = weak.lock()) {
      self->OnFailed(failure, error);
    }
  };
  connection_ =
      context_->pool->Acquire(upstream_, call.attempt_id, dispatched_);
  const std::shared_ptr<UpstreamConnection> connection = connection_;
  is_dispatching_ = true;
  connection->Send(upstream->address, std::move(call));
  is_dispatching_ = false;
}

bool RelayedRequest::ResumesResponse(const ResponseReader& reader) const {
  constexpr char kContentType[] = "Content-Type";
  return reader.status() == response_.status &&
         absl::EqualsIgnoreCase(reader.headers().Get(kContentType),
                                response_.headers.Get(kContentType));
}

RelayedRequest::ResponseKind RelayedRequest::Classify(
    const ResponseReader& reader,
    const ResponseMetadata& metadata) const {
  const int status = reader.status();
  if (metadata.is_not_run || metadata.is_other_instance) {
    return ResponseKind::kNotRun;
  }
  if (status >= kFirstServerErrorStatus || !MayForwardStatus(status) ||
      (has_started_ && !ResumesResponse(reader))) {
    return ResponseKind::kFailure;
  }
  const bool is_stream = input_.route->kind == RequestKind::kStream;
  return is_stream && status < kFirstErrorStatus ? ResponseKind::kStream
                                                 : ResponseKind::kBuffered;
}

// These statuses promise the caller that its request did not run. That is known
// only if the upstream states it with its own header, or if nothing was sent.
bool RelayedRequest::MayForwardStatus(int status) {
  constexpr std::array<int, 4> kPromises = {408, 421, 429, 503};
  return std::find(kPromises.begin(), kPromises.end(), status) ==
         kPromises.end();
}

void RelayedRequest::OnHead(const ResponseReader& reader,
                            const ResponseMetadata& metadata) {
  context_->alive(upstream_);
  response_kind_ = Classify(reader, metadata);
  if (has_started_) {
    // The caller already has the header of the first response.
    return;
  }
  response_.status = reader.status();
  response_.headers = EndToEndHeaders(reader.headers());
  response_.body.clear();
  response_length_ = reader.length();
  head_bytes_ = HeadMemory(reader.headers());
}

void RelayedRequest::OnBody(const std::string& bytes) {
  switch (response_kind_) {
    case ResponseKind::kNone:
      return;
    case ResponseKind::kNotRun:
    case ResponseKind::kFailure:
      response_.body += bytes;
      ChargeResponse();
      if (response_.body.size() > kMaxBufferedBytes) {
        CutResponse("an error response is too long");
      }
      return;
    case ResponseKind::kBuffered:
      if (has_started_) {
        input_.caller->WriteBody(bytes);
        ApplyBackpressure();
        return;
      }
      response_.body += bytes;
      if (response_.body.size() > MaxBufferedBytes()) {
        StartResponse();
        input_.caller->WriteBody(std::exchange(response_.body, std::string()));
        ApplyBackpressure();
      }
      ChargeResponse();
      return;
    case ResponseKind::kStream:
      ForwardEvents(events_.Feed(bytes));
      ChargeResponse();
      if (events_.partial_size() > kMaxEventBytes) {
        CutResponse("an event is too long");
      }
      return;
  }
}

void RelayedRequest::CutResponse(const std::string& error) {
  if (has_ended_ || connection_ == nullptr) {
    return;
  }
  context_->cut(*this, error);
  const bool is_not_run = response_kind_ == ResponseKind::kNotRun;
  std::exchange(connection_, nullptr)->Close();
  error_ = absl::StrCat("answer: ", error);
  if (is_not_run) {
    // The header has stated it, so the rest of the response does not matter.
    FinishAttempt(AttemptEnd::kNotRun);
    return;
  }
  may_have_run_ = true;
  FinishAttempt(AttemptEnd::kUnknown);
}

void RelayedRequest::StartResponse() {
  has_started_ = true;
  HttpResponse head;
  head.status = response_.status;
  head.headers = response_.headers;
  input_.caller->StartResponse(head, response_length_);
}

void RelayedRequest::ForwardEvents(const std::string& events) {
  if (events.empty()) {
    return;
  }
  context_->alive(upstream_);
  if (attempt_events() >= kSurvivedEvents) {
    ReportSurvival();
  }
  last_event_ = context_->now();
  if (first_event_ == TimePoint()) {
    first_event_ = last_event_;
  }
  if (!has_started_) {
    context_->first_token(input_.id);
    StartResponse();
  }
  input_.caller->WriteBody(events);
  context_->tokens(input_.id, OutputTokens());
  // Long streams are reported before they end.
  if (OutputTokens() >= kComparedTokens) {
    ReportMeasurement();
  }
  ApplyBackpressure();
}

void RelayedRequest::ApplyBackpressure() {
  const size_t pending = input_.caller->pending_bytes();
  const bool may_read = pending <= MaxPendingBytes();
  if (!may_read && is_reading_ && pending <= kMaxPendingBytes) {
    context_->memory->CountPaused(input_.tier);
  }
  if (may_read != is_reading_ && connection_ != nullptr) {
    is_reading_ = may_read;
    // The upstream could send no event while reading was paused.
    last_event_ = context_->now();
    connection_->SetReading(may_read);
  }
}

bool RelayedRequest::ReserveResponse() {
  if (context_->memory->AdmitsHeads()) {
    ChargeResponse();
    return true;
  }
  context_->memory->CountRejected(input_.tier);
  context_->cancel(input_.id);
  Fail(kUnavailable, kMemoryReason, kMemoryRetryAfter);
  return false;
}

size_t RelayedRequest::MaxPendingBytes() const {
  switch (context_->memory->level()) {
    case MemoryBudget::Level::kNormal:
      return kMaxPendingBytes;
    case MemoryBudget::Level::kShort:
      return kShortPendingBytes;
    case MemoryBudget::Level::kTight:
      // One read at a time, so that every response can still be delivered.
      return 0;
  }
  return 0;
}

size_t RelayedRequest::MaxBufferedBytes() const {
  return context_->memory->level() == MemoryBudget::Level::kNormal
             ? kMaxBufferedBytes
             : kShortBufferedBytes;
}

void RelayedRequest::ChargeResponse() {
  const size_t fallback =
      fallback_response_.has_value() ? fallback_response_->body.capacity() : 0;
  input_.response_charge.Set(kResponseReserve +
                             static_cast<int64_t>(head_bytes_ + fallback +
                                                  response_.body.capacity() +
                                                  events_.partial_size()));
}

void RelayedRequest::OnResponseEnd() {
  const std::shared_ptr<UpstreamConnection> connection =
      std::exchange(connection_, nullptr);
  context_->pool->Release(upstream_, connection, context_->now());
  switch (response_kind_) {
    case ResponseKind::kNone:
    case ResponseKind::kNotRun:
      error_ = absl::StrCat("status: ", response_.status, ", request not run");
      FinishAttempt(AttemptEnd::kNotRun);
      return;
    case ResponseKind::kFailure:
      may_have_run_ = true;
      error_ = absl::StrCat("status: ", response_.status);
      if (!has_started_ && MayForwardStatus(response_.status)) {
        fallback_response_ = response_;
        ChargeResponse();
      }
      FinishAttempt(AttemptEnd::kUnknown);
      return;
    case ResponseKind::kBuffered:
      if (has_started_) {
        input_.caller->EndResponse();
      } else {
        input_.caller->Respond(response_);
      }
      break;
    case ResponseKind::kStream:
      if (!events_.TakePartialEvent().empty()) {
        OnFailed(CallFailure::kClosed, "the stream ended within an event");
        return;
      }
      if (!has_started_) {
        StartResponse();
      }
      input_.caller->EndResponse();
      break;
  }
  has_ended_ = true;
  if (response_.status < kFirstErrorStatus) {
    ReportSurvival();
  }
  ReportMeasurement();
  const std::shared_ptr<RelayedRequest> self = shared_from_this();
  context_->finish_attempt(
      input_.id, {.end = AttemptEnd::kOk, .output_tokens = OutputTokens()});
  Report(response_.status, "");
}

void RelayedRequest::OnFailed(CallFailure failure, const std::string& error) {
  connection_ = nullptr;
  const bool was_sent = failure != CallFailure::kNotSent;
  error_ = absl::StrCat(was_sent ? "answer: " : "connect: ", error);
  if (!was_sent) {
    FinishAttempt(AttemptEnd::kUnreachable);
    return;
  }
  may_have_run_ = true;
  if (failure == CallFailure::kClosed) {
    context_->broken(*this, error);
  }
  FinishAttempt(AttemptEnd::kUnknown);
}

Tokens RelayedRequest::OutputTokens() const {
  return Tokens(events_.events() * input_.tokens_per_event.value());
}

void RelayedRequest::ReportSurvival() {
  if (!has_survived_) {
    has_survived_ = true;
    context_->survived(*this);
  }
}

void RelayedRequest::ReportMeasurement() {
  if (!has_measurement_) {
    has_measurement_ = true;
    context_->measured(*this, /*failed=*/false, Latency());
  }
}

void RelayedRequest::MeasureAbandoned() {
  const bool is_at_upstream = connection_ != nullptr && connection_->was_sent();
  if (is_at_upstream &&
      context_->now() - dispatched_ > input_.route->latency_objective) {
    ReportMeasurement();
  }
}

void RelayedRequest::FinishAttempt(AttemptEnd end) {
  if (end == AttemptEnd::kUnknown) {
    context_->measured(*this, /*failed=*/true, Latency());
  }
  const bool can_go_on = !has_started_ ||
                         response_kind_ == ResponseKind::kStream ||
                         input_.route->kind == RequestKind::kStream;
  if (!can_go_on) {
    // Part of a response that can't be resumed was sent to the caller.
    const std::shared_ptr<RelayedRequest> self = shared_from_this();
    has_ended_ = true;
    context_->cancel(input_.id);
    input_.caller->Abort();
    Report(0, "answer_cut");
    return;
  }
  context_->finish_attempt(
      input_.id,
      {.end = end,
       .output_tokens = {},
       .may_repeat = end != AttemptEnd::kUnknown || context_->may_repeat(*this),
       .has_answered = response_kind_ == ResponseKind::kFailure});
}

void RelayedRequest::OnQuarantined(Duration time_left) {
  if (has_ended_) {
    return;
  }
  context_->cancel(input_.id);
  Fail(may_have_run_ ? kBadGateway : kUnavailable, kQuarantinedReason,
       may_have_run_ ? std::nullopt : std::optional<Duration>(time_left));
}

void RelayedRequest::OnShutdown(Duration retry_after) {
  if (has_ended_) {
    return;
  }
  const std::shared_ptr<RelayedRequest> self = shared_from_this();
  DropConnection();
  context_->cancel(input_.id);
  Fail(may_have_run_ ? kBadGateway : kUnavailable, kShutdownReason,
       may_have_run_ ? std::nullopt : std::optional<Duration>(retry_after));
}

void RelayedRequest::OnRejected(const Rejection& rejection) {
  if (has_ended_) {
    return;
  }
  const std::string reason = RejectionReasonName(rejection.reason);
  if (!may_have_run_ && rejection.outcome == Outcome::kNotRun) {
    Fail(kUnavailable, reason, rejection.retry_after);
    return;
  }
  Fail(kBadGateway, reason, std::nullopt);
}

void RelayedRequest::Fail(int status,
                          const std::string& reason,
                          std::optional<Duration> retry_after) {
  const std::shared_ptr<RelayedRequest> self = shared_from_this();
  has_ended_ = true;
  if (has_started_) {
    input_.caller->Abort();
    Report(0, reason);
    return;
  }
  if (fallback_response_.has_value()) {
    input_.caller->Respond(*fallback_response_);
    Report(fallback_response_->status, reason);
    return;
  }
  HttpResponse response =
      MakeJsonResponse(status, absl::StrCat("{\"error\":\"", reason, "\"}"));
  if (retry_after.has_value()) {
    response.headers.Set("Retry-After", FormatSeconds(*retry_after));
  }
  input_.caller->Respond(response);
  Report(status, reason);
}

void RelayedRequest::DropConnection() {
  if (connection_ != nullptr) {
    may_have_run_ = may_have_run_ || connection_->was_sent();
    std::exchange(connection_, nullptr)->Close();
  }
}

std::optional<Duration> RelayedRequest::AttemptTimeout() const {
  if (!input_.route->MayRepeat() || attempts_ >= input_.route->max_attempts) {
    return std::nullopt;
  }
  const int factor = input_.route->kind == RequestKind::kStream
                         ? kStreamTimeoutFactor
                         : kIdempotentTimeoutFactor;
  return input_.route->latency_objective * factor;
}

void RelayedRequest::OnTick(TimePoint now) {
  if (has_ended_) {
    return;
  }
  if (now >= input_.response_deadline) {
    TimeOut();
    return;
  }
  if (connection_ == nullptr) {
    return;
  }
  // What the upstream sent since then may still be unread, so its silence
  // counts only up to here.
  const TimePoint read_until = now - context_->read_delay();
  const Duration age = read_until - dispatched_;
  if (!connection_->was_sent() && age > kConnectTimeout) {
    DropConnection();
    error_ = "connect: no connection within the connect timeout";
    FinishAttempt(AttemptEnd::kUnreachable);
    return;
  }
  if (IsStalled(read_until)) {
    CutResponse("no event within the time that callers wait for one");
    return;
  }
  const std::optional<Duration> attempt_timeout = AttemptTimeout();
  if (attempt_timeout.has_value() && age > *attempt_timeout && !has_started_ &&
      response_kind_ == ResponseKind::kNone) {
    DropConnection();
    error_ = "answer: no response within the attempt timeout";
    FinishAttempt(AttemptEnd::kUnknown);
  }
}

bool RelayedRequest::IsStalled(TimePoint read_until) const {
  const Duration timeout = input_.route->caller_silence_timeout;
  // While reading is paused for a slow caller, the upstream can't be blamed.
  return response_kind_ == ResponseKind::kStream && timeout > Duration() &&
         is_reading_ && read_until - last_event_ > timeout;
}

void RelayedRequest::TimeOut() {
  MeasureAbandoned();
  DropConnection();
  const std::shared_ptr<RelayedRequest> self = shared_from_this();
  context_->cancel(input_.id);
  Fail(may_have_run_ ? kGatewayTimeout : kUnavailable, "timeout", std::nullopt);
}

void RelayedRequest::OnCallerDisconnected() {
  if (has_ended_) {
    return;
  }
  has_ended_ = true;
  MeasureAbandoned();
  DropConnection();
  const std::shared_ptr<RelayedRequest> self = shared_from_this();
  context_->cancel(input_.id);
  if (!input_.caller->end_error().empty()) {
    error_ = absl::StrCat("caller: ", input_.caller->end_error());
  }
  Report(0, kCallerGoneReason);
}

Duration RelayedRequest::Latency() const {
  const Duration total = context_->now() - dispatched_;
  const Duration first =
      first_event_ == TimePoint() ? total : first_event_ - dispatched_;
  return ComparableLatency(first, total, OutputTokens());
}

void RelayedRequest::Report(int status, const std::string& reason) {
  const TimePoint now = context_->now();
  RelayReport report;
  report.id = input_.id;
  report.attempt_id = input_.metadata.attempt_id;
  report.route = input_.route->id;
  report.account = input_.account;
  report.service = input_.service;
  report.manifest = input_.table->config().version;
  report.upstream = upstream_;
  report.attempts = attempts_;
  const bool is_unused = status == kUnavailable || reason == kCallerGoneReason;
  report.unused_quota = is_unused && !may_have_run_ ? input_.quota_cost : 0.0;
  report.status = status;
  report.reason = reason;
  report.error = error_;
  report.unread = input_.arrival - input_.received;
  report.waited = (attempts_ > 0 ? first_dispatched_ : now) - input_.arrival;
  report.first =
      (first_event_ == TimePoint() ? now : first_event_) - input_.arrival;
  report.took = now - input_.arrival;
  report.events = events_.events();
  report.parts = FormatSharedParts(input_.metadata.prompt_parts);
  context_->done(report);
}

}  // namespace papaya
