#include "src/daemon/stream_relay.h"

#include <utility>
#include <vector>

#include "include/base/error.h"
#include "include/wire/http_exchange.h"
#include "src/daemon/upstream_attempt.h"

namespace papaya {

namespace {

namespace asio = boost::asio;

constexpr Bytes kMaxEvent{256 * 1024};

std::string FormatStreamEnd(int64_t tokens) {
  SseEvent end;
  end.index = tokens;
  end.data = "[DONE]";
  return FormatSseEvent(end);
}

}  // namespace

StreamRelay::StreamRelay(Options options,
                         Hooks hooks,
                         UpstreamAttempt* attempt,
                         HttpExchange* exchange)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      attempt_(attempt),
      exchange_(exchange),
      reader_(kMaxEvent),
      assembler_(options_.offset, StreamAssembler::Limits()) {}

asio::awaitable<StreamRelay::End> StreamRelay::Run(HttpResponse head) {
  int resumes_left = options_.max_resumes;
  while (true) {
    const int64_t before = assembler_.next();
    status_ = co_await RelayEvents(head);
    if (caller_failed_) {
      co_return End::kCallerFailed;
    }
    if (status_.ok()) {
      break;
    }
    if (assembler_.next() > before) {
      resumes_left = options_.max_resumes;
    }
    if (!started_ || hooks_.is_cancelled() || resumes_left == 0) {
      co_return FailureEnd();
    }
    --resumes_left;
    hooks_.resuming(true);
    const absl::Status resumed = co_await Resume();
    if (!resumed.ok()) {
      status_ = resumed;
      co_return FailureEnd();
    }
    hooks_.resuming(false);
  }
  const bool sent =
      co_await SendToCaller(head, FormatStreamEnd(assembler_.next()));
  if (!sent) {
    co_return End::kCallerFailed;
  }
  const absl::Status ended = co_await exchange_->EndStream();
  co_return ended.ok() ? End::kComplete : End::kCallerFailed;
}

asio::awaitable<absl::Status> StreamRelay::RelayEvents(
    const HttpResponse& head) {
  while (true) {
    const absl::StatusOr<std::string> piece = co_await attempt_->ReadPiece();
    if (assembler_.IsComplete() && (!piece.ok() || piece->empty())) {
      co_return absl::OkStatus();
    }
    if (!piece.ok()) {
      co_return piece.status();
    }
    if (piece->empty()) {
      co_return MakeError(
          absl::StatusCode::kUnavailable,
          {.step = "stream.read", .peer = attempt_->upstream().id.value()},
          "the upstream closed the stream before its end");
    }
    std::vector<SseEvent> events;
    const absl::Status read = reader_.Feed(*piece, &events);
    if (!read.ok()) {
      co_return read;
    }
    std::vector<SseEvent> ready;
    absl::Status added;
    for (SseEvent& event : events) {
      if (added.ok()) {
        added = assembler_.Add(std::move(event), &ready);
      }
    }
    std::string text;
    for (const SseEvent& event : ready) {
      text += FormatSseEvent(event);
    }
    if (!text.empty() && !started_ && !hooks_.before_first_event()) {
      co_return MakeError(absl::StatusCode::kCancelled,
                          {.step = "stream.start"},
                          "the stream was cancelled before its first event");
    }
    if (!text.empty()) {
      const bool sent = co_await SendToCaller(head, std::move(text));
      if (!sent) {
        co_return absl::OkStatus();
      }
      hooks_.tokens(assembler_.next());
    }
    if (!added.ok()) {
      co_return added;
    }
  }
}

asio::awaitable<bool> StreamRelay::SendToCaller(const HttpResponse& head,
                                                std::string text) {
  absl::Status sent;
  if (!std::exchange(started_, true)) {
    sent = co_await exchange_->StartStream(head);
  }
  if (sent.ok()) {
    sent = co_await exchange_->Write(std::move(text));
  }
  caller_failed_ = !sent.ok();
  co_return sent.ok();
}

asio::awaitable<absl::Status> StreamRelay::Resume() {
  assembler_.Reopen();
  reader_ = SseReader(kMaxEvent);
  co_return co_await attempt_->Resume(options_.stream_id, assembler_.next());
}

StreamRelay::End StreamRelay::FailureEnd() const {
  return started_ ? End::kTruncated : End::kNothingSent;
}

}  // namespace papaya
