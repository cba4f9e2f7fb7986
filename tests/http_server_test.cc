#include "include/wire/http_server.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"
#include "include/wire/http_client.h"
#include "include/wire/http_exchange.h"
#include "tests/fakes/canned_server.h"
#include "tests/loopback.h"

namespace papaya {
namespace {

namespace asio = boost::asio;

HttpResponse FaultText(const HttpFault& fault) {
  HttpResponse response;
  response.status = fault.status;
  response.body = fault.code;
  return response;
}

asio::awaitable<void> Echo(HttpExchange& exchange) {
  const HttpRequest request = exchange.TakeRequest();
  HttpResponse response;
  response.body =
      absl::StrCat(request.method, " ", request.target, " ", request.body);
  (co_await exchange.Respond(std::move(response))).IgnoreError();
}

// The whole body of the next answer.
asio::awaitable<std::string> ReadAnswer(HttpClient& client) {
  const absl::StatusOr<HttpResponse> head =
      co_await client.ReadHead(TestDeadline());
  REQUIRE(head.ok());
  std::string body;
  while (true) {
    const absl::StatusOr<std::string> piece =
        co_await client.ReadPiece(TestDeadline());
    REQUIRE(piece.ok());
    if (piece->empty()) {
      co_return body;
    }
    body += *piece;
  }
}

asio::awaitable<std::string> Fetch(HttpClient& client,
                                   const HttpRequest& request) {
  const absl::Status sent = co_await client.Send(request, TestDeadline());
  REQUIRE(sent.ok());
  co_return co_await ReadAnswer(client);
}

// A server with small bounds, and a raw connection to it.
class ServerFixture {
 public:
  explicit ServerFixture(HttpServer::Handler handler = &Echo) {
    HttpServerOptions options;
    options.address = "127.0.0.1:0";
    options.max_connections = 2;
    options.max_header_bytes = Bytes(512);
    options.max_body_bytes = Bytes(1024);
    options.max_buffered_bytes = Bytes(1500);
    options.read_timeout = std::chrono::milliseconds(200);
    server_ =
        std::make_unique<HttpServer>(std::vector<asio::io_context*>{&context_},
                                     options, std::move(handler), &FaultText);
    REQUIRE(server_->Start().ok());
  }

  std::string address() const { return LoopbackAddress(server_->port()); }

  asio::ip::tcp::socket ConnectRaw() {
    asio::ip::tcp::socket socket(context_);
    socket.connect(asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(),
                                           server_->port()));
    return socket;
  }

  // Sends `bytes` and returns all that comes until the server closes.
  std::string Exchange(const std::string& bytes) {
    std::string answer;
    RunOn(context_, [this, &bytes, &answer]() -> asio::awaitable<void> {
      asio::ip::tcp::socket socket = ConnectRaw();
      boost::system::error_code error;
      co_await asio::async_write(
          socket, asio::buffer(bytes),
          asio::redirect_error(asio::use_awaitable, error));
      co_await asio::async_read(
          socket, asio::dynamic_buffer(answer),
          asio::redirect_error(asio::use_awaitable, error));
    });
    return answer;
  }

  // All that comes on `socket` until the server closes it.
  std::string ReadAll(asio::ip::tcp::socket& socket) {
    std::string answer;
    RunOn(context_, [&socket, &answer]() -> asio::awaitable<void> {
      boost::system::error_code error;
      co_await asio::async_read(
          socket, asio::dynamic_buffer(answer),
          asio::redirect_error(asio::use_awaitable, error));
    });
    return answer;
  }

  asio::io_context context_;
  std::unique_ptr<HttpServer> server_;
};

TEST_CASE("HttpServer: answers several requests on one connection", "[wire]") {
  ServerFixture fixture;
  RunOn(fixture.context_, [&fixture]() -> asio::awaitable<void> {
    absl::StatusOr<std::unique_ptr<HttpClient>> client =
        co_await HttpClient::Connect(fixture.address(), TestDeadline());
    REQUIRE(client.ok());
    for (int i = 0; i < 3; ++i) {
      HttpRequest request;
      request.method = "POST";
      request.target = absl::StrCat("/n/", i);
      request.body = "hello";
      const std::string body = co_await Fetch(**client, request);
      CHECK(body == absl::StrCat("POST /n/", i, " hello"));
      CHECK((*client)->IsReusable());
    }
  });
}

// Guards against a status that the protocol does not have, and against interim
// responses that are taken for the final one.
TEST_CASE("HttpClient: tells answers from what is none", "[wire]") {
  constexpr char kEmpty[] = " X\r\nContent-Length: 0\r\n\r\n";
  constexpr char kInterim[] = "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n";
  const std::string status = GENERATE("000", "101", "600", "204", "599");
  boost::asio::io_context context;
  CannedServer server(context,
                      absl::StrCat(kInterim, "HTTP/1.1 ", status, kEmpty));
  RunOn(context, [&]() -> boost::asio::awaitable<void> {
    const absl::StatusOr<HttpResponse> response =
        co_await FetchHttp(LoopbackAddress(server.endpoint().port()),
                           HttpRequest(), TestDeadline());
    if (status == "204" || status == "599") {
      CHECK(response.ok());
      CHECK(absl::StrCat(response.ok() ? response->status : 0) == status);
    } else {
      CHECK(response.status().code() == absl::StatusCode::kInternal);
    }
  });
}

TEST_CASE("HttpServer: each bad input has its answer", "[wire]") {
  using Catch::StartsWith;
  ServerFixture fixture;
  CHECK_THAT(fixture.Exchange("nonsense\r\n\r\n"), StartsWith("HTTP/1.1 400"));
  CHECK_THAT(fixture.Exchange(absl::StrCat(
                 "GET / HTTP/1.1\r\nx: ", std::string(600, 'a'), "\r\n\r\n")),
             StartsWith("HTTP/1.1 431"));
  CHECK_THAT(
      fixture.Exchange("POST / HTTP/1.1\r\nContent-Length: 2000\r\n\r\n"),
      StartsWith("HTTP/1.1 413"));
  CHECK_THAT(fixture.Exchange("POST / HTTP/1.1\r\nTransfer-Encoding: "
                              "chunked\r\n\r\n" +
                              absl::StrCat("7d0\r\n", std::string(2000, 'a'),
                                           "\r\n0\r\n\r\n")),
             StartsWith("HTTP/1.1 413"));
  CHECK_THAT(
      fixture.Exchange("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc"),
      StartsWith("HTTP/1.1 408"));
  CHECK_THAT(fixture.Exchange("GET / HTT"), StartsWith("HTTP/1.1 408"));
}

TEST_CASE("HttpServer: refuses what passes its memory or its connections",
          "[wire]") {
  using Catch::StartsWith;
  ServerFixture fixture;
  asio::ip::tcp::socket slow = fixture.ConnectRaw();
  const std::string part = "POST / HTTP/1.1\r\nContent-Length: 1000\r\n\r\nabc";
  asio::write(slow, asio::buffer(part));
  CHECK_THAT(
      fixture.Exchange("POST / HTTP/1.1\r\nContent-Length: 1000\r\n\r\n"),
      StartsWith("HTTP/1.1 503"));
  asio::ip::tcp::socket first = fixture.ConnectRaw();
  asio::ip::tcp::socket second = fixture.ConnectRaw();
  CHECK_THAT(fixture.Exchange("GET / HTTP/1.1\r\n\r\n"),
             StartsWith("HTTP/1.1 503"));
}

TEST_CASE("HttpServer: an unfinished stream is never taken for a whole one",
          "[wire]") {
  ServerFixture fixture([](HttpExchange& exchange) -> asio::awaitable<void> {
    (co_await exchange.StartStream(HttpResponse())).IgnoreError();
    (co_await exchange.Write("part")).IgnoreError();
  });
  RunOn(fixture.context_, [&fixture]() -> asio::awaitable<void> {
    HttpRequest request;
    const absl::StatusOr<HttpResponse> response =
        co_await FetchHttp(fixture.address(), request, TestDeadline());
    CHECK(response.status().code() == absl::StatusCode::kUnavailable);
  });
}

TEST_CASE("HttpServer: tells the handler that its caller is gone", "[wire]") {
  bool told = false;
  ServerFixture fixture(
      [&told](HttpExchange& exchange) -> asio::awaitable<void> {
        asio::steady_timer waiting(exchange.executor());
        waiting.expires_at(asio::steady_timer::time_point::max());
        exchange.OnCallerGone([&told, &waiting] {
          told = true;
          waiting.cancel();
        });
        boost::system::error_code error;
        co_await waiting.async_wait(
            asio::redirect_error(asio::use_awaitable, error));
      });
  {
    asio::ip::tcp::socket caller = fixture.ConnectRaw();
    const std::string bytes = "GET / HTTP/1.1\r\n\r\n";
    asio::write(caller, asio::buffer(bytes));
  }
  while (!told) {
    fixture.context_.run_one();
  }
  CHECK(told);
}

TEST_CASE(
    "HttpServer: StopAccepting closes idle connections and lets the others "
    "answer",
    "[wire]") {
  std::vector<std::shared_ptr<asio::steady_timer>> held;
  ServerFixture fixture(
      [&held](HttpExchange& exchange) -> asio::awaitable<void> {
        const auto until_told =
            std::make_shared<asio::steady_timer>(exchange.executor());
        until_told->expires_at(asio::steady_timer::time_point::max());
        held.push_back(until_told);
        boost::system::error_code error;
        co_await until_told->async_wait(
            asio::redirect_error(asio::use_awaitable, error));
        co_await Echo(exchange);
      });
  asio::ip::tcp::socket idle = fixture.ConnectRaw();
  asio::ip::tcp::socket busy = fixture.ConnectRaw();
  const std::string request = "GET / HTTP/1.1\r\n\r\n";
  asio::write(busy, asio::buffer(request));
  while (held.empty() || fixture.server_->connections() < 2) {
    fixture.context_.run_one();
  }
  fixture.server_->StopAccepting();
  const std::string from_idle = fixture.ReadAll(idle);
  CHECK(from_idle.empty());
  held.front()->cancel();
  const std::string from_busy = fixture.ReadAll(busy);
  CHECK_THAT(from_busy, Catch::EndsWith("GET / "));
  CHECK_THAT(from_busy, Catch::Contains("Connection: close"));
  // Timers must not outlive the context.
  held.clear();
}

}  // namespace
}  // namespace papaya
