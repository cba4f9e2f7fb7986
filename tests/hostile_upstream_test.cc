// Upstreams that send bytes without end, stall, or send responses late.

#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "tests/fakes/gateway_fixture.h"

namespace papaya {
namespace {

using std::chrono::milliseconds;

// No limit of the gateway is above this.
constexpr size_t kMaxSentBytes = size_t{8} * 1024 * 1024;

// Sends `piece` again and again until the gateway closes the connection. The
// gateway runs after each piece, so that the buffers of the sockets, which may
// grow to tens of megabytes, do not count. Returns the number of bytes sent.
size_t Flood(GatewayFixture* f, RawPeer* upstream, const std::string& piece) {
  size_t sent = 0;
  f->RunUntil([&] {
    if (!upstream->has_ended && upstream->pending_bytes() == 0 &&
        sent <= kMaxSentBytes) {
      upstream->Send(piece);
      sent += piece.size();
    }
    return upstream->has_ended || sent > kMaxSentBytes;
  });
  return sent;
}

std::string Repeat(const std::string& piece, size_t bytes) {
  std::string text;
  while (text.size() < bytes) {
    text += piece;
  }
  return text;
}

struct Endless {
  const char* what;
  std::string begin;
  std::string piece;
};

constexpr size_t kPieceBytes = size_t{64} * 1024;
constexpr char kChunkedHead[] =
    "HTTP/1.1 500 No\r\nPapayaarch-Attempt-Id: a1\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";

TEST_CASE("Gateway: cuts responses without end", "[gateway]") {
  const std::string letters(kPieceBytes, 'x');
  const Endless form = GENERATE_COPY(
      Endless{"no HTTP", "", letters},
      Endless{"a status line", "HTTP/1.1 200 ", letters},
      Endless{"a header line", "HTTP/1.1 200 OK\r\nX: ", letters},
      Endless{"headers", "HTTP/1.1 200 OK\r\n",
              Repeat("X: y\r\n", kPieceBytes)},
      Endless{"interim responses", "",
              Repeat("HTTP/1.1 100 Continue\r\n\r\n", kPieceBytes)},
      Endless{"a chunk extension", absl::StrCat(kChunkedHead, "5;"), letters},
      Endless{"a chunk size", kChunkedHead, std::string(kPieceBytes, '0')},
      Endless{"trailers", absl::StrCat(kChunkedHead, "0\r\n"),
              Repeat("X: y\r\n", kPieceBytes)},
      Endless{"an error's body", kChunkedHead, Chunk(letters)},
      Endless{"an error's body without length",
              "HTTP/1.1 500 No\r\nPapayaarch-Attempt-Id: a1\r\n\r\n", letters},
      Endless{"responses to another request", "",
              Repeat("HTTP/1.1 200 OK\r\nPapayaarch-Attempt-Id: b\r\n"
                     "Content-Length: 4096\r\n\r\n" +
                         std::string(4096, 'y'),
                     kPieceBytes)});
  CAPTURE(form.what);
  GatewayFixture f(RequestKind::kNonIdempotent);
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  RawPeer* upstream = f.AwaitRequest();
  upstream->Send(form.begin);
  CHECK(Flood(&f, upstream, form.piece) <= kMaxSentBytes);
  f.RunUntil([&] { return !caller->received.empty(); });
  // The status does not promise that the request did not run.
  CHECK(caller->received.starts_with("HTTP/1.1 502"));
  f.RunUntil([&] { return !f.reports.empty(); });
  CHECK(f.reports.front().error.starts_with("answer: "));
  CHECK_FALSE(f.reports.front().upstream.value().empty());
}

TEST_CASE("Gateway: cuts the endless body of a request that did not run",
          "[gateway]") {
  GatewayFixture f(RequestKind::kNonIdempotent);
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  RawPeer* upstream = f.AwaitRequest();
  const size_t index = f.IndexOf(upstream);
  upstream->Send(
      "HTTP/1.1 503 Full\r\nPapayaarch-Attempt-Id: a1\r\n"
      "Papayaarch-Not-Executed: 1\r\n\r\n");
  CHECK(Flood(&f, upstream, std::string(kPieceBytes, 'x')) <= kMaxSentBytes);
  f.RunUntil([&] { return f.RequestsAt(1 - index) == 1; });
  f.upstreams[1 - index]->peers.back()->Send(kOkResponse);
  f.RunUntil([&] { return Has(caller->received, "ok"); });
}

TEST_CASE("Gateway: resumes a stream elsewhere after an event without end",
          "[gateway]") {
  const std::string piece =
      GENERATE(std::string(kPieceBytes, 'x'), Repeat("data: x\n", kPieceBytes));
  GatewayFixture f(RequestKind::kStream, /*is_resumable=*/true);
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  RawPeer* upstream = f.AwaitRequest();
  const size_t index = f.IndexOf(upstream);
  upstream->Send(kStreamHead + Chunk("id: 1\ndata: a\n\n"));
  CHECK(Flood(&f, upstream, Chunk(piece)) <= kMaxSentBytes);
  f.RunUntil([&] { return f.RequestsAt(1 - index) == 1; });
  RawPeer* second = f.upstreams[1 - index]->peers.back().get();
  CHECK(Has(second->received, "Last-Event-Id: 1\r\n"));
  second->Send(kStreamHead + Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
  f.RunUntil([&] { return Has(caller->received, "\r\n0\r\n"); });
  CHECK_FALSE(Has(caller->received, "xxx"));
}

TEST_CASE("Gateway: bytes after a complete response reach no caller",
          "[gateway]") {
  GatewayFixture f(RequestKind::kNonIdempotent);
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  RawPeer* upstream = f.AwaitRequest();
  upstream->Send(kOkResponse);
  CHECK(Flood(&f, upstream, std::string(kPieceBytes, 'x')) <= kMaxSentBytes);
  f.RunUntil([&] { return Has(caller->received, "ok"); });
  CHECK_FALSE(Has(caller->received, "xxx"));
}

TEST_CASE("Gateway: an endless body ends with the caller's time limit",
          "[gateway]") {
  GatewayFixture f(RequestKind::kNonIdempotent);
  const std::unique_ptr<RawPeer> caller =
      f.Call(absl::StrReplaceAll(kPostRequest, {{": 60000", ": 400"}}));
  RawPeer* upstream = f.AwaitRequest();
  upstream->Send(
      "HTTP/1.1 200 OK\r\nPapayaarch-Attempt-Id: a1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n");
  const std::string piece = Chunk(std::string(kPieceBytes, 'x'));
  f.RunUntil([&] {
    if (upstream->pending_bytes() < piece.size()) {
      upstream->Send(piece);
    }
    return caller->has_ended;
  });
  // The cut response does not look complete.
  CHECK_FALSE(caller->ended_orderly);
  CHECK_FALSE(caller->received.ends_with("\r\n0\r\n\r\n"));
}

TEST_CASE("Gateway: moves a stream that sends bytes but no events",
          "[gateway]") {
  const std::string drip = GENERATE(":", ":\n", "data: x\n");
  GatewayFixture f(RequestKind::kStream, /*is_resumable=*/true);
  f.route.caller_silence_timeout = milliseconds(300);
  f.PublishRoute();
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  RawPeer* upstream = f.AwaitRequest();
  const size_t index = f.IndexOf(upstream);
  upstream->Send(kStreamHead + Chunk("id: 1\ndata: a\n\n"));
  f.RunUntil([&] { return Has(caller->received, "data: a"); });
  TimePoint next = SteadyNow();
  f.RunUntil([&] {
    if (SteadyNow() >= next && !upstream->has_ended) {
      upstream->Send(Chunk(drip));
      next = SteadyNow() + milliseconds(20);
    }
    return f.RequestsAt(1 - index) == 1;
  });
  CHECK(Has(f.upstreams[1 - index]->peers.back()->received,
            "Last-Event-Id: 1\r\n"));
}

TEST_CASE("Gateway: does not cut a slow stream that sends events",
          "[gateway]") {
  GatewayFixture f(RequestKind::kStream, /*is_resumable=*/true);
  f.route.caller_silence_timeout = std::chrono::seconds(2);
  f.route.gap_objective = milliseconds(50);
  f.PublishRoute();
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  RawPeer* upstream = f.AwaitRequest();
  upstream->Send(kStreamHead);
  for (int i = 1; i <= 4; ++i) {
    const TimePoint due = SteadyNow() + milliseconds(800);
    f.RunUntil([&] { return SteadyNow() >= due; });
    upstream->Send(Chunk(absl::StrCat("id: ", i, "\ndata: x\n\n")));
  }
  upstream->Send("0\r\n\r\n");
  f.RunUntil([&] { return Has(caller->received, "\r\n0\r\n"); });
  CHECK(Has(caller->received, "id: 4\n"));
  CHECK(f.reports.front().attempts == 1);
}

// A second request on the connection that the first one has left open.
class ReusedConnection {
 public:
  explicit ReusedConnection(RequestKind kind) : f(kind) {
    // With one upstream, the second request uses the same connection.
    f.records.resize(1);
    f.PublishUpstreams();
    const std::unique_ptr<RawPeer> first = f.Call(kPostRequest);
    upstream = f.AwaitRequest();
    upstream->Send(kOkResponse);
    f.RunUntil([&] { return Has(first->received, "ok"); });
    upstream->received.clear();
    caller = f.Call(absl::StrReplaceAll(kPostRequest, {{"Id: a1", "Id: a2"}}));
    f.RunUntil([&] { return Has(upstream->received, "Id: a2"); });
  }

  GatewayFixture f;
  RawPeer* upstream = nullptr;
  std::unique_ptr<RawPeer> caller;
};

TEST_CASE("Gateway: a late second response reaches no other caller",
          "[gateway]") {
  ReusedConnection reused(RequestKind::kNonIdempotent);
  reused.upstream->Send(kOkResponse);
  reused.upstream->Send(
      "HTTP/1.1 200 OK\r\nPapayaarch-Attempt-Id: a2\r\n"
      "Content-Length: 4\r\n\r\nmine");
  reused.f.RunUntil([&] { return Has(reused.caller->received, "mine"); });
  CHECK_FALSE(Has(reused.caller->received, "ok"));
  CHECK_FALSE(Has(reused.caller->received, "Id: a1"));
}

TEST_CASE("Gateway: a late error that names no request is not taken as its own",
          "[gateway]") {
  ReusedConnection reused(RequestKind::kNonIdempotent);
  reused.upstream->Send(
      "HTTP/1.1 503 Full\r\nPapayaarch-Not-Executed: 1\r\n"
      "Content-Length: 0\r\n\r\n");
  reused.f.RunUntil([&] { return !reused.caller->received.empty(); });
  // It may be a second response to the first request, so that the second one
  // may still run.
  CHECK(reused.caller->received.starts_with("HTTP/1.1 502"));
}

TEST_CASE("Gateway: a response whose head ended early looked complete",
          "[gateway]") {
  const std::string response(kOkResponse);
  // Within the status line, within a header, before the empty line, within the
  // body, and before the first byte.
  const size_t sent = GENERATE_COPY(0, 9, 14, 30, response.size() - 5,
                                    response.size() - 3, response.size() - 1);
  const bool resets = GENERATE(false, true);
  GatewayFixture f(GENERATE(RequestKind::kNonIdempotent, RequestKind::kStream));
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  RawPeer* upstream = f.AwaitRequest();
  upstream->Send(response.substr(0, sent));
  const TimePoint read = SteadyNow() + milliseconds(10);
  f.RunUntil([&] { return SteadyNow() >= read; });
  if (resets) {
    upstream->Reset();
  } else {
    upstream->Close();
  }
  f.RunUntil([&] { return !f.reports.empty(); });
  f.RunUntil([&] { return !caller->received.empty(); });
  CHECK(caller->received.starts_with("HTTP/1.1 502"));
  CHECK_FALSE(Has(caller->received, "HTTP/1.1 200"));
}

}  // namespace
}  // namespace papaya
