#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_replace.h"
#include "tests/fakes/gateway_fixture.h"

namespace papaya {
namespace {

TEST_CASE("Gateway: a shutdown cut requests without an answer", "[gateway]") {
  GatewayFixture f(RequestKind::kNonIdempotent);
  // Two requests run at each upstream, and one waits.
  for (UpstreamRecord& record : f.records) {
    record.slots = 1;
  }
  f.PublishUpstreams();
  std::vector<std::unique_ptr<RawPeer>> callers;
  for (size_t i = 0; i < 3; ++i) {
    callers.push_back(f.Call(kPostRequest));
  }
  f.RunUntil([&] {
    return f.RequestsAt(0) + f.RequestsAt(1) == 2 &&
           f.dispatcher.in_flight() == 3;
  });
  f.dispatcher.EndAll();
  CHECK(f.dispatcher.in_flight() == 0);
  int unknown = 0;
  int not_run = 0;
  for (const std::unique_ptr<RawPeer>& caller : callers) {
    f.RunUntil([&] { return Has(caller->received, "\r\n\r\n"); });
    unknown += caller->received.starts_with("HTTP/1.1 502") ? 1 : 0;
    not_run += caller->received.starts_with("HTTP/1.1 503") &&
                       Has(caller->received, "Retry-After: ")
                   ? 1
                   : 0;
  }
  CHECK(unknown == 2);
  CHECK(not_run == 1);
  // The request that waited was not started in a slot that became free.
  CHECK(f.RequestsAt(0) + f.RequestsAt(1) == 2);
}

TEST_CASE("Gateway: a shutdown cut a begun stream in order", "[gateway]") {
  GatewayFixture f(RequestKind::kStream);
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  f.AwaitRequest()->Send(kStreamHead + Chunk("id: 1\ndata: a\n\n"));
  f.RunUntil([&] { return Has(caller->received, "data: a"); });
  f.dispatcher.EndAll();
  f.RunUntil([&] { return caller->has_ended; });
  CHECK_FALSE(caller->ended_orderly);
}

TEST_CASE("Gateway: a stopping router took requests that it could not finish",
          "[gateway]") {
  GatewayFixture f(RequestKind::kNonIdempotent);
  f.dispatcher.SetShutdown(SteadyNow() + std::chrono::seconds(30));
  const std::unique_ptr<RawPeer> slow = f.Call(kPostRequest);
  f.RunUntil([&] { return Has(slow->received, "\r\n\r\n"); });
  CHECK(slow->received.starts_with("HTTP/1.1 503"));
  CHECK(Has(slow->received, "Retry-After: "));
  CHECK(f.RequestsAt(0) + f.RequestsAt(1) == 0);
  // One that ends in time is still served.
  const std::unique_ptr<RawPeer> quick =
      f.Call(absl::StrReplaceAll(kPostRequest, {{"60000", "20000"}}));
  f.AwaitRequest()->Send(kOkResponse);
  f.RunUntil([&] { return Has(quick->received, "ok"); });
}

}  // namespace
}  // namespace papaya
