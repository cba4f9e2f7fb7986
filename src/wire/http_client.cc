#include "include/wire/http_client.h"

#include <poll.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "include/base/error.h"
#include "include/wire/steady_time.h"
#include "src/wire/address.h"
#include "src/wire/http_convert.h"

namespace papaya {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr size_t kPieceBytes = size_t{16} * 1024;
constexpr uint32_t kMaxResponseHeaderBytes = 64 * 1024;
// Answers with more interim responses than this break the protocol.
constexpr int kMaxInterimResponses = 16;

absl::Status ToStatus(const error_code& error,
                      const char* step,
                      const std::string& peer) {
  if (!error) {
    return absl::OkStatus();
  }
  const ErrorOrigin origin{.step = step, .peer = peer};
  if (error == beast::error::timeout) {
    return MakeError(absl::StatusCode::kDeadlineExceeded, origin,
                     "no answer in time");
  }
  const bool broken_protocol =
      error.category() == make_error_code(http::error::bad_version).category();
  const absl::StatusCode code = broken_protocol &&
                                        error != http::error::end_of_stream &&
                                        error != http::error::partial_message
                                    ? absl::StatusCode::kInternal
                                    : absl::StatusCode::kUnavailable;
  return MakeError(code, origin, error.message());
}

class BeastHttpClient final : public HttpClient {
 public:
  BeastHttpClient(beast::tcp_stream stream, std::string address)
      : stream_(std::move(stream)), address_(std::move(address)) {}

  asio::awaitable<absl::Status> Send(const HttpRequest& request,
                                     TimePoint deadline) override {
    reusable_ = false;
    http::request<http::string_body> message = ToBeast(request);
    if (message.find(http::field::host) == message.end()) {
      message.set(http::field::host, address_);
    }
    message.prepare_payload();
    stream_.expires_at(ToSteadyClock(deadline));
    error_code error;
    co_await http::async_write(
        stream_, message, asio::redirect_error(asio::use_awaitable, error));
    co_return ToStatus(error, "http.send", address_);
  }

  asio::awaitable<absl::StatusOr<HttpResponse>> ReadHead(
      TimePoint deadline) override {
    stream_.expires_at(ToSteadyClock(deadline));
    for (int interim = 0; interim <= kMaxInterimResponses; ++interim) {
      parser_.emplace();
      parser_->header_limit(kMaxResponseHeaderBytes);
      parser_->body_limit(boost::none);
      error_code error;
      co_await http::async_read_header(
          stream_, buffer_, *parser_,
          asio::redirect_error(asio::use_awaitable, error));
      if (error) {
        co_return ToStatus(error, "http.read_head", address_);
      }
      const int status = static_cast<int>(parser_->get().result_int());
      if (!IsAnswerStatus(status)) {
        co_return MakeError(absl::StatusCode::kInternal,
                            {.step = "http.read_head", .peer = address_},
                            absl::StrCat("no answer has the status ", status));
      }
      if (!IsInterimStatus(status)) {
        HttpResponse head;
        head.status = status;
        head.headers = FromBeast(parser_->get());
        NoteEnd();
        co_return head;
      }
    }
    co_return MakeError(absl::StatusCode::kInternal,
                        {.step = "http.read_head", .peer = address_},
                        "too many interim responses");
  }

  asio::awaitable<absl::StatusOr<std::string>> ReadPiece(
      TimePoint deadline) override {
    std::string piece;
    while (piece.empty() && !parser_->is_done()) {
      piece.resize(kPieceBytes);
      parser_->get().body().data = piece.data();
      parser_->get().body().size = piece.size();
      parser_->get().body().more = true;
      stream_.expires_at(ToSteadyClock(deadline));
      error_code error;
      co_await http::async_read_some(
          stream_, buffer_, *parser_,
          asio::redirect_error(asio::use_awaitable, error));
      piece.resize(kPieceBytes - parser_->get().body().size);
      if (error && error != http::error::need_buffer) {
        co_return ToStatus(error, "http.read_body", address_);
      }
    }
    NoteEnd();
    co_return piece;
  }

  bool IsReusable() const override { return reusable_ && !HasInput(); }

  void Close() override {
    reusable_ = false;
    stream_.close();
  }

 private:
  // Remembers whether the connection outlives the answer that just ended.
  void NoteEnd() { reusable_ = parser_->is_done() && parser_->keep_alive(); }

  // True if the server has closed the connection or sent something unasked.
  bool HasInput() const {
    struct pollfd poll_fd = {
        .fd = const_cast<beast::tcp_stream&>(stream_).socket().native_handle(),
        .events = POLLIN,
        .revents = 0};
    return poll(&poll_fd, 1, 0) != 0;
  }

  beast::tcp_stream stream_;
  std::string address_;
  beast::flat_buffer buffer_;
  std::optional<http::response_parser<http::buffer_body>> parser_;
  bool reusable_ = true;
};

}  // namespace

asio::awaitable<absl::StatusOr<std::unique_ptr<HttpClient>>>
HttpClient::Connect(std::string address, TimePoint deadline) {
  const absl::StatusOr<asio::ip::tcp::endpoint> endpoint =
      ParseEndpoint(address);
  if (!endpoint.ok()) {
    co_return endpoint.status();
  }
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_at(ToSteadyClock(deadline));
  error_code error;
  co_await stream.async_connect(
      *endpoint, asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return ToStatus(error, "http.connect", address);
  }
  stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
  std::unique_ptr<HttpClient> client =
      std::make_unique<BeastHttpClient>(std::move(stream), address);
  co_return client;
}

std::unique_ptr<HttpClient> HttpClientPool::TakeIdle(
    const std::string& address) {
  std::vector<std::unique_ptr<HttpClient>>& idle = idle_[address];
  while (!idle.empty()) {
    std::unique_ptr<HttpClient> client = std::move(idle.back());
    idle.pop_back();
    if (client->IsReusable()) {
      return client;
    }
  }
  return nullptr;
}

void HttpClientPool::Shutdown() {
  max_idle_ = 0;
  idle_.clear();
}

void HttpClientPool::Give(const std::string& address,
                          std::unique_ptr<HttpClient> client) {
  std::vector<std::unique_ptr<HttpClient>>& idle = idle_[address];
  if (client->IsReusable() && std::ssize(idle) < max_idle_) {
    idle.push_back(std::move(client));
  }
}

namespace {

// Sends `request` over `client` and reads the whole answer.
asio::awaitable<absl::StatusOr<HttpResponse>> Exchange(
    HttpClient* client,
    const std::string& address,
    const HttpRequest& request,
    TimePoint deadline,
    Bytes max_bytes,
    std::function<void(size_t)> grown) {
  const absl::Status sent = co_await client->Send(request, deadline);
  if (!sent.ok()) {
    co_return sent;
  }
  absl::StatusOr<HttpResponse> response = co_await client->ReadHead(deadline);
  while (response.ok()) {
    const absl::StatusOr<std::string> piece =
        co_await client->ReadPiece(deadline);
    if (!piece.ok()) {
      co_return piece.status();
    }
    if (piece->empty()) {
      break;
    }
    response->body += *piece;
    if (grown) {
      grown(response->body.capacity());
    }
    if (std::ssize(response->body) > max_bytes.value()) {
      co_return MakeError(absl::StatusCode::kResourceExhausted,
                          {.step = "http.read_body", .peer = address},
                          "the answer is too long");
    }
  }
  co_return response;
}

}  // namespace

asio::awaitable<absl::StatusOr<HttpResponse>> FetchHttp(std::string address,
                                                        HttpRequest request,
                                                        TimePoint deadline,
                                                        Bytes max_bytes) {
  const absl::StatusOr<std::unique_ptr<HttpClient>> client =
      co_await HttpClient::Connect(address, deadline);
  if (!client.ok()) {
    co_return client.status();
  }
  co_return co_await Exchange(client->get(), address, request, deadline,
                              max_bytes, nullptr);
}

asio::awaitable<absl::StatusOr<HttpResponse>> FetchHttp(
    HttpClientPool* pool,
    std::string address,
    HttpRequest request,
    TimePoint deadline,
    Bytes max_bytes,
    std::function<void(size_t)> grown) {
  std::unique_ptr<HttpClient> client = pool->TakeIdle(address);
  if (client == nullptr) {
    absl::StatusOr<std::unique_ptr<HttpClient>> connected =
        co_await HttpClient::Connect(address, deadline);
    if (!connected.ok()) {
      co_return connected.status();
    }
    client = *std::move(connected);
  }
  absl::StatusOr<HttpResponse> response = co_await Exchange(
      client.get(), address, request, deadline, max_bytes, std::move(grown));
  if (response.ok()) {
    pool->Give(address, std::move(client));
  } else if (absl::IsDeadlineExceeded(response.status())) {
    pool->CloseIdle(address);
  }
  co_return response;
}

}  // namespace papaya
