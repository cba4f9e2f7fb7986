#include "src/gateway/tcp_channel.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <cerrno>
#include <utility>

#include "include/wire/steady_time.h"

namespace papaya {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr size_t kReadBytes = size_t{64} * 1024;
// Read at once from an upstream under a memory limit: what may be added to the
// response of a caller that takes nothing.
constexpr size_t kLimitedReadBytes = size_t{16} * 1024;
// SO_RCVBUF under a memory limit. The system doubles it for its own overhead,
// so it bounds the unread bytes of a connection to twice the value. Without it
// the system grows the queue to several megabytes.
constexpr int kLimitedReceiveBuffer = 32 * 1024;
// Queued copies are joined up to this size. A segment's memory is freed when it
// is sent, also if the queue never becomes empty.
constexpr size_t kSegmentBytes = size_t{16} * 1024;
// Bodies up to this size are sent together with their head by one system call
// and one copy.
constexpr size_t kJoinedBodyBytes = size_t{16} * 1024;
// The connection breaks if sent data stays unacknowledged for this long.
constexpr int kUserTimeoutMs =
    static_cast<int>(AckWatch::kTimeout / std::chrono::milliseconds(1));
// Time without data before keep-alive probes are sent, their interval, and the
// number of unanswered probes after which the connection breaks.
constexpr int kKeepAliveIdleS = 2;
constexpr int kKeepAliveIntervalS = 1;
constexpr int kKeepAliveProbes = 2;

// All connections of a thread share one read buffer because only one of them
// reads at a time.
std::array<char, kReadBytes>& ReadBuffer() {
  thread_local std::array<char, kReadBytes> buffer;
  return buffer;
}

void SetOptions(tcp::socket* socket) {
  error_code ignored;
  socket->non_blocking(true, ignored);
  socket->set_option(tcp::no_delay(true), ignored);
  socket->set_option(asio::socket_base::keep_alive(true), ignored);
  const int handle = socket->native_handle();
  const std::array<std::pair<int, int>, 4> options = {
      {{TCP_USER_TIMEOUT, kUserTimeoutMs},
       {TCP_KEEPIDLE, kKeepAliveIdleS},
       {TCP_KEEPINTVL, kKeepAliveIntervalS},
       {TCP_KEEPCNT, kKeepAliveProbes}}};
  // Errors are ignored: without one of these options, dead connections are only
  // noticed later.
  for (const auto& [name, value] : options) {
    setsockopt(handle, IPPROTO_TCP, name, &value, sizeof(value));
  }
}

}  // namespace

TcpChannel::TcpChannel(tcp::socket socket)
    : socket_(std::move(socket)),
      ack_timer_(socket_.get_executor()),
      read_bytes_(kReadBytes) {
  SetOptions(&socket_);
}

void TcpChannel::Connect(const tcp::endpoint& endpoint,
                         std::function<void(const std::string&)> connected) {
  socket_.async_connect(
      endpoint, [self = shared_from_this(),
                 connected = std::move(connected)](const error_code& error) {
        if (self->is_open() && error != asio::error::operation_aborted) {
          connected(error ? error.message() : "");
        }
      });
}

void TcpChannel::Start(Hooks hooks) {
  hooks_ = std::make_shared<const Hooks>(std::move(hooks));
  is_started_ = true;
  last_progress_ = SteadyNow();
  StartAckWatch();
  AwaitInput();
}

void TcpChannel::StartAckWatch() {
  watches_acks_ =
      is_open() && ReadSendState(socket_.native_handle()).has_value();
  if (!watches_acks_) {
    return;
  }
  // Linux also breaks a connection after this time if the peer keeps its window
  // closed, though it answers all probes.
  constexpr int kNoTimeout = 0;
  setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
             &kNoTimeout, sizeof(kNoTimeout));
}

void TcpChannel::AwaitAckCheck(Duration delay) {
  ack_timer_.expires_after(
      std::chrono::duration_cast<asio::steady_timer::duration>(delay));
  ack_timer_.async_wait([weak = weak_from_this()](const error_code& error) {
    const std::shared_ptr<TcpChannel> self = weak.lock();
    if (!error && self != nullptr) {
      self->CheckAcks();
    }
  });
}

void TcpChannel::CheckAcks() {
  if (!is_open() || has_failed_) {
    return;
  }
  const std::optional<SendState> state = ReadSendState(socket_.native_handle());
  if (!state.has_value()) {
    return;
  }
  const TimePoint now = SteadyNow();
  const AckWatch::Decision decision = ack_watch_.Check(
      *state, static_cast<int64_t>(pending_bytes_), taken_bytes_, now);
  if (decision.has_progress) {
    last_progress_ = now;
  }
  if (decision.is_dead) {
    // What the system still holds must not arrive later.
    error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    Fail("the peer acknowledges nothing");
    return;
  }
  if (decision.next_check.has_value()) {
    AwaitAckCheck(*decision.next_check);
  }
}

template <typename Buffers>
size_t TcpChannel::WriteSome(const Buffers& buffers, error_code* error) {
  const size_t count = socket_.write_some(buffers, *error);
  taken_bytes_ += static_cast<int64_t>(count);
  if (count > 0 && watches_acks_) {
    const std::optional<Duration> check = ack_watch_.OnWrite(SteadyNow());
    if (check.has_value()) {
      AwaitAckCheck(*check);
    }
  }
  return count;
}

void TcpChannel::AwaitInput() {
  if (!is_started_ || !is_reading_ || is_awaiting_input_ || !is_open()) {
    return;
  }
  is_awaiting_input_ = true;
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this()](const error_code& error) {
                       self->is_awaiting_input_ = false;
                       if (!error && self->is_reading_) {
                         self->ReadInput();
                       }
                     });
}

void TcpChannel::ReadInput() {
  if (!is_open()) {
    return;
  }
  error_code error;
  std::array<char, kReadBytes>& buffer = ReadBuffer();
  const size_t count =
      socket_.read_some(asio::buffer(buffer.data(), read_bytes_), error);
  if (error == asio::error::would_block || error == asio::error::interrupted) {
    AwaitInput();
    return;
  }
  if (error) {
    // A failed write has taken the error of the connection off the socket, so
    // that a reset reads as an orderly end now. Fail reports the end.
    if (!has_failed_) {
      End(error == asio::error::eof, error.message());
    }
    return;
  }
  if (hooks_->data) {
    // The hook may close the channel, which releases the hooks.
    const std::shared_ptr<const Hooks> hooks = hooks_;
    hooks->data(std::string_view(buffer.data(), count));
  }
  AwaitInput();
}

void TcpChannel::SetMemory(const std::shared_ptr<MemoryBudget>& budget,
                           MemoryKind pending,
                           bool charges_unread) {
  pending_charge_ = MemoryCharge(budget, pending);
  unread_charge_ = MemoryCharge(budget, MemoryKind::kUnread);
  if (budget == nullptr || !budget->is_limited()) {
    return;
  }
  charges_unread_ = charges_unread;
  error_code ignored;
  socket_.set_option(
      asio::socket_base::receive_buffer_size(kLimitedReceiveBuffer), ignored);
  if (!charges_unread) {
    read_bytes_ = kLimitedReadBytes;
  }
}

void TcpChannel::Write(std::string_view bytes) {
  Write(bytes, nullptr);
}

void TcpChannel::Write(std::string_view head,
                       std::shared_ptr<const std::string> body) {
  if (!is_open() || has_failed_) {
    return;
  }
  std::string joined;
  if (body != nullptr && body->size() <= kJoinedBodyBytes) {
    joined.reserve(head.size() + body->size());
    joined.append(head).append(*body);
    head = joined;
    body = nullptr;
  }
  const std::string_view shared =
      body != nullptr ? std::string_view(*body) : std::string_view();
  size_t count = 0;
  if (pending_bytes() == 0) {
    last_progress_ = SteadyNow();
    error_code error;
    if (!shared.empty()) {
      const std::array<asio::const_buffer, 2> parts = {
          asio::buffer(head.data(), head.size()),
          asio::buffer(shared.data(), shared.size())};
      count = WriteSome(parts, &error);
    } else if (!head.empty()) {
      count = WriteSome(asio::buffer(head.data(), head.size()), &error);
    }
    if (error && error != asio::error::would_block) {
      Fail(error.message());
      return;
    }
  }
  if (count < head.size()) {
    QueueCopy(head.substr(count));
    count = 0;
  } else {
    count -= head.size();
  }
  if (count < shared.size()) {
    QueueShared(std::move(body));
    PopSent(count);
  }
  pending_charge_.Set(own_bytes_);
  if (pending_bytes() > 0) {
    AwaitWritable();
  }
}

void TcpChannel::QueueCopy(std::string_view bytes) {
  const bool joins = !pending_.empty() && pending_.back().shared == nullptr &&
                     pending_.back().own.size() + bytes.size() <= kSegmentBytes;
  if (!joins) {
    pending_.emplace_back();
  }
  std::string& own = pending_.back().own;
  const size_t before = joins ? own.capacity() : 0;
  own.append(bytes);
  own_bytes_ += static_cast<int64_t>(own.capacity() - before);
  pending_bytes_ += bytes.size();
}

void TcpChannel::QueueShared(std::shared_ptr<const std::string> bytes) {
  pending_bytes_ += bytes->size();
  pending_.push_back({.shared = std::move(bytes), .own = {}});
}

void TcpChannel::PopSent(size_t count) {
  pending_bytes_ -= count;
  written_ += count;
  while (!pending_.empty() && written_ >= pending_.front().bytes().size()) {
    const Segment& front = pending_.front();
    written_ -= front.bytes().size();
    if (front.shared == nullptr) {
      own_bytes_ -= static_cast<int64_t>(front.own.capacity());
    }
    pending_.pop_front();
  }
}

void TcpChannel::AwaitWritable() {
  if (is_awaiting_writable_ || !is_open()) {
    return;
  }
  is_awaiting_writable_ = true;
  socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](
                                                  const error_code& error) {
    self->is_awaiting_writable_ = false;
    if (!error && self->WritePending() && self->pending_bytes() > 0) {
      self->AwaitWritable();
    }
  });
}

bool TcpChannel::WritePending() {
  if (!is_open() || has_failed_) {
    return false;
  }
  error_code error;
  while (pending_bytes() > 0 && !error) {
    const std::string_view left = pending_.front().bytes().substr(written_);
    const size_t count =
        WriteSome(asio::buffer(left.data(), left.size()), &error);
    if (error && error != asio::error::would_block) {
      Fail(error.message());
      return false;
    }
    PopSent(count);
    if (count > 0) {
      last_progress_ = SteadyNow();
    }
    if (count < left.size()) {
      break;
    }
  }
  pending_charge_.Set(own_bytes_);
  if (pending_bytes() > 0) {
    return true;
  }
  if (ends_writing_) {
    EndWriting();
  }
  if (hooks_->drained) {
    const std::shared_ptr<const Hooks> hooks = hooks_;
    hooks->drained();
  }
  return true;
}

void TcpChannel::SetReading(bool is_reading) {
  is_reading_ = is_reading;
  if (charges_unread_) {
    unread_charge_.Set(is_reading || !is_open() ? 0
                                                : 2 * kLimitedReceiveBuffer);
  }
  AwaitInput();
}

bool TcpChannel::HasPeerEnded() {
  if (!is_open()) {
    return true;
  }
  pollfd state = {.fd = socket_.native_handle(),
                  .events = POLLIN | POLLRDHUP,
                  .revents = 0};
  if (poll(&state, 1, 0) <= 0) {
    return false;
  }
  if ((state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) {
    return true;
  }
  // Systems without POLLRDHUP report an end as readable.
  char byte = 0;
  const ssize_t count = recv(state.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK &&
                        errno != EINTR);
}

std::optional<Duration> TcpChannel::TimeSinceReceived() {
  tcp_info info = {};
  socklen_t size = sizeof(info);
  if (!is_open() || getsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_INFO,
                               &info, &size) != 0) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(info.tcpi_last_data_recv);
}

void TcpChannel::EndWriting() {
  ends_writing_ = true;
  if (is_open() && pending_bytes() == 0) {
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
  }
}

void TcpChannel::Close() {
  error_code ignored;
  socket_.close(ignored);
  ack_timer_.cancel();
  pending_.clear();
  written_ = 0;
  pending_bytes_ = 0;
  own_bytes_ = 0;
  pending_charge_.Set(0);
  unread_charge_.Set(0);
  hooks_ = std::make_shared<const Hooks>();
}

void TcpChannel::Reset() {
  if (is_open()) {
    error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  }
  Close();
}

void TcpChannel::Fail(const std::string& error) {
  if (has_failed_) {
    return;
  }
  has_failed_ = true;
  asio::post(socket_.get_executor(),
             [self = shared_from_this(), error] { self->End(false, error); });
}

void TcpChannel::End(bool is_orderly, const std::string& error) {
  is_started_ = false;
  const std::shared_ptr<const Hooks> hooks =
      std::exchange(hooks_, std::make_shared<const Hooks>());
  if (hooks->ended) {
    hooks->ended(is_orderly, error);
  }
}

}  // namespace papaya
