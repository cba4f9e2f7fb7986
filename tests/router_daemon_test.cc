#include "include/daemon/router_daemon.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include "include/wire/http_client.h"
#include "src/standin/standin_handler.h"
#include "tests/loopback.h"
#include "tests/router_harness.h"

namespace papaya {
namespace {

namespace asio = boost::asio;
using Catch::Contains;

asio::awaitable<void> RespondOk(HttpExchange& exchange) {
  HttpResponse response;
  response.body = exchange.request().method + " " + exchange.request().target +
                  " " + exchange.request().body;
  (co_await exchange.Respond(std::move(response))).IgnoreError();
}

asio::awaitable<void> RespondStream(HttpExchange& exchange) {
  co_await SendStream(exchange, 0, 5);
}

// Waits until `timer`, which never expires, is cancelled.
asio::awaitable<void> Cancelled(asio::steady_timer& timer) {
  boost::system::error_code cancelled;
  co_await timer.async_wait(
      asio::redirect_error(asio::use_awaitable, cancelled));
}

asio::awaitable<void> CloseAfterAccepting(HttpExchange&) {
  co_return;
}

TEST_CASE("RouterDaemon: serves buffered and streamed chat responses",
          "[daemon][threads]") {
  FakeUpstream engine(RouterHarness::context(),
                      [](HttpExchange& exchange) -> asio::awaitable<void> {
                        const bool stream = exchange.request().headers.Find(
                                                "papaya-stream-id") != nullptr;
                        if (stream) {
                          co_await RespondStream(exchange);
                          co_return;
                        }
                        co_await RespondOk(exchange);
                      });
  RouterHarness router({RouterHarness::Engine("e1", engine)});
  router.Run([&]() -> asio::awaitable<void> {
    HttpRequest chat = RouterHarness::Chat(false);
    chat.headers.Set("traceparent",
                     "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01");
    const HttpResponse whole = co_await router.Fetch(chat);
    INFO(whole.body);
    REQUIRE(whole.status == 200);
    CHECK(whole.headers.Get("papaya-outcome") == "ran");
    CHECK(whole.headers.Get("papaya-upstream") == "e1");
    CHECK(whole.headers.Get("papaya-version") == "v1");
    CHECK_THAT(engine.received().back().headers.Get("traceparent"),
               Contains("0af7651916cd43dd8448eb211c80319c"));
    CHECK(engine.received().back().headers.Find("Authorization") == nullptr);
    const HttpResponse streamed =
        co_await router.Fetch(RouterHarness::Chat(true));
    CHECK(streamed.body == StreamText(0, 5) + "id: 5\ndata: [DONE]\n\n");
    CHECK_THAT(streamed.headers.Get("papaya-stream-id"), Contains("e1~"));
  });
}

TEST_CASE("RouterDaemon: forwards path and body to a plain service",
          "[daemon][threads]") {
  FakeUpstream service(RouterHarness::context(), &RespondOk);
  RouterHarness router({RouterHarness::Service("b1", service)});
  router.Run([&]() -> asio::awaitable<void> {
    const HttpResponse response =
        co_await router.Fetch(RouterHarness::Booking("k1"));
    CHECK(response.body == "POST /hires one van");
    CHECK(service.received().back().headers.Get("Idempotency-Key") == "k1");
  });
}

TEST_CASE("RouterDaemon: rejects invalid requests with an error response",
          "[daemon][threads]") {
  FakeUpstream engine(RouterHarness::context(), &RespondOk);
  RouterHarness router({RouterHarness::Engine("e1", engine)});
  router.Run([&]() -> asio::awaitable<void> {
    HttpRequest wrong_token = RouterHarness::Chat(false);
    wrong_token.headers.Set("Authorization", "Bearer nobody");
    HttpRequest unknown_path = RouterHarness::Chat(false);
    unknown_path.target = "/v2/chat";
    HttpRequest unknown_model = RouterHarness::Chat(false);
    unknown_model.body = R"({"model":"x","messages":[{"content":"a"}]})";
    HttpRequest broken = RouterHarness::Chat(false);
    broken.body = "{";
    HttpRequest without_key = RouterHarness::Booking("");
    HttpRequest bad_offset;
    bad_offset.target = "/v1/streams/e1~x~y?offset=a";
    HttpRequest forged_stream;
    forged_stream.target = "/v1/streams/e1~x~y?offset=1";
    const std::vector<std::pair<HttpRequest, int>> cases = {
        {wrong_token, 401},   {unknown_path, 404}, {unknown_model, 404},
        {broken, 400},        {without_key, 400},  {bad_offset, 400},
        {forged_stream, 404},
    };
    for (const auto& [request, status] : cases) {
      const HttpResponse response = co_await router.Fetch(request);
      CHECK(response.status == status);
      CHECK(response.headers.Find("papaya-outcome") != nullptr);
      CHECK_THAT(response.body, Contains("\"error\""));
    }
    CHECK(engine.received().empty());
  });
}

TEST_CASE(
    "RouterDaemon: an at-most-once request is sent once, and its outcome is "
    "unknown if the response is lost",
    "[daemon][threads]") {
  FakeUpstream first(RouterHarness::context(), &CloseAfterAccepting);
  FakeUpstream second(RouterHarness::context(), &CloseAfterAccepting);
  RouterHarness router({RouterHarness::Service("b1", first),
                        RouterHarness::Service("b2", second)});
  router.Run([&]() -> asio::awaitable<void> {
    const HttpResponse response =
        co_await router.Fetch(RouterHarness::Booking("k1"));
    CHECK(response.status == 502);
    CHECK(response.headers.Get("papaya-outcome") == "unknown");
    CHECK(first.received().size() + second.received().size() == 1);
  });
}

TEST_CASE(
    "RouterDaemon: an at-most-once request whose caller disconnects during "
    "its stream is not reported as not-run",
    "[daemon][threads]") {
  FakeUpstream service(
      RouterHarness::context(),
      [](HttpExchange& exchange) -> asio::awaitable<void> {
        HttpResponse head;
        head.headers.Set("Content-Type", "text/event-stream");
        (co_await exchange.StartStream(std::move(head))).IgnoreError();
        std::string first = StreamText(0, 1);
        (co_await exchange.Write(std::move(first))).IgnoreError();
        co_await WaitForDisconnect(exchange);
      });
  RouterHarness router({RouterHarness::Service("b1", service)});
  router.Run([&]() -> asio::awaitable<void> {
    HttpRequest booking = RouterHarness::Booking("k1");
    booking.headers.Set("Authorization", "Bearer acme token");
    absl::StatusOr<std::unique_ptr<HttpClient>> client =
        co_await HttpClient::Connect(router.caller_address(), TestDeadline());
    REQUIRE(client.ok());
    (co_await (*client)->Send(booking, TestDeadline())).IgnoreError();
    const absl::StatusOr<HttpResponse> head =
        co_await (*client)->ReadHead(TestDeadline());
    REQUIRE(head.ok());
    const absl::StatusOr<std::string> piece =
        co_await (*client)->ReadPiece(TestDeadline());
    REQUIRE(piece.ok());
    client->reset();
    HttpResponse again;
    do {
      again = co_await router.Fetch(booking);
    } while (again.body.find("in_progress") != std::string::npos);
    CHECK(again.headers.Get("papaya-outcome") == "unknown");
    CHECK(service.received().size() == 1);
  });
}

TEST_CASE(
    "RouterDaemon: retries at another upstream after a refusal without effect",
    "[daemon][threads]") {
  FakeUpstream leaving(
      RouterHarness::context(),
      [](HttpExchange& exchange) -> asio::awaitable<void> {
        HttpResponse response;
        response.status = 503;
        response.headers.Set("papaya-not-run", "1");
        response.headers.Set("papaya-leaving", "1");
        (co_await exchange.Respond(std::move(response))).IgnoreError();
      });
  FakeUpstream good(RouterHarness::context(), &RespondOk);
  RouterHarness router({RouterHarness::Service("b1", leaving),
                        RouterHarness::Service("b2", good)});
  router.Run([&]() -> asio::awaitable<void> {
    for (int i = 0; i < 4; ++i) {
      const HttpResponse response = co_await router.Fetch(
          RouterHarness::Booking("k" + std::to_string(i)));
      CHECK(response.status == 200);
      CHECK(response.headers.Get("papaya-upstream") == "b2");
    }
    CHECK(leaving.received().size() <= 1);
  });
}

TEST_CASE("RouterDaemon: an interrupted stream resumes at its offset",
          "[daemon][threads]") {
  FakeUpstream engine(
      RouterHarness::context(),
      [](HttpExchange& exchange) -> asio::awaitable<void> {
        const HttpRequest& request = exchange.request();
        if (request.method == "GET") {
          const int64_t offset =
              std::stoll(QueryValue(request.target, "offset"));
          co_await SendStream(exchange, offset, 6 - offset);
          co_return;
        }
        HttpResponse head;
        head.headers.Set("Content-Type", "text/event-stream");
        (co_await exchange.StartStream(std::move(head))).IgnoreError();
        std::string text = StreamText(0, 2) + StreamText(1, 2);
        (co_await exchange.Write(std::move(text))).IgnoreError();
      });
  RouterHarness router({RouterHarness::Engine("e1", engine)});
  router.Run([&]() -> asio::awaitable<void> {
    const HttpResponse streamed =
        co_await router.Fetch(RouterHarness::Chat(true));
    CHECK(streamed.body == StreamText(0, 6) + "id: 6\ndata: [DONE]\n\n");
    HttpRequest resume;
    resume.target =
        "/v1/streams/" + streamed.headers.Get("papaya-stream-id") + "?offset=4";
    const HttpResponse rest = co_await router.Fetch(resume);
    CHECK(rest.body == StreamText(4, 2) + "id: 6\ndata: [DONE]\n\n");
  });
}

TEST_CASE(
    "RouterDaemon: operator pages require the token, health checks do not",
    "[daemon][threads]") {
  FakeUpstream engine(RouterHarness::context(), &RespondOk);
  RouterHarness router({RouterHarness::Engine("e1", engine)});
  router.Run([&]() -> asio::awaitable<void> {
    for (const char* page : {"/metrics", "/v1/status", "/nothing"}) {
      HttpRequest request;
      request.target = page;
      const absl::StatusOr<HttpResponse> refused = co_await FetchHttp(
          router.operator_address(), request, TestDeadline());
      CHECK(refused->status == 401);
      request.headers.Set("Authorization", "Bearer operator");
      const absl::StatusOr<HttpResponse> response = co_await FetchHttp(
          router.operator_address(), request, TestDeadline());
      CHECK(response->status == (std::string(page) == "/nothing" ? 404 : 200));
    }
    HttpRequest health;
    health.target = "/healthz";
    const absl::StatusOr<HttpResponse> healthy =
        co_await FetchHttp(router.operator_address(), health, TestDeadline());
    CHECK(healthy->status == 200);
  });
}

TEST_CASE("RouterDaemon: a drain does not interrupt requests in flight",
          "[daemon][threads]") {
  RouterDaemon* daemon = nullptr;
  FakeUpstream engine(
      RouterHarness::context(),
      [&daemon](HttpExchange& exchange) -> asio::awaitable<void> {
        HttpResponse head;
        head.headers.Set("Content-Type", "text/event-stream");
        (co_await exchange.StartStream(std::move(head))).IgnoreError();
        std::string first = StreamText(0, 1);
        (co_await exchange.Write(std::move(first))).IgnoreError();
        daemon->Drain();
        std::string rest = StreamText(1, 4) + "data: [DONE]\n\n";
        (co_await exchange.Write(std::move(rest))).IgnoreError();
        (co_await exchange.EndStream()).IgnoreError();
      });
  RouterHarness router({RouterHarness::Engine("e1", engine)});
  daemon = &router.daemon();
  router.Run([&]() -> asio::awaitable<void> {
    const HttpResponse streamed =
        co_await router.Fetch(RouterHarness::Chat(true));
    CHECK(streamed.body == StreamText(0, 5) + "id: 5\ndata: [DONE]\n\n");
  });
  CHECK_FALSE(router.daemon().IsReady());
  router.daemon().Wait();
}

// The address sanitizer reports leaks and uses after free.
TEST_CASE("RouterDaemon: can be destroyed during a stream without leaks",
          "[daemon][threads]") {
  using Timer = asio::steady_timer;
  Timer held(RouterHarness::context(), Timer::time_point::max());
  Timer ended(RouterHarness::context(), Timer::time_point::max());
  FakeUpstream engine(
      RouterHarness::context(),
      [&](HttpExchange& exchange) -> asio::awaitable<void> {
        HttpResponse head;
        head.headers.Set("Content-Type", "text/event-stream");
        (co_await exchange.StartStream(std::move(head))).IgnoreError();
        std::string first = StreamText(0, 1);
        (co_await exchange.Write(std::move(first))).IgnoreError();
        co_await Cancelled(held);
        ended.cancel();
      });
  RouterHarness router({RouterHarness::Engine("e1", engine)});
  router.Run([&]() -> asio::awaitable<void> {
    HttpRequest request = RouterHarness::Chat(true);
    request.headers.Set("Authorization", "Bearer acme token");
    absl::StatusOr<std::unique_ptr<HttpClient>> caller =
        co_await HttpClient::Connect(router.caller_address(), TestDeadline());
    REQUIRE(caller.ok());
    const absl::Status sent = co_await (*caller)->Send(request, TestDeadline());
    CHECK(sent.ok());
    const absl::StatusOr<HttpResponse> head =
        co_await (*caller)->ReadHead(TestDeadline());
    CHECK(head.ok());
    const absl::StatusOr<std::string> piece =
        co_await (*caller)->ReadPiece(TestDeadline());
    CHECK(piece.ok());
    router.Kill();
    const absl::StatusOr<std::string> rest =
        co_await (*caller)->ReadPiece(TestDeadline());
    CHECK_FALSE(rest.ok());
    held.cancel();
    co_await Cancelled(ended);
  });
}

}  // namespace
}  // namespace papaya
