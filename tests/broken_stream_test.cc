// Responses that break off, and what follows on the same connection or at the
// next upstream.

#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "tests/fakes/gateway_fixture.h"

namespace papaya {
namespace {

using std::chrono::milliseconds;

// A stream response that ends with its connection.
constexpr char kUnframedHead[] =
    "HTTP/1.1 200 OK\r\nPapayaarch-Attempt-Id: a1\r\n"
    "Content-Type: text/event-stream\r\n\r\n";
constexpr char kFirstEvent[] = "id: 1\ndata: a\n\n";
constexpr char kSecondEvent[] = "id: 2\ndata: b\n\n";
constexpr char kHalfEvent[] = "id: 2\ndata: hal";

bool LooksComplete(const RawPeer& caller) {
  return caller.received.ends_with("\r\n0\r\n\r\n");
}

TEST_CASE("Gateway: relays a stream that ends with its connection",
          "[gateway]") {
  GatewayFixture f(RequestKind::kStream);
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  RawPeer* upstream = f.AwaitRequest();
  upstream->Send(absl::StrCat(kUnframedHead, kFirstEvent, kSecondEvent));
  f.RunUntil([&] { return Has(caller->received, "data: b"); });
  CHECK_FALSE(LooksComplete(*caller));
  upstream->Close();
  f.RunUntil([&] { return LooksComplete(*caller); });
}

TEST_CASE("Gateway: a stream that was reset does not look complete",
          "[gateway]") {
  GatewayFixture f(RequestKind::kStream);
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  RawPeer* upstream = f.AwaitRequest();
  upstream->Send(absl::StrCat(kUnframedHead, kFirstEvent));
  f.RunUntil([&] { return Has(caller->received, "data: a"); });
  upstream->Reset();
  f.RunUntil([&] { return caller->has_ended; });
  CHECK_FALSE(LooksComplete(*caller));
}

TEST_CASE("Gateway: a stream that ended inside an event looked complete",
          "[gateway]") {
  GatewayFixture f(RequestKind::kStream);
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  RawPeer* upstream = f.AwaitRequest();
  if (GENERATE(false, true)) {
    upstream->Send(absl::StrCat(kUnframedHead, kFirstEvent, kHalfEvent));
    upstream->Close();
  } else {
    upstream->Send(absl::StrCat(kStreamHead, Chunk(kFirstEvent),
                                Chunk(kHalfEvent), "0\r\n\r\n"));
  }
  f.RunUntil([&] { return caller->has_ended || LooksComplete(*caller); });
  CHECK_FALSE(LooksComplete(*caller));
  CHECK_FALSE(Has(caller->received, "hal"));
  CHECK(f.reports.front().reason == "attempts_failed");
}

TEST_CASE("Gateway: resumes a stream that ended inside an event", "[gateway]") {
  GatewayFixture f(RequestKind::kStream, /*is_resumable=*/true);
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  RawPeer* upstream = f.AwaitRequest();
  const size_t index = f.IndexOf(upstream);
  upstream->Send(absl::StrCat(kUnframedHead, kFirstEvent, kHalfEvent));
  upstream->Close();
  f.RunUntil([&] { return f.RequestsAt(1 - index) == 1; });
  RawPeer* second = f.upstreams[1 - index]->peers.back().get();
  CHECK(Has(second->received, "Last-Event-Id: 1\r\n"));
  second->Send(absl::StrCat(kUnframedHead, kSecondEvent));
  second->Close();
  f.RunUntil([&] { return LooksComplete(*caller); });
  CHECK(Has(caller->received, kSecondEvent));
  CHECK_FALSE(Has(caller->received, "hal"));
}

TEST_CASE("Gateway: a buffered response may end with its connection",
          "[gateway]") {
  GatewayFixture f(RequestKind::kIdempotent);
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  RawPeer* upstream = f.AwaitRequest();
  upstream->Send(
      "HTTP/1.1 200 OK\r\nPapayaarch-Attempt-Id: a1\r\nSeal: s\r\n\r\nwhole");
  upstream->Close();
  f.RunUntil([&] { return Has(caller->received, "whole"); });
  CHECK(Has(caller->received, "Content-Length: 5\r\n"));
}

// Guards against a reset that is taken for the end of a response without a
// length: the failed write of the request takes the error off the socket, and
// the next read sees an orderly end.
TEST_CASE("Gateway: a reset during the upload looked like the response's end",
          "[gateway]") {
  // More than the system takes for a connection whose peer reads nothing.
  constexpr size_t kUploadBytes = 4'190'000;
  const RequestKind kind =
      GENERATE(RequestKind::kNonIdempotent, RequestKind::kStream);
  for (int run = 0; run < 5; ++run) {
    GatewayFixture f(kind);
    for (const std::unique_ptr<RawUpstream>& upstream : f.upstreams) {
      upstream->LimitWindows();
      upstream->is_reading = false;
    }
    const std::unique_ptr<RawPeer> caller = f.Call(absl::StrCat(
        "POST /p/x HTTP/1.1\r\nHost: h\r\nPapayaarch-Attempt-Id: a1\r\n"
        "Papayaarch-Deadline-Ms: 60000\r\nAuthorization: Token secret\r\n"
        "Content-Length: ",
        kUploadBytes, "\r\n\r\n", std::string(kUploadBytes, 'x')));
    RawPeer* upstream = nullptr;
    f.RunUntil([&] {
      for (const std::unique_ptr<RawUpstream>& each : f.upstreams) {
        if (!each->peers.empty()) {
          upstream = each->peers.front().get();
        }
      }
      return upstream != nullptr;
    });
    upstream->Send(absl::StrCat(kUnframedHead, kFirstEvent));
    const TimePoint reset_at = SteadyNow() + std::chrono::milliseconds(30);
    f.RunUntil([&] { return SteadyNow() >= reset_at; });
    upstream->Reset();
    f.RunUntil([&] { return !f.reports.empty(); });
    CHECK_FALSE(LooksComplete(*caller));
    CHECK_FALSE(caller->received.ends_with(kFirstEvent));
    CHECK(f.reports.front().error.starts_with("answer: "));
  }
}

// Guards against a status that the protocol does not have: below 200 it was
// read as an interim response, and the request waited for the final one until
// its deadline.
TEST_CASE("Gateway: repeats a request whose response has an impossible status",
          "[gateway]") {
  const std::string status = GENERATE("000", "042", "101", "600", "999");
  CAPTURE(status);
  GatewayFixture f(RequestKind::kIdempotent);
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  RawPeer* upstream = f.AwaitRequest();
  const size_t index = f.IndexOf(upstream);
  upstream->Send(absl::StrCat("HTTP/1.1 ", status,
                              " No\r\nPapayaarch-Attempt-Id: a1\r\n"
                              "Content-Length: 2\r\n\r\nno"));
  f.RunUntil([&] {
    return f.RequestsAt(1 - index) == 1 || !caller->received.empty();
  });
  REQUIRE(f.RequestsAt(1 - index) == 1);
  f.upstreams[1 - index]->peers.back()->Send(kOkResponse);
  f.RunUntil([&] { return Has(caller->received, "ok"); });
}

// What the next upstream answers after a stream has begun and broken off.
struct NextAnswer {
  const char* what;
  std::string bytes;
};

std::string Answer(const std::string& status,
                   const std::string& headers,
                   const std::string& body) {
  return absl::StrCat("HTTP/1.1 ", status, "\r\nPapayaarch-Attempt-Id: a1\r\n",
                      headers, "Content-Length: ", body.size(), "\r\n\r\n",
                      body);
}

TEST_CASE("Gateway: the next upstream's error appeared in a begun stream",
          "[gateway]") {
  const std::string text = "no such model\n\n";
  const NextAnswer next = GENERATE_COPY(
      NextAnswer{"500", Answer("500 No", "", text)},
      NextAnswer{"404", Answer("404 No", "", text)},
      NextAnswer{"503", Answer("503 Full", "", text)},
      NextAnswer{"503, not run",
                 Answer("503 Full", "Papayaarch-Not-Executed: 1\r\n", text)},
      NextAnswer{"421", Answer("421 Other", "", text)},
      NextAnswer{"302", Answer("302 Found", "Location: /x\r\n", text)},
      NextAnswer{"204", "HTTP/1.1 204 No\r\nPapayaarch-Attempt-Id: a1\r\n\r\n"},
      NextAnswer{"200, no stream",
                 Answer("200 OK", "Content-Type: application/json\r\n", text)},
      NextAnswer{"no HTTP", absl::StrCat("no such model", "\r\n\r\n")});
  CAPTURE(next.what);
  GatewayFixture f(RequestKind::kStream, /*is_resumable=*/true);
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  RawPeer* upstream = f.AwaitRequest();
  const size_t index = f.IndexOf(upstream);
  upstream->Send(absl::StrCat(kStreamHead, Chunk(kFirstEvent)));
  f.RunUntil([&] { return Has(caller->received, "data: a"); });
  upstream->Reset();
  f.RunUntil([&] { return f.RequestsAt(1 - index) == 1; });
  // Later attempts, if any, get the same answer.
  f.RunUntil([&] {
    for (const std::unique_ptr<RawUpstream>& other : f.upstreams) {
      for (const std::unique_ptr<RawPeer>& peer : other->peers) {
        if (peer.get() != upstream && !peer->has_ended &&
            Has(peer->received, "Last-Event-Id: 1\r\n")) {
          peer->received.clear();
          peer->Send(next.bytes);
        }
      }
    }
    return caller->has_ended || LooksComplete(*caller);
  });
  CHECK_FALSE(LooksComplete(*caller));
  CHECK_FALSE(Has(caller->received, "no such model"));
  CHECK_FALSE(Has(caller->received.substr(1), "HTTP/1.1"));
}

TEST_CASE("Gateway: an earlier refusal was taken for the answer to a repeat",
          "[gateway]") {
  // With one upstream, the repeat goes to the one that refused the request.
  GatewayFixture f(RequestKind::kNonIdempotent);
  f.records.resize(1);
  f.PublishUpstreams();
  const std::string refusal =
      Answer("503 Full", "Papayaarch-Not-Executed: 1\r\n", "");
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  RawPeer* upstream = f.AwaitRequest();
  upstream->received.clear();
  upstream->Send(refusal);
  RawPeer* repeat = nullptr;
  f.RunUntil([&] {
    for (const std::unique_ptr<RawPeer>& peer : f.upstreams[0]->peers) {
      if (Has(peer->received, "Id: a1\r\n")) {
        repeat = peer.get();
      }
    }
    return repeat != nullptr || !caller->received.empty();
  });
  REQUIRE(repeat != nullptr);
  // The upstream runs the repeat, and writes the refusal once more where it has
  // written it before.
  upstream->Send(refusal);
  const TimePoint later = SteadyNow() + milliseconds(100);
  f.RunUntil([&] { return SteadyNow() >= later; });
  CHECK(caller->received.empty());
  repeat->Send(kOkResponse);
  f.RunUntil([&] { return !caller->received.empty(); });
  CHECK(caller->received.starts_with("HTTP/1.1 200"));
  CHECK(f.RequestsAt(0) <= 2);
}

TEST_CASE("Gateway: a repeated refusal reaches no other request", "[gateway]") {
  const bool has_id = GENERATE(true, false);
  const bool is_idempotent = GENERATE(true, false);
  CAPTURE(has_id, is_idempotent);
  GatewayFixture f(is_idempotent ? RequestKind::kIdempotent
                                 : RequestKind::kNonIdempotent);
  f.records.resize(1);
  f.route.max_attempts = 1;
  f.PublishRoute();
  f.PublishUpstreams();
  const std::unique_ptr<RawPeer> first = f.Call(kPostRequest);
  RawPeer* upstream = f.AwaitRequest();
  upstream->Send(kOkResponse);
  f.RunUntil([&] { return Has(first->received, "ok"); });
  upstream->received.clear();
  const std::unique_ptr<RawPeer> second =
      f.Call(absl::StrReplaceAll(kPostRequest, {{"Id: a1", "Id: a2"}}));
  f.RunUntil([&] { return Has(upstream->received, "Id: a2"); });
  std::string refusal =
      Answer("503 Full", "Papayaarch-Not-Executed: 1\r\n", "");
  if (!has_id) {
    refusal =
        absl::StrReplaceAll(refusal, {{"Papayaarch-Attempt-Id: a1\r\n", ""}});
  }
  upstream->Send(refusal);
  const TimePoint later = SteadyNow() + milliseconds(100);
  f.RunUntil([&] { return SteadyNow() >= later; });
  // Nothing promises that the second request did not run.
  CHECK_FALSE(second->received.starts_with("HTTP/1.1 503"));
  CHECK(f.RequestsAt(0) <= 2);
}

}  // namespace
}  // namespace papaya
