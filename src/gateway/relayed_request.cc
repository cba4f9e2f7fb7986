#include "src/gateway/relayed_request.h"

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"
#include "include/rollout/version_stats.h"
#include "src/gateway/caller_connection.h"
#include "src/gateway/upstream_connection.h"
#include "src/gateway/upstream_pool.h"

namespace papaya {

namespace {

// Nothing is sent before a connection stands, so another upstream is tried
// soon.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
// An answer that may be had elsewhere is waited for so many times its
// objective.
constexpr int kIdempotentPatience = 4;
constexpr int kStreamPatience = 5;
// Answers up to this size are passed on whole, so that a broken one can be had
// again.
constexpr size_t kWholeBytes = size_t{64} * 1024;
// What may wait for a slow caller before the upstream has to wait, too.
constexpr size_t kMaxBacklog = size_t{256} * 1024;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr int kFirstServerError = 500;
constexpr int kFirstFailure = 400;

// Header lines that concern one connection only (RFC 9110, 7.6.1), and those
// that frame a message or ask this router for something.
constexpr std::array<const char*, 10> kHopHeaders = {"connection",
                                                     "keep-alive",
                                                     "proxy-authenticate",
                                                     "proxy-authorization",
                                                     "te",
                                                     "trailer",
                                                     "transfer-encoding",
                                                     "upgrade",
                                                     "proxy-connection",
                                                     "expect"};

// The names of the lines of `headers` that are not to be passed on.
std::vector<std::string> HopNames(const HttpHeaders& headers) {
  std::vector<std::string> names(kHopHeaders.begin(), kHopHeaders.end());
  for (const auto& [name, value] : headers.lines()) {
    if (!absl::EqualsIgnoreCase(name, "connection")) {
      continue;
    }
    for (absl::string_view token : absl::StrSplit(value, ',')) {
      names.emplace_back(absl::StripAsciiWhitespace(token));
    }
  }
  return names;
}

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::any_of(names.begin(), names.end(),
                     [&name](const std::string& other) {
                       return absl::EqualsIgnoreCase(name, other);
                     });
}

// Passed on as they are: a length is never lost on the way.
HttpHeaders EndToEndHeaders(const HttpHeaders& headers) {
  const std::vector<std::string> hop_names = HopNames(headers);
  HttpHeaders kept;
  for (const auto& [name, value] : headers.lines()) {
    if (!Contains(hop_names, name)) {
      kept.Add(name, value);
    }
  }
  return kept;
}

}  // namespace

std::string FormatSeconds(Duration duration) {
  return absl::StrFormat("%.2f", ToSeconds(duration));
}

RelayedRequest::RelayedRequest(const Context* context, Input input)
    : context_(context), input_(std::move(input)) {}

RelayedRequest::~RelayedRequest() = default;

void RelayedRequest::Start() {
  std::weak_ptr<RelayedRequest> weak = weak_from_this();
  input_.caller->SetGoneHook([weak] {
    if (const auto self = weak.lock()) {
      self->OnCallerGone();
    }
  });
  input_.caller->SetDrainedHook([weak] {
    if (const auto self = weak.lock()) {
      self->LimitBacklog();
    }
  });
}

std::string RelayedRequest::FormatRequest(
    const UpstreamRecord& upstream) const {
  const HttpRequest& request = input_.request;
  const HttpHeaders passed = EndToEndHeaders(request.headers);
  HttpHeaders headers;
  for (const auto& [name, value] : passed.lines()) {
    if (!context_->dialect->is_reserved(name) &&
        !absl::EqualsIgnoreCase(name, "content-length")) {
      headers.Add(name, value);
    }
  }
  ForwardMetadata metadata;
  metadata.instance = upstream.instance;
  metadata.account = input_.account.value();
  metadata.time_left = input_.give_up - context_->now();
  metadata.last_event_id = events_.last_id().empty()
                               ? input_.metadata.last_event_id
                               : events_.last_id();
  context_->dialect->write_forward(metadata, &headers);
  std::string bytes =
      absl::StrCat(request.method, " ", request.target, " HTTP/1.1\r\n");
  for (const auto& [name, value] : headers.lines()) {
    absl::StrAppend(&bytes, name, ": ", value, "\r\n");
  }
  if (!request.body.empty() || request.method == "POST" ||
      request.method == "PUT") {
    absl::StrAppend(&bytes, "Content-Length: ", request.body.size(), "\r\n");
  }
  absl::StrAppend(&bytes, "\r\n", request.body);
  return bytes;
}

void RelayedRequest::Dispatch(const UpstreamRecord* upstream) {
  if (has_ended_) {
    return;
  }
  if (upstream == nullptr) {
    FinishAttempt(AttemptEnd::kUnreachable);
    return;
  }
  dispatched_ = context_->now();
  if (attempts_ == 0) {
    first_dispatched_ = dispatched_;
  }
  ++attempts_;
  upstream_ = upstream->id;
  answer_kind_ = AnswerKind::kNone;
  first_event_ = TimePoint();
  is_measured_ = false;
  events_.Restart();
  UpstreamConnection::Call call;
  call.bytes = FormatRequest(*upstream);
  call.attempt_id = input_.metadata.attempt_id;
  call.is_head = input_.request.method == "HEAD";
  std::weak_ptr<RelayedRequest> weak = weak_from_this();
  call.head = [weak](const AnswerReader& reader,
                     const AnswerMetadata& metadata) {
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
      self->OnAnswerEnd();
    }
  };
  call.failed = [weak](bool was_sent, const std::string& error) {
    if (const auto self = weak.lock()) {
      self->OnFailed(was_sent, error);
    }
  };
  connection_ = context_->pool->Take(upstream_, dispatched_);
  const std::shared_ptr<UpstreamConnection> connection = connection_;
  connection->Send(upstream->address, std::move(call));
}

RelayedRequest::AnswerKind RelayedRequest::Classify(
    int status,
    const AnswerMetadata& metadata) const {
  if (metadata.is_not_run || metadata.is_other_instance) {
    return AnswerKind::kNotRun;
  }
  // An answer that goes on with a stream can't turn into another one.
  if (status >= kFirstServerError || !MayPassOn(status) ||
      (has_started_ && status >= kFirstFailure)) {
    return AnswerKind::kFailure;
  }
  const bool is_stream = input_.route->kind == RequestKind::kStream;
  return is_stream && status < kFirstFailure ? AnswerKind::kStream
                                             : AnswerKind::kWhole;
}

// These tell the caller that its request did not run; only an upstream that
// says so in full, or a router that sent nothing, knows that.
bool RelayedRequest::MayPassOn(int status) {
  constexpr std::array<int, 4> kPromises = {408, 421, 429, 503};
  return std::find(kPromises.begin(), kPromises.end(), status) ==
         kPromises.end();
}

void RelayedRequest::OnHead(const AnswerReader& reader,
                            const AnswerMetadata& metadata) {
  answer_kind_ = Classify(reader.status(), metadata);
  if (has_started_) {
    // The caller has the header of the first answer.
    return;
  }
  answer_.status = reader.status();
  answer_.headers = EndToEndHeaders(reader.headers());
  answer_.body.clear();
  answer_length_ = reader.length();
}

void RelayedRequest::OnBody(const std::string& bytes) {
  switch (answer_kind_) {
    case AnswerKind::kNone:
    case AnswerKind::kNotRun:
      return;
    case AnswerKind::kFailure:
      if (answer_.body.size() < kWholeBytes) {
        answer_.body += bytes;
      }
      return;
    case AnswerKind::kWhole:
      if (has_started_) {
        input_.caller->WriteBody(bytes);
        LimitBacklog();
        return;
      }
      answer_.body += bytes;
      if (answer_.body.size() > kWholeBytes) {
        StartAnswer();
        input_.caller->WriteBody(std::exchange(answer_.body, std::string()));
      }
      return;
    case AnswerKind::kStream:
      PassEvents(events_.Feed(bytes));
      return;
  }
}

void RelayedRequest::StartAnswer() {
  has_started_ = true;
  HttpResponse head;
  head.status = answer_.status;
  head.headers = answer_.headers;
  input_.caller->StartAnswer(head, answer_length_);
}

void RelayedRequest::PassEvents(const std::string& events) {
  if (events.empty()) {
    return;
  }
  if (first_event_ == TimePoint()) {
    first_event_ = context_->now();
  }
  if (!has_started_) {
    context_->first_token(input_.id);
    StartAnswer();
  }
  input_.caller->WriteBody(events);
  context_->tokens(input_.id, TokensOut());
  // A long stream is not waited for.
  if (TokensOut() >= kComparedTokens) {
    Measure();
  }
  LimitBacklog();
}

void RelayedRequest::LimitBacklog() {
  const bool may_read = input_.caller->pending_bytes() <= kMaxBacklog;
  if (may_read != is_reading_ && connection_ != nullptr) {
    is_reading_ = may_read;
    connection_->SetReading(may_read);
  }
}

void RelayedRequest::OnAnswerEnd() {
  const std::shared_ptr<UpstreamConnection> connection =
      std::exchange(connection_, nullptr);
  context_->pool->Give(upstream_, connection, context_->now());
  switch (answer_kind_) {
    case AnswerKind::kNone:
    case AnswerKind::kNotRun:
      error_ = absl::StrCat("status: ", answer_.status, ", not run");
      FinishAttempt(AttemptEnd::kNotRun);
      return;
    case AnswerKind::kFailure:
      may_have_run_ = true;
      error_ = absl::StrCat("status: ", answer_.status);
      if (!has_started_ && MayPassOn(answer_.status)) {
        held_failure_ = answer_;
      }
      FinishAttempt(AttemptEnd::kUnknown);
      return;
    case AnswerKind::kWhole:
      if (has_started_) {
        input_.caller->EndAnswer();
      } else {
        input_.caller->Respond(answer_);
      }
      break;
    case AnswerKind::kStream:
      if (!has_started_) {
        StartAnswer();
      }
      input_.caller->WriteBody(events_.TakeRest());
      input_.caller->EndAnswer();
      break;
  }
  has_ended_ = true;
  Measure();
  const std::shared_ptr<RelayedRequest> self = shared_from_this();
  context_->finish_attempt(
      input_.id, {.end = AttemptEnd::kOk, .output_tokens = TokensOut()});
  Report(answer_.status, "");
}

void RelayedRequest::OnFailed(bool was_sent, const std::string& error) {
  connection_ = nullptr;
  error_ = absl::StrCat(was_sent ? "answer: " : "connect: ", error);
  if (!was_sent) {
    FinishAttempt(AttemptEnd::kUnreachable);
    return;
  }
  may_have_run_ = true;
  FinishAttempt(AttemptEnd::kUnknown);
}

Tokens RelayedRequest::TokensOut() const {
  return Tokens(events_.events() * input_.tokens_per_event.value());
}

void RelayedRequest::Measure() {
  if (!is_measured_) {
    is_measured_ = true;
    context_->measured(*this, /*failed=*/false, Latency());
  }
}

void RelayedRequest::MeasureGivenUp() {
  const bool is_at_upstream = connection_ != nullptr && connection_->was_sent();
  if (is_at_upstream &&
      context_->now() - dispatched_ > input_.route->latency_objective) {
    Measure();
  }
}

void RelayedRequest::FinishAttempt(AttemptEnd end) {
  if (end == AttemptEnd::kUnknown) {
    context_->measured(*this, /*failed=*/true, Latency());
  }
  const bool can_go_on = !has_started_ || answer_kind_ == AnswerKind::kStream ||
                         input_.route->kind == RequestKind::kStream;
  if (!can_go_on) {
    // Part of an answer that can't be continued is out.
    const std::shared_ptr<RelayedRequest> self = shared_from_this();
    has_ended_ = true;
    context_->cancel(input_.id);
    input_.caller->Abort();
    Report(0, "answer_cut");
    return;
  }
  context_->finish_attempt(input_.id, {.end = end, .output_tokens = {}});
}

void RelayedRequest::Refuse(const Rejection& refusal) {
  if (has_ended_) {
    return;
  }
  const std::string reason = RejectionReasonName(refusal.reason);
  if (!may_have_run_ && refusal.outcome == Outcome::kNotRun) {
    Fail(kUnavailable, reason, refusal.retry_after);
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
  if (held_failure_.has_value()) {
    input_.caller->Respond(*held_failure_);
    Report(held_failure_->status, reason);
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

std::optional<Duration> RelayedRequest::Patience() const {
  if (!input_.route->MayRepeat() || attempts_ >= input_.route->max_attempts) {
    return std::nullopt;
  }
  const int factor = input_.route->kind == RequestKind::kStream
                         ? kStreamPatience
                         : kIdempotentPatience;
  return input_.route->latency_objective * factor;
}

void RelayedRequest::OnTick(TimePoint now) {
  if (has_ended_) {
    return;
  }
  if (now >= input_.give_up) {
    GiveUp();
    return;
  }
  if (connection_ == nullptr) {
    return;
  }
  const Duration age = now - dispatched_;
  if (!connection_->was_sent() && age > kConnectTimeout) {
    DropConnection();
    error_ = "connect: no connection in time";
    FinishAttempt(AttemptEnd::kUnreachable);
    return;
  }
  const std::optional<Duration> patience = Patience();
  if (patience.has_value() && age > *patience && !has_started_ &&
      answer_kind_ == AnswerKind::kNone) {
    DropConnection();
    error_ = "answer: none in time";
    FinishAttempt(AttemptEnd::kUnknown);
  }
}

void RelayedRequest::GiveUp() {
  MeasureGivenUp();
  DropConnection();
  const std::shared_ptr<RelayedRequest> self = shared_from_this();
  context_->cancel(input_.id);
  Fail(may_have_run_ ? kGatewayTimeout : kUnavailable, "timeout", std::nullopt);
}

void RelayedRequest::OnCallerGone() {
  if (has_ended_) {
    return;
  }
  has_ended_ = true;
  MeasureGivenUp();
  DropConnection();
  const std::shared_ptr<RelayedRequest> self = shared_from_this();
  context_->cancel(input_.id);
  Report(0, "caller_gone");
}

Duration RelayedRequest::Latency() const {
  const Duration whole = context_->now() - dispatched_;
  const Duration first =
      first_event_ == TimePoint() ? whole : first_event_ - dispatched_;
  return ComparableLatency(first, whole, TokensOut());
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
  report.quota_left =
      status == kUnavailable && !may_have_run_ ? input_.quota_cost : 0.0;
  report.status = status;
  report.reason = reason;
  report.error = error_;
  report.waited = (attempts_ > 0 ? first_dispatched_ : now) - input_.arrival;
  report.took = now - input_.arrival;
  report.events = events_.events();
  context_->done(report);
}

}  // namespace papaya
