#ifndef SRC_WIRE_HTTP_CONNECTION_H_
#define SRC_WIRE_HTTP_CONNECTION_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "include/wire/http_exchange.h"
#include "include/wire/http_server.h"

namespace papaya {

// What all connections of one HttpServer share. Connections may outlive their
// server.
struct HttpServerShared {
  HttpServerOptions options;
  HttpServer::Handler handler;
  HttpServer::FaultHook on_fault;
  std::atomic<bool> closing = false;
  std::atomic<int> connections = 0;
  std::atomic<int64_t> buffered_bytes = 0;
};

// One connection of an HttpServer. Lives on one thread, kept alive by its own
// coroutine.
class HttpConnection final
    : public HttpExchange,
      public std::enable_shared_from_this<HttpConnection> {
 public:
  HttpConnection(boost::asio::ip::tcp::socket socket,
                 std::shared_ptr<HttpServerShared> shared);
  ~HttpConnection() override;

  // Serves requests until the connection ends. Needs a shared_ptr to this.
  void Start();

  // Closes the connection if it has no request. Any thread.
  void CloseIfIdle();

  // Cuts the connection. Any thread.
  void Abort();

  const HttpRequest& request() const override { return request_; }
  HttpRequest TakeRequest() override { return std::move(request_); }
  boost::asio::any_io_executor executor() const override;
  boost::asio::awaitable<absl::Status> Respond(HttpResponse response) override;
  boost::asio::awaitable<absl::Status> StartStream(HttpResponse head) override;
  boost::asio::awaitable<absl::Status> Write(std::string piece) override;
  boost::asio::awaitable<absl::Status> EndStream() override;
  void OnCallerGone(std::function<void()> gone) override;

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  boost::asio::awaitable<void> Run();
  // Waits for the first byte of a request; false if the connection ended.
  boost::asio::awaitable<bool> WaitForRequest();
  // Reads one request into request_; a fault if it is refused. Neither the one
  // nor the other if the connection ended.
  boost::asio::awaitable<std::optional<HttpFault>> ReadRequest();
  boost::asio::awaitable<boost::system::error_code> ReadBody(Parser& parser);
  boost::asio::awaitable<void> SendFault(const HttpFault& fault);
  // Ends the connection so that the last answer still arrives.
  boost::asio::awaitable<void> Linger();
  // Reserves the memory of a body; false if the server has none left.
  bool ReserveBody(const Parser& parser);
  void ReleaseBody();
  void WatchCaller();
  absl::Status WriteStatus(const boost::system::error_code& error);
  // Cancels all waits on the socket after `timeout`, unless Disarm comes first.
  // Unlike Beast's own timeouts this leaves the socket open for an answer.
  void Arm(Duration timeout);
  void Disarm();
  void Close();

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::shared_ptr<HttpServerShared> shared_;
  boost::beast::flat_buffer buffer_;
  std::string peer_;
  HttpRequest request_;
  std::function<void()> caller_gone_;
  int64_t reserved_bytes_ = 0;
  bool keep_alive_ = true;
  bool answered_ = false;
  bool idle_ = true;
  bool watching_ = false;
  bool timed_out_ = false;
};

}  // namespace papaya

#endif  // SRC_WIRE_HTTP_CONNECTION_H_
