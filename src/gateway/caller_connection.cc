#include "src/gateway/caller_connection.h"

#include <algorithm>
#include <boost/beast/http/status.hpp>
#include <utility>

#include "absl/cleanup/cleanup.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "include/wire/steady_time.h"
#include "src/gateway/tcp_channel.h"

namespace papaya {

namespace {

namespace http = boost::beast::http;

// Callers that receive nothing of their response for this long are
// disconnected.
constexpr Duration kWriteTimeout = std::chrono::seconds(10);
// Maximum time between two pieces of a request's body.
constexpr Duration kBodyTimeout = std::chrono::seconds(10);
// Reading stops while a caller has sent more than this ahead of its response.
constexpr size_t kMaxPipelinedBytes = size_t{64} * 1024;
// Time for the caller to receive the last response and close its side.
constexpr Duration kCloseTimeout = std::chrono::seconds(1);
// Reads of one connection whose times are kept. Those of later reads count as
// that of the last one kept.
constexpr size_t kMaxReads = 64;
// Bodies up to this size are read without reserved room. Larger ones must not
// all be read at once.
constexpr int64_t kSmallBodyBytes = int64_t{64} * 1024;
// A body whose room others wait for must be complete within this time after the
// room was granted.
constexpr Duration kMaxGrantTime = std::chrono::seconds(10);
// A caller that sends a rejected request to its end before it reads the
// response gets this long for it.
constexpr Duration kDiscardTimeout = std::chrono::seconds(5);
// An input buffer that is empty is kept up to this size.
constexpr size_t kMaxIdleInput = 1024;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

// True for the headers that frame a message or control its connection.
bool IsFraming(const std::string& name) {
  return absl::EqualsIgnoreCase(name, "content-length") ||
         absl::EqualsIgnoreCase(name, "transfer-encoding") ||
         absl::EqualsIgnoreCase(name, "connection") ||
         absl::EqualsIgnoreCase(name, "keep-alive");
}

}  // namespace

CallerConnection::CallerConnection(boost::asio::ip::tcp::socket socket,
                                   std::shared_ptr<CallerShared> shared)
    : shared_(std::move(shared)),
      channel_(std::make_shared<TcpChannel>(std::move(socket))),
      input_charge_(shared_->memory.budget, MemoryKind::kReading),
      body_charge_(shared_->memory.budget, MemoryKind::kReading),
      state_start_(SteadyNow()),
      idle_limit_(shared_->limits.idle_timeout) {}

CallerConnection::~CallerConnection() {
  CancelWait();
}

void CallerConnection::Start() {
  TcpChannel::Hooks hooks;
  std::weak_ptr<CallerConnection> weak = weak_from_this();
  hooks.data = [weak](std::string_view bytes) {
    if (const auto self = weak.lock()) {
      self->OnData(bytes);
    }
  };
  hooks.ended = [weak](bool is_orderly, const std::string& error) {
    if (const auto self = weak.lock()) {
      self->OnEnded(is_orderly ? "" : error);
    }
  };
  hooks.drained = [weak] {
    const auto self = weak.lock();
    if (self != nullptr && self->drained_) {
      self->drained_();
    }
  };
  channel_->SetMemory(shared_->memory.budget, MemoryKind::kResponses,
                      /*charges_unread=*/true);
  channel_->Start(std::move(hooks));
}

size_t CallerConnection::pending_bytes() const {
  return channel_->pending_bytes();
}

void CallerConnection::OnData(std::string_view bytes) {
  if (state_ == State::kHalfClosed) {
    // The caller sent a request before it saw the close. Reset the connection
    // so that it learns at once that the request is not served.
    Abort();
    return;
  }
  if (state_ == State::kClosing || state_ == State::kClosed) {
    return;
  }
  AddInput(bytes);
  if (state_ == State::kResponding) {
    ChargeInput();
    if (input_.size() > kMaxPipelinedBytes) {
      channel_->SetReading(false);
    }
    return;
  }
  ReadRequests();
  ChargeInput();
}

void CallerConnection::ChargeInput() {
  if (input_.empty() && input_.capacity() > kMaxIdleInput) {
    input_ = std::string();
  }
  const size_t head = reader_ == nullptr ? 0 : reader_->head_memory();
  input_charge_.Set(static_cast<int64_t>(input_.capacity() + head));
}

TimePoint CallerConnection::ReceiveTime() {
  const std::optional<Duration> age = channel_->TimeSinceReceived();
  if (age.has_value()) {
    return SteadyNow() - *age;
  }
  return SteadyNow() -
         (shared_->read_delay ? shared_->read_delay() : Duration());
}

void CallerConnection::AddInput(std::string_view bytes) {
  received_bytes_ += bytes.size();
  if (input_.empty()) {
    reads_.clear();
  }
  if (reads_.size() < kMaxReads) {
    // The rest of a body needs no exact time.
    reads_.emplace_back(received_bytes_, state_ == State::kReading
                                             ? SteadyNow()
                                             : ReceiveTime());
  } else {
    reads_.back().first = received_bytes_;
  }
  input_.append(bytes);
}

TimePoint CallerConnection::InputReceiveTime() {
  const uint64_t used = received_bytes_ - input_.size();
  while (reads_.size() > 1 && reads_.front().first <= used) {
    reads_.pop_front();
  }
  return reads_.front().second;
}

void CallerConnection::ReadRequests() {
  // A request may be answered while it is delivered. The loop then reads the
  // next one, so that the stack does not grow with the pipelined requests.
  if (is_reading_requests_) {
    return;
  }
  const std::shared_ptr<CallerConnection> self = shared_from_this();
  is_reading_requests_ = true;
  const absl::Cleanup end_reading = [this] { is_reading_requests_ = false; };
  do {
    ReadRequest();
  } while (state_ == State::kIdle && !input_.empty());
}

void CallerConnection::ReadRequest() {
  if (state_ == State::kIdle) {
    reader_ = std::make_unique<RequestReader>(shared_->limits);
    state_ = State::kReading;
    state_start_ = SteadyNow();
    request_received_ = InputReceiveTime();
    has_sent_continue_ = false;
  }
  switch (reader_->Feed(&input_)) {
    case RequestReader::State::kHead:
      if (HasLimit() && !shared_->memory.budget->AdmitsHeads()) {
        RejectForMemory();
      }
      return;
    case RequestReader::State::kBody:
      state_start_ = SteadyNow();
      if (HasLimit() && !AdmitBody()) {
        return;
      }
      if (reader_->expects_continue() && !has_sent_continue_) {
        has_sent_continue_ = true;
        channel_->Write("HTTP/1.1 100 Continue\r\n\r\n");
      }
      return;
    case RequestReader::State::kError:
      RejectRequest(reader_->read_error());
      return;
    case RequestReader::State::kDone:
      DeliverRequest();
      return;
  }
}

bool CallerConnection::AdmitBody() {
  if (has_room_) {
    return true;
  }
  MemoryBudget& budget = *shared_->memory.budget;
  const std::optional<uint64_t> length = reader_->length();
  const auto received = static_cast<int64_t>(reader_->body_size());
  const int64_t size =
      length.has_value() ? static_cast<int64_t>(*length) : received;
  const bool is_new = body_charge_.bytes() == 0;
  if (size <= kSmallBodyBytes) {
    if (is_new && !budget.Admits(Tier::kBatch) &&
        !budget.Admits(shared_->memory.classify(reader_->CopyHead()).tier)) {
      RejectForMemory();
      return false;
    }
    // At least 1, so that a body without a length is admitted once.
    body_charge_.Set(std::max<int64_t>(size, 1));
    return true;
  }
  // A body without a length may become as long as the limit allows.
  const int64_t room =
      length.has_value()
          ? size
          : std::max(shared_->limits.max_body_bytes.value(), received);
  const CallerMemory::HeadClass head =
      shared_->memory.classify(reader_->CopyHead());
  if (!budget.Admits(head.tier) || !budget.CanEverGrant(head.tier, room)) {
    RejectForMemory();
    return false;
  }
  std::optional<MemoryCharge> charge = budget.TryReserve(head.tier, room);
  if (!charge.has_value()) {
    AwaitRoom(head, room);
    return false;
  }
  body_charge_ = std::move(*charge);
  has_room_ = true;
  granted_ = SteadyNow();
  reader_->ReserveBody(static_cast<size_t>(room));
  return true;
}

void CallerConnection::AwaitRoom(const CallerMemory::HeadClass& head,
                                 int64_t bytes) {
  // What was received is held meanwhile.
  body_charge_.Set(static_cast<int64_t>(reader_->body_size()));
  channel_->SetReading(false);
  wait_end_ = SteadyNow() + head.max_wait;
  waiter_ = shared_->memory.budget->Await(
      head.tier, bytes, [weak = weak_from_this()](MemoryCharge charge) {
        if (const auto self = weak.lock()) {
          self->OnRoomGranted(std::move(charge));
        }
      });
}

void CallerConnection::OnRoomGranted(MemoryCharge charge) {
  waiter_.reset();
  reader_->ReserveBody(static_cast<size_t>(charge.bytes()));
  body_charge_ = std::move(charge);
  has_room_ = true;
  granted_ = SteadyNow();
  state_start_ = granted_;
  channel_->SetReading(true);
  if (reader_->expects_continue() && !has_sent_continue_) {
    has_sent_continue_ = true;
    channel_->Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void CallerConnection::CancelWait() {
  if (waiter_.has_value()) {
    shared_->memory.budget->Cancel(*std::exchange(waiter_, std::nullopt));
  }
}

void CallerConnection::TickWaiting(TimePoint now) {
  if (CloseIfCallerLeft()) {
    return;
  }
  if (now >= wait_end_) {
    RejectForMemory();
  }
}

void CallerConnection::RejectForMemory() {
  CancelWait();
  HttpRequest head;
  const bool has_head = reader_->is_head_done();
  if (has_head) {
    head = reader_->CopyHead();
  }
  state_ = State::kResponding;
  keeps_alive_ = false;
  discards_request_ = true;
  Respond(shared_->memory.reject(has_head ? &head : nullptr));
  channel_->SetReading(true);
}

std::shared_ptr<const std::string> CallerConnection::HoldBody(
    std::string body) {
  struct Held {
    std::string bytes;
    MemoryCharge charge;
  };
  auto held = std::make_shared<Held>();
  held->bytes = std::move(body);
  held->charge = std::move(body_charge_);
  body_charge_ = MemoryCharge(shared_->memory.budget, MemoryKind::kReading);
  return {held, &held->bytes};
}

void CallerConnection::DeliverRequest() {
  keeps_alive_ = reader_->keeps_alive();
  is_http_1_0_ = reader_->is_http_1_0();
  HttpRequest request = reader_->Take();
  reader_.reset();
  has_room_ = false;
  if (request.body.capacity() > 2 * request.body.size()) {
    request.body.shrink_to_fit();
  }
  body_charge_.SetKind(MemoryKind::kRequests);
  body_charge_.Set(static_cast<int64_t>(request.body.capacity()));
  is_head_request_ = request.method == "HEAD";
  state_ = State::kResponding;
  const std::shared_ptr<CallerConnection> self = shared_from_this();
  shared_->request(self, std::move(request));
}

void CallerConnection::RejectRequest(const HttpFault& read_error) {
  state_ = State::kResponding;
  keeps_alive_ = false;
  Respond(shared_->read_error(read_error));
}

std::string CallerConnection::FormatHead(const HttpResponse& response,
                                         std::optional<uint64_t> length) {
  const std::string reason(
      http::obsolete_reason(static_cast<http::status>(response.status)));
  std::string head =
      absl::StrCat("HTTP/1.1 ", response.status, " ", reason, "\r\n");
  for (const auto& [name, value] : response.headers.lines()) {
    if (!IsFraming(name)) {
      absl::StrAppend(&head, name, ": ", value, "\r\n");
    }
  }
  const bool has_body =
      response.status != kNoContent && response.status != kNotModified;
  is_chunked_ = has_body && !length.has_value() && !is_http_1_0_;
  if (is_chunked_) {
    absl::StrAppend(&head, "Transfer-Encoding: chunked\r\n");
  } else if (length.has_value() && has_body) {
    absl::StrAppend(&head, "Content-Length: ", *length, "\r\n");
  } else if (has_body) {
    keeps_alive_ = false;
  }
  keeps_alive_ = keeps_alive_ && !shared_->announces_close;
  if (!keeps_alive_) {
    absl::StrAppend(&head, "Connection: close\r\n");
  }
  head += "\r\n";
  return head;
}

void CallerConnection::Respond(const HttpResponse& response) {
  if (state_ != State::kResponding) {
    return;
  }
  std::string bytes = FormatHead(response, response.body.size());
  if (!is_head_request_) {
    bytes += response.body;
  }
  channel_->Write(bytes);
  FinishResponse();
}

void CallerConnection::StartResponse(const HttpResponse& head,
                                     std::optional<uint64_t> length) {
  if (state_ == State::kResponding) {
    channel_->Write(FormatHead(head, length));
  }
}

void CallerConnection::WriteBody(std::string_view bytes) {
  if (state_ != State::kResponding || bytes.empty() || is_head_request_) {
    return;
  }
  if (!is_chunked_) {
    channel_->Write(bytes);
    return;
  }
  channel_->Write(absl::StrCat(absl::Hex(bytes.size()), "\r\n",
                               absl::string_view(bytes.data(), bytes.size()),
                               "\r\n"));
}

void CallerConnection::EndResponse() {
  if (state_ != State::kResponding) {
    return;
  }
  if (is_chunked_ && !is_head_request_) {
    channel_->Write("0\r\n\r\n");
  }
  FinishResponse();
}

void CallerConnection::FinishResponse() {
  disconnected_ = nullptr;
  drained_ = nullptr;
  state_start_ = SteadyNow();
  reader_.reset();
  body_charge_.Set(0);
  body_charge_.SetKind(MemoryKind::kReading);
  if (!keeps_alive_ || !channel_->is_open()) {
    state_ = State::kClosing;
    input_ = std::string();
    ChargeInput();
    channel_->EndWriting();
    return;
  }
  state_ = State::kIdle;
  if (shared_->is_shutting_down) {
    // The response header was sent before the shutdown began and promised to
    // keep the connection open.
    CloseIfIdle();
  }
  idle_limit_ = shared_->limits.idle_timeout;
  channel_->SetReading(true);
  if (!input_.empty() && state_ == State::kIdle) {
    ReadRequests();
  }
}

void CallerConnection::OnEnded(const std::string& error) {
  end_error_ = error;
  const std::function<void()> disconnected =
      std::exchange(disconnected_, nullptr);
  Close();
  if (disconnected) {
    disconnected();
  }
}

bool CallerConnection::CloseIfCallerLeft() {
  if (state_ != State::kClosed && channel_->HasPeerEnded()) {
    OnEnded("");
  }
  return state_ == State::kClosed;
}

void CallerConnection::Abort() {
  if (state_ == State::kClosed) {
    return;
  }
  channel_->Reset();
  Close();
}

void CallerConnection::CloseIfIdle() {
  if (state_ == State::kIdle) {
    state_ = State::kHalfClosed;
    state_start_ = SteadyNow();
    channel_->EndWriting();
  }
}

Duration CallerConnection::CloseTimeout() const {
  return discards_request_ ? kDiscardTimeout : kCloseTimeout;
}

void CallerConnection::OnTick(TimePoint now) {
  const Duration age = now - state_start_;
  switch (state_) {
    case State::kIdle:
      if (age > std::max(idle_limit_, shared_->limits.idle_timeout)) {
        CloseIfIdle();
      }
      return;
    case State::kReading: {
      if (waiter_.has_value()) {
        TickWaiting(now);
        return;
      }
      const bool has_head = reader_->is_head_done();
      const bool blocks_others = has_room_ && now - granted_ > kMaxGrantTime &&
                                 shared_->memory.budget->waiting() > 0;
      if (blocks_others ||
          age > (has_head ? kBodyTimeout : shared_->limits.header_timeout)) {
        RejectRequest({.status = 408,
                       .code = "request_timeout",
                       .message = "the request was not received in time"});
      }
      return;
    }
    case State::kResponding:
      if (channel_->pending_bytes() > 0 &&
          now - channel_->last_progress() > kWriteTimeout) {
        OnEnded("nothing was received of the response for too long");
      }
      return;
    case State::kClosing:
    case State::kHalfClosed: {
      // While bytes are pending, their progress counts and not the age: a
      // caller may read them slowly.
      const Duration silence =
          now - std::max(state_start_, channel_->last_progress());
      if (silence >
          (channel_->pending_bytes() > 0 ? kWriteTimeout : CloseTimeout())) {
        Close();
      }
      return;
    }
    case State::kClosed:
      return;
  }
}

void CallerConnection::Close() {
  if (has_ended_) {
    return;
  }
  has_ended_ = true;
  state_ = State::kClosed;
  disconnected_ = nullptr;
  drained_ = nullptr;
  CancelWait();
  reader_.reset();
  input_ = std::string();
  ChargeInput();
  body_charge_.Set(0);
  channel_->Close();
  shared_->ended(this);
}

}  // namespace papaya
