// Responses that break off, and what follows on the same connection or at the
// next upstream.

#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "absl/strings/str_cat.h"
#include "tests/fakes/gateway_fixture.h"

namespace papaya {
namespace {

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

}  // namespace
}  // namespace papaya
