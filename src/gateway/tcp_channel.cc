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
// The connection breaks if sent data stays unacknowledged for this long. It is
// below the 2 s after which callers abandon a silent stream.
constexpr int kUserTimeoutMs = 1800;
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

TcpChannel::TcpChannel(tcp::socket socket) : socket_(std::move(socket)) {
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
  AwaitInput();
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
  const size_t count = socket_.read_some(asio::buffer(buffer), error);
  if (error == asio::error::would_block || error == asio::error::interrupted) {
    AwaitInput();
    return;
  }
  if (error) {
    End(error == asio::error::eof, error.message());
    return;
  }
  if (hooks_->data) {
    // The hook may close the channel, which releases the hooks.
    const std::shared_ptr<const Hooks> hooks = hooks_;
    hooks->data(std::string_view(buffer.data(), count));
  }
  AwaitInput();
}

void TcpChannel::Write(std::string_view bytes) {
  if (!is_open() || has_failed_) {
    return;
  }
  if (pending_bytes() > 0) {
    pending_.append(bytes);
    return;
  }
  last_progress_ = SteadyNow();
  error_code error;
  size_t count = 0;
  if (!bytes.empty()) {
    count = socket_.write_some(asio::buffer(bytes.data(), bytes.size()), error);
  }
  if (error && error != asio::error::would_block) {
    Fail(error.message());
    return;
  }
  if (count < bytes.size()) {
    pending_.assign(bytes.substr(count));
    written_ = 0;
    AwaitWritable();
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
  const size_t count = socket_.write_some(
      asio::buffer(pending_.data() + written_, pending_bytes()), error);
  if (error && error != asio::error::would_block) {
    Fail(error.message());
    return false;
  }
  written_ += count;
  if (count > 0) {
    last_progress_ = SteadyNow();
  }
  if (pending_bytes() > 0) {
    return true;
  }
  pending_ = std::string();
  written_ = 0;
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
