#include <catch2/catch.hpp>

#include "src/daemon/forward_dispatcher.h"

namespace papaya {
namespace {

TEST_CASE(
    "ForwardDispatcher: a request whose issuer died or restarted fails at the "
    "next tick",
    "[daemon]") {
  const RouterId issuer("r2");
  Incarnation live_incarnation(7);
  int sent = 0;
  ForwardDispatcher dispatcher(
      [&sent](const RouterId&, const ForwardRequest&) { ++sent; },
      [&live_incarnation](const RouterId&, Incarnation incarnation) {
        return incarnation == live_incarnation;
      });
  std::vector<absl::StatusCode> ends;
  const ForwardDispatcher::ReplyHook done =
      [&ends](const absl::StatusOr<HttpResponse>& response) {
        ends.push_back(response.status().code());
      };
  const TimePoint start;
  const TimePoint deadline = start + std::chrono::seconds(25);
  dispatcher.Forward(issuer, live_incarnation, {}, deadline, done);
  dispatcher.OnTick(start);
  CHECK(ends.empty());
  live_incarnation = Incarnation(8);
  dispatcher.Forward(issuer, live_incarnation, {}, deadline, done);
  dispatcher.OnTick(start + std::chrono::seconds(1));
  CHECK(ends == std::vector{absl::StatusCode::kUnavailable});
  // A reply after the request has failed is ignored.
  dispatcher.OnReply({.serial = 1});
  dispatcher.OnTick(deadline);
  CHECK(ends == std::vector{absl::StatusCode::kUnavailable,
                            absl::StatusCode::kDeadlineExceeded});
  CHECK(sent == 2);
}

}  // namespace
}  // namespace papaya
