#include "src/gateway/upstream_connection.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <utility>

#include "include/wire/steady_time.h"
#include "src/gateway/tcp_channel.h"
#include "src/wire/address.h"

namespace papaya {

namespace {

using boost::asio::ip::tcp;

// Assumed idle timeout of upstreams that do not state one.
constexpr Duration kDefaultIdleTimeout = std::chrono::seconds(4);
// An idle connection is not reused this shortly before its timeout because the
// upstream could close it before the request arrives.
constexpr Duration kIdleMargin = std::chrono::milliseconds(600);
// Responses below this status must name the attempt that they answer. Errors
// need not on a connection's first call, where no earlier response can be late.
constexpr int kFirstStatusWithoutAttempt = 400;
// Received bytes that the parser can't use yet, such as the line of a chunk
// size without end.
constexpr size_t kMaxUnparsedBytes = size_t{128} * 1024;
// A connection is not reused after this number of rejected requests, which
// bounds the memory for their ids.
constexpr size_t kMaxRejected = 32;
// Total size of responses to other requests during one call.
constexpr size_t kMaxMismatchedBytes = size_t{4} * 1024 * 1024;

}  // namespace

UpstreamConnection::UpstreamConnection(boost::asio::io_context& context,
                                       const HeaderCodec* header_codec,
                                       std::shared_ptr<MemoryBudget> memory)
    : context_(context),
      header_codec_(header_codec),
      memory_(std::move(memory)),
      input_charge_(memory_, MemoryKind::kResponses),
      idle_timeout_(kDefaultIdleTimeout) {}

UpstreamConnection::~UpstreamConnection() = default;

void UpstreamConnection::Send(const std::string& address, Call call) {
  call_ = std::make_shared<Call>(std::move(call));
  reader_.emplace(call_->is_head_request);
  is_mismatched_ = false;
  mismatched_bytes_ = 0;
  ++calls_;
  has_head_ = false;
  was_sent_ = false;
  if (channel_ != nullptr) {
    SendBytes();
    return;
  }
  const absl::StatusOr<tcp::endpoint> endpoint = ParseEndpoint(address);
  tcp::socket socket(context_);
  boost::system::error_code error;
  if (endpoint.ok()) {
    socket.open(endpoint->protocol(), error);
  }
  channel_ = std::make_shared<TcpChannel>(std::move(socket));
  channel_->SetMemory(memory_, MemoryKind::kSending, /*charges_unread=*/false);
  if (!endpoint.ok() || error) {
    const std::string reason = endpoint.ok()
                                   ? error.message()
                                   : std::string(endpoint.status().message());
    boost::asio::post(
        context_, [self = shared_from_this(), reason] { self->Fail(reason); });
    return;
  }
  channel_->Connect(*endpoint,
                    [self = shared_from_this()](const std::string& reason) {
                      self->OnConnected(reason);
                    });
}

void UpstreamConnection::OnConnected(const std::string& error) {
  if (is_closed_) {
    return;
  }
  if (!error.empty()) {
    Fail(error);
    return;
  }
  TcpChannel::Hooks hooks;
  // The connection owns the channel, so the hooks must not own the connection.
  std::weak_ptr<UpstreamConnection> weak = weak_from_this();
  hooks.data = [weak](std::string_view bytes) {
    if (const auto self = weak.lock()) {
      self->OnData(bytes);
    }
  };
  hooks.ended = [weak](bool is_orderly, const std::string& reason) {
    if (const auto self = weak.lock()) {
      self->OnEnded(is_orderly, reason);
    }
  };
  channel_->Start(std::move(hooks));
  SendBytes();
}

void UpstreamConnection::SendBytes() {
  const std::shared_ptr<const Call> call = call_;
  std::optional<RequestBytes> bytes = call->make_bytes();
  if (!bytes.has_value()) {
    Close();
    return;
  }
  was_sent_ = true;
  channel_->Write(bytes->head, std::move(bytes->body));
}

void UpstreamConnection::SetReading(bool is_reading) {
  if (channel_ != nullptr && !is_closed_) {
    channel_->SetReading(is_reading);
  }
}

void UpstreamConnection::Close() {
  const bool abandons_call = call_ != nullptr && was_sent_;
  is_closed_ = true;
  call_.reset();
  if (channel_ == nullptr) {
    return;
  }
  if (abandons_call) {
    // Bytes of the request that the system still holds must not arrive later.
    channel_->Reset();
  } else {
    channel_->Close();
  }
}

bool UpstreamConnection::HasRejected(const std::string& attempt_id) const {
  return std::find(rejected_.begin(), rejected_.end(), attempt_id) !=
         rejected_.end();
}

bool UpstreamConnection::IsReusable(TimePoint now) const {
  return !is_closed_ && rejected_.size() < kMaxRejected &&
         !closes_after_call_ && call_ == nullptr && channel_ != nullptr &&
         channel_->is_open() && channel_->pending_bytes() == 0 &&
         !IsExpired(now);
}

bool UpstreamConnection::IsExpired(TimePoint now) const {
  return now - idle_since_ >= idle_timeout_ - kIdleMargin;
}

void UpstreamConnection::OnData(std::string_view bytes) {
  if (call_ == nullptr) {
    // Data without a request. The connection can't be trusted any more.
    Close();
    return;
  }
  input_.append(bytes);
  const std::shared_ptr<UpstreamConnection> self = shared_from_this();
  ReadResponses();
}

void UpstreamConnection::ReadResponses() {
  while (call_ != nullptr && !is_closed_ && ReadNextResponse()) {
  }
  if (input_.empty()) {
    // Releases the memory of the last read.
    input_ = std::string();
  }
  input_charge_.Set(static_cast<int64_t>(input_.capacity()));
}

bool UpstreamConnection::ReadNextResponse() {
  const ResponseReader::State state = reader_->Feed(&input_);
  if (state == ResponseReader::State::kError) {
    Fail(reader_->read_error());
    return false;
  }
  if (input_.size() > kMaxUnparsedBytes &&
      state != ResponseReader::State::kDone) {
    Fail("the response has a line that is too long");
    return false;
  }
  if (state == ResponseReader::State::kHead) {
    return false;
  }
  if (!has_head_ && !HandleHead()) {
    return false;
  }
  const std::string body = reader_->TakeBody();
  if (is_mismatched_) {
    mismatched_bytes_ += body.size();
    if (mismatched_bytes_ > kMaxMismatchedBytes) {
      Fail("too many bytes of responses to other requests");
      return false;
    }
  } else if (!body.empty()) {
    const std::shared_ptr<const Call> call = call_;
    call->body(body);
  }
  // The hook may have closed this connection.
  if (state != ResponseReader::State::kDone || call_ == nullptr) {
    return false;
  }
  if (is_mismatched_) {
    reader_.emplace(call_->is_head_request);
    has_head_ = false;
    return !input_.empty();
  }
  Finish();
  return false;
}

bool UpstreamConnection::IsMismatch(const ResponseMetadata& metadata) const {
  return metadata.attempt_id != call_->attempt_id &&
         (!metadata.attempt_id.empty() ||
          reader_->status() < kFirstStatusWithoutAttempt);
}

bool UpstreamConnection::IsAmbiguous(const ResponseMetadata& metadata) const {
  return metadata.attempt_id.empty() && !call_->attempt_id.empty() &&
         calls_ > 1 && reader_->status() >= kFirstStatusWithoutAttempt;
}

bool UpstreamConnection::HandleHead() {
  has_head_ = true;
  const ResponseMetadata metadata =
      header_codec_->read_response(reader_->status(), reader_->headers());
  is_mismatched_ = IsMismatch(metadata);
  closes_after_call_ =
      metadata.closes || metadata.is_leaving || !reader_->keeps_alive();
  idle_timeout_ = metadata.idle_timeout.value_or(kDefaultIdleTimeout);
  const std::shared_ptr<const Call> observing = call_;
  observing->observed(metadata);
  if (call_ == nullptr) {
    return false;
  }
  if (IsAmbiguous(metadata)) {
    Fail("an error response without the id of its request");
    return false;
  }
  if (!is_mismatched_) {
    if (metadata.is_not_run || metadata.is_other_instance) {
      rejected_.push_back(call_->attempt_id);
    }
    const std::shared_ptr<const Call> call = call_;
    call->head(*reader_, metadata);
  }
  return call_ != nullptr;
}

void UpstreamConnection::OnEnded(bool is_orderly, const std::string& error) {
  if (call_ == nullptr) {
    Close();
    return;
  }
  closes_after_call_ = true;
  if (is_orderly && has_head_ && !is_mismatched_ &&
      reader_->FeedEnd() == ResponseReader::State::kDone) {
    Finish();
    return;
  }
  Fail(error, CallFailure::kClosed);
}

void UpstreamConnection::Finish() {
  const std::shared_ptr<const Call> call = std::exchange(call_, nullptr);
  reader_.reset();
  idle_since_ = SteadyNow();
  // The end of the response may have arrived in the bytes that paused reading
  // for a slow caller. The next call on this connection needs its response.
  SetReading(true);
  if (closes_after_call_ || !input_.empty()) {
    Close();
  }
  call->ended();
}

void UpstreamConnection::Fail(const std::string& error, CallFailure failure) {
  if (call_ == nullptr) {
    return;
  }
  const std::shared_ptr<const Call> call = std::exchange(call_, nullptr);
  const CallFailure reported = was_sent_ ? failure : CallFailure::kNotSent;
  Close();
  call->failed(reported, error);
}

}  // namespace papaya
