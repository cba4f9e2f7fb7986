// Requests that are meant to exhaust a router, and shutdowns under load.

#include <catch2/catch.hpp>
#include <limits>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "tests/fakes/gateway_fixture.h"

namespace papaya {
namespace {

TEST_CASE("Gateway: answers thousands of pipelined requests", "[gateway]") {
  constexpr size_t kRequests = 20000;
  GatewayFixture f(RequestKind::kIdempotent);
  std::string requests;
  for (size_t i = 0; i < kRequests; ++i) {
    requests += "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  }
  const std::unique_ptr<RawPeer> caller = f.Call(requests);
  size_t answers = 0;
  size_t position = 0;
  f.RunUntil([&] {
    for (size_t at = caller->received.find("HTTP/1.1 404", position);
         at != std::string::npos;
         at = caller->received.find("HTTP/1.1 404", position)) {
      ++answers;
      position = at + 1;
    }
    return answers == kRequests;
  });
}

TEST_CASE("Gateway: serves requests with extreme numbers", "[gateway]") {
  const int64_t most = std::numeric_limits<int64_t>::max();
  const std::string headers = GENERATE_COPY(
      absl::StrCat("Papayaarch-Prompt-Prefix: 1:", most, ",2:", most, "\r\n"),
      absl::StrCat("Papayaarch-Token-Usage: ", most, ",", most, "\r\n"),
      absl::StrCat("Papayaarch-Token-Usage: ", most, ",", most,
                   "\r\nPapayaarch-Length-Hint: ", most, "\r\n"),
      std::string("Papayaarch-Token-Usage: 99999999999999999999,-1\r\n"));
  const std::string time_limit =
      GENERATE_COPY(std::string("60000"), absl::StrCat(most));
  GatewayFixture f(RequestKind::kIdempotent);
  const std::unique_ptr<RawPeer> caller = f.Call(absl::StrReplaceAll(
      kPostRequest,
      {{"60000\r\n", absl::StrCat(time_limit, "\r\n", headers)}}));
  f.AwaitRequest()->Send(kOkResponse);
  f.RunUntil([&] { return Has(caller->received, "ok"); });
}

TEST_CASE("Gateway: a shutdown serves the connections not accepted yet",
          "[gateway]") {
  constexpr size_t kCallers = 20;
  GatewayFixture f(RequestKind::kIdempotent);
  f.listener.AnnounceClose();
  std::vector<std::unique_ptr<RawPeer>> callers;
  for (size_t i = 0; i < kCallers; ++i) {
    callers.push_back(f.Call("GET /other/ HTTP/1.1\r\nHost: h\r\n\r\n"));
  }
  // The event loop has not run since, so that all of them are in the backlog.
  CHECK(f.listener.StopAccepting());
  CHECK_FALSE(f.listener.StopAccepting());
  for (const std::unique_ptr<RawPeer>& caller : callers) {
    f.RunUntil([&] { return !caller->received.empty() || caller->has_ended; });
    CHECK(caller->received.starts_with("HTTP/1.1 404"));
  }
}

}  // namespace
}  // namespace papaya
