#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "include/rollout/version_stats.h"
#include "tests/fakes/gateway_fixture.h"

namespace papaya {
namespace {

TEST_CASE("Gateway: forwards a request with its body and without the API key",
          "[gateway]") {
  GatewayFixture f(RequestKind::kNonIdempotent);
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  RawPeer* upstream = f.AwaitRequest();
  const std::string request = upstream->received;
  CHECK(request.starts_with("POST /p/x?y=1 HTTP/1.1\r\n"));
  CHECK(request.ends_with("\r\n\r\nhello"));
  CHECK(Has(request, "Papayaarch-Tenant: school\r\n"));
  CHECK(Has(request, "Papayaarch-Attempt-Id: a1\r\n"));
  CHECK(Has(request, "X-Kept: 2\r\n"));
  CHECK_FALSE(Has(request, "secret"));
  CHECK_FALSE(Has(request, "forged"));
  CHECK_FALSE(Has(request, "X-Hop"));
  upstream->Send(kOkResponse);
  f.RunUntil([&] { return Has(caller->received, "ok"); });
  CHECK(caller->received.starts_with("HTTP/1.1 200 OK\r\n"));
  CHECK(Has(caller->received, "Seal: s\r\n"));
}

TEST_CASE("Gateway: drops a response to another request", "[gateway]") {
  GatewayFixture f(RequestKind::kNonIdempotent);
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  RawPeer* upstream = f.AwaitRequest();
  upstream->Send(
      "HTTP/1.1 200 OK\r\nPapayaarch-Attempt-Id: other\r\n"
      "Content-Length: 5\r\n\r\nwrong");
  upstream->Send(kOkResponse);
  f.RunUntil([&] { return Has(caller->received, "ok"); });
  CHECK_FALSE(Has(caller->received, "wrong"));
}

TEST_CASE("Gateway: does not repeat a request that may have run", "[gateway]") {
  GatewayFixture f(RequestKind::kNonIdempotent);
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  f.AwaitRequest()->Reset();
  f.RunUntil([&] { return !f.reports.empty(); });
  f.RunUntil([&] { return !caller->received.empty(); });
  // The status does not promise that the request did not run.
  CHECK(caller->received.starts_with("HTTP/1.1 502"));
  CHECK(f.reports.front().attempts == 1);
  CHECK(f.reports.front().error.starts_with("answer: "));
}

TEST_CASE("Gateway: a 503 without the not-run header counts as may have run",
          "[gateway]") {
  GatewayFixture f(RequestKind::kNonIdempotent);
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  f.AwaitRequest()->Send(
      "HTTP/1.1 503 Service Unavailable\r\nPapayaarch-Attempt-Id: a1\r\n"
      "Content-Length: 0\r\n\r\n");
  f.RunUntil([&] { return !caller->received.empty(); });
  CHECK(caller->received.starts_with("HTTP/1.1 502"));
}

TEST_CASE("Gateway: repeats a request that an upstream did not run",
          "[gateway]") {
  GatewayFixture f(RequestKind::kNonIdempotent);
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  RawPeer* first = f.AwaitRequest();
  first->received.clear();
  first->Send(
      "HTTP/1.1 503 Service Unavailable\r\nPapayaarch-Not-Executed: 1\r\n"
      "Content-Length: 0\r\n\r\n");
  f.AwaitRequest()->Send(kOkResponse);
  f.RunUntil([&] { return Has(caller->received, "ok"); });
  CHECK(caller->received.starts_with("HTTP/1.1 200"));
}

TEST_CASE("Gateway: resumes a broken stream elsewhere with each event once",
          "[gateway]") {
  GatewayFixture f(RequestKind::kStream, /*is_resumable=*/true);
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  RawPeer* first = f.AwaitRequest();
  first->Send(kStreamHead + Chunk("id: 1\ndata: a\n\n") +
              Chunk("id: 2\ndata: b\n\nid: 3\nda"));
  f.RunUntil([&] { return Has(caller->received, "data: b"); });
  CHECK_FALSE(Has(caller->received, "id: 3"));
  first->Reset();
  first->has_ended = true;
  RawPeer* second = f.AwaitRequest(2);
  CHECK(Has(second->received, "Last-Event-Id: 2\r\n"));
  second->Send(kStreamHead + Chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n");
  f.RunUntil([&] { return Has(caller->received, "0\r\n\r\n"); });
  CHECK(Has(caller->received, "id: 3\ndata: c\n\n"));
  CHECK(caller->received.find("HTTP/1.1") ==
        caller->received.rfind("HTTP/1.1"));
}

TEST_CASE("Gateway: resets the caller's connection if a stream can't resume",
          "[gateway]") {
  GatewayFixture f(RequestKind::kStream, /*is_resumable=*/false);
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  RawPeer* upstream = f.AwaitRequest();
  upstream->Send(kStreamHead + Chunk("id: 1\ndata: a\n\n"));
  f.RunUntil([&] { return Has(caller->received, "data: a"); });
  upstream->Reset();
  f.RunUntil([&] { return caller->has_ended; });
  CHECK_FALSE(caller->ended_orderly);
  CHECK_FALSE(Has(caller->received, "\r\n0\r\n"));
}

TEST_CASE("Gateway: reports the latency of a long stream before it ends",
          "[gateway]") {
  GatewayFixture f(RequestKind::kStream);
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  RawPeer* upstream = f.AwaitRequest();
  std::string response = kStreamHead;
  for (int64_t i = 0; i < kComparedTokens.value(); ++i) {
    response += Chunk(absl::StrCat("id: ", i, "\ndata: x\n\n"));
  }
  upstream->Send(response);
  f.RunUntil([&] { return !f.measured.empty(); });
  CHECK(f.reports.empty());
  upstream->Send("0\r\n\r\n");
  f.RunUntil([&] { return !f.reports.empty(); });
  CHECK(f.measured == std::vector<bool>{false});
}

TEST_CASE("Gateway: cancels the request of a disconnected caller",
          "[gateway]") {
  GatewayFixture f(RequestKind::kStream);
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  RawPeer* upstream = f.AwaitRequest();
  caller->Close();
  f.RunUntil([&] { return upstream->has_ended; });
  f.RunUntil([&] { return !f.reports.empty(); });
  CHECK(f.reports.front().reason == "caller_gone");
  CHECK(f.dispatcher.in_flight() == 0);
}

TEST_CASE("Gateway: resets a connection that gets a request after its close",
          "[gateway]") {
  GatewayFixture f(RequestKind::kNonIdempotent);
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  f.AwaitRequest()->Send(kOkResponse);
  f.RunUntil([&] { return Has(caller->received, "ok"); });
  f.listener.CloseIdle();
  caller->Send(kPostRequest);
  // The close does not depend on a timeout: the listener gets no tick.
  f.RunUntil([&] { return f.listener.connections() == 0; });
}

TEST_CASE("Gateway: closes the connection of a stream that ends in a shutdown",
          "[gateway]") {
  GatewayFixture f(RequestKind::kStream);
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  RawPeer* upstream = f.AwaitRequest();
  // The response header promises to keep the connection open.
  upstream->Send(kStreamHead + Chunk("id: 1\ndata: a\n\n"));
  f.RunUntil([&] { return Has(caller->received, "data: a"); });
  f.listener.AnnounceClose();
  f.listener.CloseIdle();
  upstream->Send("0\r\n\r\n");
  f.RunUntil([&] { return Has(caller->received, "\r\n0\r\n"); });
  caller->Send(kPostRequest);
  f.RunUntil([&] { return f.listener.connections() == 0; });
  // The next request was not accepted.
  CHECK(f.reports.size() == 1);
  CHECK(f.dispatcher.in_flight() == 0);
}

// Guards against a manifest whose last account was taken away and that lets
// everybody in (review/8).
TEST_CASE("Gateway: asks for a key though no account is left", "[gateway]") {
  GatewayFixture f(RequestKind::kIdempotent);
  f.has_account = false;
  const auto call = [&f] {
    const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
    f.RunUntil([&] {
      return !caller->received.empty() || f.RequestsAt(0) + f.RequestsAt(1) > 0;
    });
    return caller->received;
  };
  f.needs_keys = true;
  f.PublishRoute();
  CHECK(call().starts_with("HTTP/1.1 401"));
  SECTION("an anonymous route needs none") {
    f.route.is_anonymous = true;
    f.PublishRoute();
    CHECK(call().empty());
  }
  SECTION("a manifest without a list of accounts needs none") {
    f.needs_keys = false;
    f.PublishRoute();
    CHECK(call().empty());
  }
}

TEST_CASE("Gateway: rejects unknown routes and API keys", "[gateway]") {
  GatewayFixture f(RequestKind::kIdempotent);
  const std::unique_ptr<RawPeer> no_route =
      f.Call("GET /other/ HTTP/1.1\r\nHost: h\r\n\r\n");
  const std::unique_ptr<RawPeer> no_key = f.Call(
      "GET /p/ HTTP/1.1\r\nHost: h\r\nAuthorization: Token wrong\r\n\r\n");
  f.RunUntil(
      [&] { return !no_route->received.empty() && !no_key->received.empty(); });
  CHECK(no_route->received.starts_with("HTTP/1.1 404"));
  CHECK(no_key->received.starts_with("HTTP/1.1 401"));
}

}  // namespace
}  // namespace papaya
