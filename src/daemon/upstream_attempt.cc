#include "src/daemon/upstream_attempt.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "include/base/error.h"
#include "include/wire/steady_time.h"
#include "src/daemon/router_error.h"

namespace papaya {

namespace {

namespace asio = boost::asio;

constexpr std::chrono::seconds kConnectTimeout{1};
constexpr int kFirstServerError = 500;
constexpr int kUnavailable = 503;
constexpr int kNotFound = 404;
constexpr int kOk = 200;

bool IndicatesNotRun(const HttpResponse& head, const UpstreamSpec& upstream) {
  return head.status == kUnavailable &&
         (upstream.refusal_means_not_run ||
          head.headers.Get(kNotRunHeader) == "1" ||
          head.headers.Get(kLeavingHeader) == "1");
}

}  // namespace

UpstreamAttempt::UpstreamAttempt(Options options, HttpClientPool* pool)
    : options_(std::move(options)), pool_(pool) {}

UpstreamAttempt::~UpstreamAttempt() {
  if (client_ != nullptr) {
    pool_->Give(options_.upstream.address, std::move(client_));
  }
}

asio::awaitable<AttemptHead> UpstreamAttempt::Begin(
    const HttpRequest& request) {
  if (options_.idempotent && !closed_) {
    client_ = pool_->TakeIdle(options_.upstream.address);
  }
  const bool was_idle = client_ != nullptr;
  AttemptHead head;
  if (!was_idle) {
    head.status = co_await Connect();
    if (!head.status.ok()) {
      head.end = AttemptEnd::kNotRun;
      co_return head;
    }
  }
  absl::StatusOr<HttpResponse> response = co_await SendRequest(request);
  // The upstream may have closed an idle connection before or after it received
  // the request. Resending is safe because only idempotent requests use idle
  // connections.
  if (was_idle && !closed_ && absl::IsUnavailable(response.status())) {
    client_ = nullptr;
    const absl::Status connected = co_await Connect();
    if (connected.ok()) {
      response = co_await SendRequest(request);
    }
  }
  co_return Classify(std::move(response));
}

AttemptHead UpstreamAttempt::Classify(
    absl::StatusOr<HttpResponse> response) const {
  AttemptHead head;
  if (!response.ok()) {
    head.end = AttemptEnd::kUnknown;
    head.status = response.status();
    return head;
  }
  head.response = *std::move(response);
  if (head.response.status < kFirstServerError) {
    return head;
  }
  head.end = AttemptEnd::kUnknown;
  if (IndicatesNotRun(head.response, options_.upstream)) {
    head.end = head.response.headers.Get(kLeavingHeader) == "1"
                   ? AttemptEnd::kLeaving
                   : AttemptEnd::kNotRun;
  }
  head.status = MakeError(
      absl::StatusCode::kUnavailable,
      {.step = "upstream.answer", .peer = options_.upstream.id.value()},
      absl::StrCat("HTTP status ", head.response.status));
  return head;
}

asio::awaitable<absl::StatusOr<std::string>> UpstreamAttempt::ReadPiece() {
  co_return co_await client_->ReadPiece(options_.deadline);
}

asio::awaitable<absl::Status> UpstreamAttempt::Resume(std::string stream_id,
                                                      int64_t offset) {
  client_ = nullptr;
  const absl::Status status = co_await Connect();
  if (!status.ok()) {
    co_return status;
  }
  HttpRequest request;
  request.target = absl::StrCat("/v1/streams/", stream_id, "?offset=", offset);
  const absl::StatusOr<HttpResponse> head = co_await SendRequest(request);
  if (!head.ok()) {
    co_return head.status();
  }
  if (head->status == kOk) {
    co_return absl::OkStatus();
  }
  const absl::StatusCode code = head->status == kNotFound
                                    ? absl::StatusCode::kNotFound
                                    : absl::StatusCode::kUnavailable;
  co_return MakeError(
      code, {.step = "stream.resume", .peer = options_.upstream.id.value()},
      absl::StrCat("HTTP status ", head->status));
}

void UpstreamAttempt::Close() {
  closed_ = true;
  if (client_ != nullptr) {
    client_->Close();
  }
}

asio::awaitable<absl::Status> UpstreamAttempt::Connect() {
  const TimePoint connect_by =
      std::min(options_.deadline, SteadyNow() + Duration(kConnectTimeout));
  absl::StatusOr<std::unique_ptr<HttpClient>> client =
      co_await HttpClient::Connect(options_.upstream.address, connect_by);
  if (!client.ok()) {
    co_return client.status();
  }
  client_ = *std::move(client);
  if (closed_) {
    co_return MakeError(
        absl::StatusCode::kCancelled,
        {.step = "upstream.connect", .peer = options_.upstream.id.value()},
        "the attempt was cancelled");
  }
  co_return absl::OkStatus();
}

asio::awaitable<absl::StatusOr<HttpResponse>> UpstreamAttempt::SendRequest(
    const HttpRequest& request) {
  const absl::Status sent = co_await client_->Send(request, options_.deadline);
  if (!sent.ok()) {
    co_return sent;
  }
  co_return co_await client_->ReadHead(options_.deadline);
}

}  // namespace papaya
