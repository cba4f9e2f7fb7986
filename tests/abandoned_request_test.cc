#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "tests/fakes/gateway_fixture.h"

namespace papaya {
namespace {

using std::chrono::milliseconds;

constexpr int64_t kTimeLimitMs = 60000;

// Lets time pass in which the event loop handles nothing, as when the VM has no
// processor time for this process.
void StallLoop(Duration duration) {
  const TimePoint end = SteadyNow() + duration;
  while (SteadyNow() < end) {
  }
}

// Returns the time limit in the last request that `upstream` has received.
Duration TimeLimitOf(const RawPeer& upstream) {
  constexpr std::string_view kName = "Papayaarch-Deadline-Ms: ";
  const size_t start = upstream.received.rfind(kName) + kName.size();
  int64_t limit = 0;
  REQUIRE(absl::SimpleAtoi(
      upstream.received.substr(start,
                               upstream.received.find("\r\n", start) - start),
      &limit));
  return milliseconds(limit);
}

// Serves one request at each upstream, so that an idle connection to each is
// open. Returns the number of requests served.
size_t OpenUpstreamConnections(GatewayFixture* f) {
  std::vector<std::unique_ptr<RawPeer>> callers;
  for (size_t i = 0; i < f->upstreams.size(); ++i) {
    callers.push_back(f->Call(kPostRequest));
  }
  f->RunUntil([f] { return f->RequestsAt(0) == 1 && f->RequestsAt(1) == 1; });
  for (const std::unique_ptr<RawUpstream>& upstream : f->upstreams) {
    upstream->peers.front()->Send(kOkResponse);
  }
  f->RunUntil([&] { return f->reports.size() == callers.size(); });
  for (const std::unique_ptr<RawPeer>& caller : callers) {
    caller->Close();
  }
  f->RunUntil([f] { return f->listener.connections() == 0; });
  return callers.size();
}

TEST_CASE("Gateway: a request was sent on after its caller had left",
          "[gateway]") {
  GatewayFixture f(GENERATE(RequestKind::kNonIdempotent,
                            RequestKind::kIdempotent, RequestKind::kStream));
  const size_t served = OpenUpstreamConnections(&f);
  const bool resets = GENERATE(false, true);
  // The request and the close of its connection wait when the loop runs next.
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  if (resets) {
    caller->Reset();
  } else {
    caller->Close();
  }
  f.RunUntil([&] {
    return f.reports.size() > served && f.listener.connections() == 0;
  });
  CHECK(f.RequestsAt(0) + f.RequestsAt(1) == served);
  CHECK(f.reports.back().reason == "caller_gone");
  // Nothing was run for the account.
  CHECK(f.reports.back().unused_quota == 1.0);
  CHECK(f.dispatcher.in_flight() == 0);
}

TEST_CASE(
    "Gateway: a request was sent on after its caller had left during the "
    "connect",
    "[gateway]") {
  GatewayFixture f(RequestKind::kNonIdempotent);
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  while (f.dispatcher.in_flight() == 0) {
    f.context.restart();
    f.context.poll_one();
  }
  // The connection to the upstream has been requested.
  caller->Close();
  f.RunUntil([&] { return !f.reports.empty(); });
  f.RunUntil([&] { return f.listener.connections() == 0; });
  CHECK(f.RequestsAt(0) + f.RequestsAt(1) == 0);
  CHECK(f.reports.back().reason == "caller_gone");
}

TEST_CASE(
    "Gateway: a caller that left behind pipelined requests was still served",
    "[gateway]") {
  GatewayFixture f(RequestKind::kNonIdempotent);
  const size_t served = OpenUpstreamConnections(&f);
  f.Call(absl::StrCat(kPostRequest, kPostRequest, kPostRequest))->Close();
  f.RunUntil([&] {
    return f.reports.size() > served && f.listener.connections() == 0;
  });
  CHECK(f.RequestsAt(0) + f.RequestsAt(1) == served);
}

TEST_CASE("Gateway: the time until a request was read did not count",
          "[gateway]") {
  GatewayFixture f(RequestKind::kNonIdempotent);
  const size_t served = OpenUpstreamConnections(&f);
  const std::string request =
      absl::StrReplaceAll(kPostRequest, {{absl::StrCat(kTimeLimitMs), "300"}});
  const std::unique_ptr<RawPeer> caller = f.Call(request);
  StallLoop(milliseconds(400));
  f.RunUntil([&] { return Has(caller->received, "\r\n\r\n"); });
  CHECK(caller->received.starts_with("HTTP/1.1 503"));
  CHECK(f.RequestsAt(0) + f.RequestsAt(1) == served);
}

TEST_CASE("Gateway: an upstream was given more time than the caller has",
          "[gateway]") {
  const Duration stall = milliseconds(300);
  GatewayFixture f(RequestKind::kNonIdempotent);
  const size_t connections = OpenUpstreamConnections(&f);
  const TimePoint start = SteadyNow();
  const std::string request(kPostRequest);
  std::unique_ptr<RawPeer> caller;
  size_t expected = connections + 1;
  SECTION("the request waits to be read") {
    caller = f.Call(request);
    StallLoop(stall);
  }
  SECTION("the body comes late") {
    caller = f.Call(request.substr(0, request.size() - 1));
    f.RunUntil([&] { return SteadyNow() - start > stall; });
    caller->Send(request.substr(request.size() - 1));
  }
  SECTION("the request is behind another one of its connection") {
    caller = f.Call(request + request);
    ++expected;
    f.RunUntil([&] {
      return f.RequestsAt(0) + f.RequestsAt(1) == connections + 1 &&
             SteadyNow() - start > stall;
    });
    for (const std::unique_ptr<RawUpstream>& upstream : f.upstreams) {
      if (f.RequestsAt(f.IndexOf(upstream->peers.front().get())) > 1) {
        upstream->peers.front()->Send(kOkResponse);
      }
    }
  }
  f.RunUntil([&] { return f.RequestsAt(0) + f.RequestsAt(1) == expected; });
  Duration given = milliseconds(kTimeLimitMs);
  for (const std::unique_ptr<RawUpstream>& upstream : f.upstreams) {
    given = std::min(given, TimeLimitOf(*upstream->peers.front()));
  }
  // Receive times have a resolution of some milliseconds.
  CHECK(given <= milliseconds(kTimeLimitMs) - stall + milliseconds(20));
}

TEST_CASE("Gateway: a caller that always sends ahead ran out of time",
          "[gateway]") {
  constexpr int kRequests = 8;
  GatewayFixture f(RequestKind::kNonIdempotent);
  const std::string request =
      absl::StrReplaceAll(kPostRequest, {{absl::StrCat(kTimeLimitMs), "400"}});
  const std::unique_ptr<RawPeer> caller = f.Call(request);
  for (size_t i = 1; i <= kRequests; ++i) {
    // The next request always waits behind the one in progress.
    caller->Send(request);
    f.RunUntil([&] { return f.RequestsAt(0) + f.RequestsAt(1) == i; });
    const TimePoint answer_at = SteadyNow() + milliseconds(100);
    f.RunUntil([&] { return SteadyNow() >= answer_at; });
    RawPeer* upstream = nullptr;
    for (const std::unique_ptr<RawUpstream>& candidate : f.upstreams) {
      for (const std::unique_ptr<RawPeer>& peer : candidate->peers) {
        const size_t end = peer->received.rfind("hello");
        if (end != std::string::npos && end + 5 == peer->received.size()) {
          upstream = peer.get();
        }
      }
    }
    REQUIRE(upstream != nullptr);
    upstream->received.append("\n");
    upstream->Send(kOkResponse);
    f.RunUntil([&] { return f.reports.size() == i; });
    CHECK(f.reports.back().status == 200);
  }
}

TEST_CASE(
    "Gateway: bytes of an abandoned request could still reach an upstream",
    "[gateway]") {
  GatewayFixture f(RequestKind::kStream);
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  RawPeer* upstream = f.AwaitRequest();
  caller->Close();
  f.RunUntil([&] { return upstream->has_ended; });
  // A reset, unlike an orderly close, discards what is still unsent.
  CHECK_FALSE(upstream->ended_orderly);
}

}  // namespace
}  // namespace papaya
