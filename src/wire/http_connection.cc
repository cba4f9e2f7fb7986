#include "src/wire/http_connection.h"

#include <sys/socket.h>

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "include/base/error.h"
#include "src/wire/http_convert.h"

namespace papaya {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr size_t kFirstReadBytes = 2048;
// How much of a refused request is still read so that the answer arrives.
constexpr int64_t kLingerBytes = int64_t{4} << 20;
constexpr std::chrono::seconds kLingerTime{2};

struct FaultRow {
  http::error error;
  HttpFault fault;
};

const std::array<FaultRow, 2>& SizeFaults() {
  static const std::array<FaultRow, 2> rows = {{
      {http::error::header_limit,
       {431, "headers_too_large", "the request's headers are too large"}},
      {http::error::body_limit,
       {413, "body_too_large", "the request's body is too large"}},
  }};
  return rows;
}

HttpFault SlowSenderFault() {
  return {408, "slow_sender", "the request was not whole in time"};
}

// The answer to a failed read; empty if the caller just went away.
std::optional<HttpFault> FaultOf(const error_code& error) {
  for (const FaultRow& row : SizeFaults()) {
    if (error == row.error) {
      return row.fault;
    }
  }
  const bool is_http_error =
      error.category() == make_error_code(http::error::bad_version).category();
  if (!is_http_error || error == http::error::end_of_stream ||
      error == http::error::partial_message) {
    return std::nullopt;
  }
  return HttpFault{400, "malformed_request", error.message()};
}

std::string PeerName(const asio::ip::tcp::socket& socket) {
  error_code error;
  const asio::ip::tcp::endpoint peer = socket.remote_endpoint(error);
  return error ? std::string("unknown")
               : absl::StrCat(peer.address().to_string(), ":", peer.port());
}

template <typename Body>
void FillHead(const HttpResponse& from,
              bool keep_alive,
              http::response<Body>& to) {
  to.version(kHttp11);
  to.result(static_cast<unsigned>(from.status));
  AddToBeast(from.headers, to);
  to.keep_alive(keep_alive);
}

}  // namespace

HttpConnection::HttpConnection(asio::ip::tcp::socket socket,
                               std::shared_ptr<HttpServerShared> shared)
    : socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      shared_(std::move(shared)),
      peer_(PeerName(socket_)) {
  ++shared_->connections;
  error_code error;
  socket_.set_option(asio::ip::tcp::no_delay(true), error);
}

HttpConnection::~HttpConnection() {
  ReleaseBody();
  --shared_->connections;
}

void HttpConnection::Start() {
  asio::co_spawn(
      socket_.get_executor(),
      [self = shared_from_this()]() -> asio::awaitable<void> {
        co_await self->Run();
      },
      asio::detached);
}

void HttpConnection::CloseIfIdle() {
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    if (self->idle_) {
      self->Close();
    }
  });
}

void HttpConnection::Abort() {
  asio::post(socket_.get_executor(),
             [self = shared_from_this()] { self->Close(); });
}

asio::any_io_executor HttpConnection::executor() const {
  return const_cast<asio::ip::tcp::socket&>(socket_).get_executor();
}

asio::awaitable<void> HttpConnection::Run() {
  if (shared_->connections > shared_->options.max_connections) {
    const HttpFault fault = {503, "too_many_connections",
                             "this router has no connection left"};
    co_await SendFault(fault);
    co_return;
  }
  while (co_await WaitForRequest()) {
    idle_ = false;
    answered_ = false;
    const std::optional<HttpFault> fault = co_await ReadRequest();
    if (fault.has_value()) {
      co_await SendFault(*fault);
      co_return;
    }
    if (!socket_.is_open()) {
      co_return;
    }
    co_await shared_->handler(*this);
    caller_gone_ = nullptr;
    ReleaseBody();
    if (!answered_ || !keep_alive_) {
      break;
    }
    idle_ = true;
  }
  if (answered_ && socket_.is_open()) {
    co_await Linger();
  }
  Close();
}

asio::awaitable<bool> HttpConnection::WaitForRequest() {
  if (shared_->closing) {
    co_return false;
  }
  if (buffer_.size() > 0) {
    co_return true;
  }
  buffer_.shrink_to_fit();
  Arm(shared_->options.idle_timeout);
  error_code error;
  const size_t size = co_await socket_.async_read_some(
      buffer_.prepare(kFirstReadBytes),
      asio::redirect_error(asio::use_awaitable, error));
  buffer_.commit(size);
  co_return !error;
}

asio::awaitable<std::optional<HttpFault>> HttpConnection::ReadRequest() {
  Parser parser;
  parser.header_limit(
      static_cast<uint32_t>(shared_->options.max_header_bytes.value()));
  parser.body_limit(
      static_cast<uint64_t>(shared_->options.max_body_bytes.value()));
  Arm(shared_->options.read_timeout);
  error_code error;
  co_await http::async_read_header(
      socket_, buffer_, parser,
      asio::redirect_error(asio::use_awaitable, error));
  if (!error && !ReserveBody(parser)) {
    const HttpFault fault = {503, "memory_full",
                             "this router holds too many request bytes"};
    co_return fault;
  }
  if (!error) {
    error = co_await ReadBody(parser);
  }
  if (error) {
    const std::optional<HttpFault> fault =
        timed_out_ ? SlowSenderFault() : FaultOf(error);
    if (!fault.has_value()) {
      Close();
    }
    co_return fault;
  }
  Disarm();
  http::request<http::string_body> message = parser.release();
  keep_alive_ = message.keep_alive();
  request_.method = std::string(message.method_string());
  request_.target = std::string(message.target());
  request_.headers = FromBeast(message);
  request_.body = std::move(message.body());
  co_return std::nullopt;
}

asio::awaitable<error_code> HttpConnection::ReadBody(Parser& parser) {
  error_code error;
  const std::string expect(parser.get()[http::field::expect]);
  if (absl::EqualsIgnoreCase(expect, "100-continue")) {
    const std::string go_on = "HTTP/1.1 100 Continue\r\n\r\n";
    co_await asio::async_write(
        socket_, asio::buffer(go_on),
        asio::redirect_error(asio::use_awaitable, error));
  }
  if (!error) {
    co_await http::async_read(socket_, buffer_, parser,
                              asio::redirect_error(asio::use_awaitable, error));
  }
  co_return error;
}

bool HttpConnection::ReserveBody(const Parser& parser) {
  const boost::optional<uint64_t> length = parser.content_length();
  const int64_t whole = shared_->options.max_body_bytes.value();
  reserved_bytes_ = length.has_value()
                        ? static_cast<int64_t>(*length)
                        : (parser.chunked() ? whole : int64_t{0});
  const int64_t held = shared_->buffered_bytes += reserved_bytes_;
  return held <= shared_->options.max_buffered_bytes.value();
}

void HttpConnection::ReleaseBody() {
  shared_->buffered_bytes -= std::exchange(reserved_bytes_, 0);
}

asio::awaitable<void> HttpConnection::SendFault(const HttpFault& fault) {
  keep_alive_ = false;
  const absl::Status sent = co_await Respond(shared_->on_fault(fault));
  if (sent.ok()) {
    co_await Linger();
  }
  Close();
}

asio::awaitable<void> HttpConnection::Linger() {
  error_code error;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, error);
  Arm(kLingerTime);
  std::string scratch(kFirstReadBytes, '\0');
  int64_t total = 0;
  while (!error && total < kLingerBytes) {
    total += static_cast<int64_t>(co_await socket_.async_read_some(
        asio::buffer(scratch),
        asio::redirect_error(asio::use_awaitable, error)));
  }
}

asio::awaitable<absl::Status> HttpConnection::Respond(HttpResponse response) {
  http::response<http::string_body> message;
  keep_alive_ = keep_alive_ && !shared_->closing;
  FillHead(response, keep_alive_, message);
  message.body() = std::move(response.body);
  message.prepare_payload();
  Arm(shared_->options.write_timeout);
  error_code error;
  co_await http::async_write(socket_, message,
                             asio::redirect_error(asio::use_awaitable, error));
  answered_ = !error;
  co_return WriteStatus(error);
}

asio::awaitable<absl::Status> HttpConnection::StartStream(HttpResponse head) {
  http::response<http::empty_body> message;
  keep_alive_ = keep_alive_ && !shared_->closing;
  FillHead(head, keep_alive_, message);
  message.chunked(true);
  http::response_serializer<http::empty_body> serializer(message);
  Arm(shared_->options.write_timeout);
  error_code error;
  co_await http::async_write_header(
      socket_, serializer, asio::redirect_error(asio::use_awaitable, error));
  co_return WriteStatus(error);
}

asio::awaitable<absl::Status> HttpConnection::Write(std::string piece) {
  if (piece.empty()) {
    co_return absl::OkStatus();
  }
  Arm(shared_->options.write_timeout);
  error_code error;
  co_await asio::async_write(socket_, http::make_chunk(asio::buffer(piece)),
                             asio::redirect_error(asio::use_awaitable, error));
  co_return WriteStatus(error);
}

asio::awaitable<absl::Status> HttpConnection::EndStream() {
  Arm(shared_->options.write_timeout);
  error_code error;
  co_await asio::async_write(socket_, http::make_chunk_last(),
                             asio::redirect_error(asio::use_awaitable, error));
  answered_ = !error;
  co_return WriteStatus(error);
}

void HttpConnection::OnCallerGone(std::function<void()> gone) {
  caller_gone_ = std::move(gone);
  if (caller_gone_ != nullptr && !watching_ && buffer_.size() == 0) {
    WatchCaller();
  }
}

void HttpConnection::WatchCaller() {
  watching_ = true;
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [weak = weak_from_this()](const error_code& error) {
                       const std::shared_ptr<HttpConnection> self = weak.lock();
                       if (self == nullptr) {
                         return;
                       }
                       self->watching_ = false;
                       if (self->caller_gone_ == nullptr) {
                         return;
                       }
                       char byte = 0;
                       const bool has_data =
                           !error && recv(self->socket_.native_handle(), &byte,
                                          1, MSG_PEEK | MSG_DONTWAIT) > 0;
                       if (!has_data) {
                         std::exchange(self->caller_gone_, nullptr)();
                       }
                     });
}

absl::Status HttpConnection::WriteStatus(const error_code& error) {
  Disarm();
  if (!error) {
    return absl::OkStatus();
  }
  keep_alive_ = false;
  return MakeError(absl::StatusCode::kUnavailable,
                   {.step = "http.answer", .peer = peer_}, error.message());
}

void HttpConnection::Arm(Duration timeout) {
  timed_out_ = false;
  timer_.expires_after(
      std::chrono::duration_cast<asio::steady_timer::duration>(timeout));
  timer_.async_wait([weak = weak_from_this()](const error_code& error) {
    const std::shared_ptr<HttpConnection> self = weak.lock();
    if (error || self == nullptr ||
        self->timer_.expiry() > asio::steady_timer::clock_type::now()) {
      return;
    }
    self->timed_out_ = true;
    error_code ignored;
    self->socket_.cancel(ignored);
  });
}

void HttpConnection::Disarm() {
  timer_.expires_at(asio::steady_timer::time_point::max());
}

void HttpConnection::Close() {
  error_code ignored;
  socket_.close(ignored);
  Disarm();
}

}  // namespace papaya
