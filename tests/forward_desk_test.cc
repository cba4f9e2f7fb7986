#include <catch2/catch.hpp>

#include "src/daemon/forward_desk.h"

namespace papaya {
namespace {

TEST_CASE(
    "ForwardDesk: a request whose issuer has ended or come back as another "
    "process ends at the next tick",
    "[daemon]") {
  const RouterId issuer("r2");
  Incarnation living(7);
  int sent = 0;
  ForwardDesk desk([&sent](const RouterId&, const ForwardRequest&) { ++sent; },
                   [&living](const RouterId&, Incarnation incarnation) {
                     return incarnation == living;
                   });
  std::vector<absl::StatusCode> ends;
  const ForwardDesk::ReplyHook done =
      [&ends](const absl::StatusOr<HttpResponse>& answer) {
        ends.push_back(answer.status().code());
      };
  const TimePoint start;
  const TimePoint deadline = start + std::chrono::seconds(25);
  desk.Forward(issuer, living, {}, deadline, done);
  desk.OnTick(start);
  CHECK(ends.empty());
  living = Incarnation(8);
  desk.Forward(issuer, living, {}, deadline, done);
  desk.OnTick(start + std::chrono::seconds(1));
  CHECK(ends == std::vector{absl::StatusCode::kUnavailable});
  // Its answer comes too late.
  desk.OnReply({.serial = 1});
  desk.OnTick(deadline);
  CHECK(ends == std::vector{absl::StatusCode::kUnavailable,
                            absl::StatusCode::kDeadlineExceeded});
  CHECK(sent == 2);
}

}  // namespace
}  // namespace papaya
