// Callers and upstreams that read slowly, and peers that are dead.

#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "absl/strings/str_cat.h"
#include "src/wire/ack_watch.h"
#include "tests/fakes/gateway_fixture.h"

namespace papaya {
namespace {

using std::chrono::milliseconds;

// More than the window of a connection whose receiver reads nothing.
constexpr size_t kBodyBytes = size_t{200} * 1024;
// Longer than any time after which a peer that acknowledges nothing is dead.
constexpr std::chrono::seconds kClosedWindow{5};

void RunFor(GatewayFixture* f, Duration duration) {
  const TimePoint end = SteadyNow() + duration;
  f->RunUntil([end] { return SteadyNow() >= end; });
}

// Guards against TCP_USER_TIMEOUT, which ends such a connection (review/6).
TEST_CASE("Gateway: waits for a caller that keeps its window closed",
          "[gateway]") {
  GatewayFixture f(RequestKind::kNonIdempotent);
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  RawPeer* upstream = f.AwaitRequest();
  caller->SetReading(false);
  upstream->Send(absl::StrCat(
      "HTTP/1.1 200 OK\r\nPapayaarch-Attempt-Id: a1\r\nContent-Length: ",
      kBodyBytes, "\r\n\r\n", std::string(kBodyBytes - 3, 'x'), "end"));
  RunFor(&f, kClosedWindow);
  caller->SetReading(true);
  f.RunUntil(
      [&] { return caller->has_ended || caller->received.ends_with("xend"); });
  CHECK_FALSE(caller->has_ended);
  REQUIRE(f.reports.size() == 1);
  CHECK(f.reports.front().error.empty());
}

// Guards against the same on the way to an upstream.
TEST_CASE("Gateway: waits for an upstream that keeps its window closed",
          "[gateway]") {
  GatewayFixture f(RequestKind::kNonIdempotent);
  for (const std::unique_ptr<RawUpstream>& upstream : f.upstreams) {
    upstream->is_reading = false;
  }
  const std::unique_ptr<RawPeer> caller = f.Call(absl::StrCat(
      "POST /p/x HTTP/1.1\r\nHost: h\r\nPapayaarch-Attempt-Id: a1\r\n"
      "Papayaarch-Deadline-Ms: 60000\r\nAuthorization: Token secret\r\n"
      "Content-Length: ",
      kBodyBytes, "\r\n\r\n", std::string(kBodyBytes - 3, 'x'), "end"));
  RunFor(&f, kClosedWindow);
  for (const std::unique_ptr<RawUpstream>& upstream : f.upstreams) {
    for (const std::unique_ptr<RawPeer>& peer : upstream->peers) {
      peer->SetReading(true);
    }
  }
  RawPeer* upstream = f.AwaitRequest();
  f.RunUntil([&] { return Has(upstream->received, "xend"); });
  upstream->Send(kOkResponse);
  f.RunUntil([&] { return !caller->received.empty(); });
  CHECK(caller->received.starts_with("HTTP/1.1 200"));
}

constexpr SendState kUnanswered = {.queued_bytes = 100,
                                   .is_unanswered = true,
                                   .ack_age = std::chrono::minutes(1)};

// Runs the checks of `watch` from `now` on while the state is `state`. Returns
// the time after which the peer is taken for dead; empty if it is not within
// 20 s.
std::optional<Duration> TimeToDeath(AckWatch* watch,
                                    const SendState& state,
                                    TimePoint now) {
  const TimePoint start = now;
  std::optional<Duration> delay = watch->OnWrite(now);
  REQUIRE(delay.has_value());
  while (delay.has_value() && now - start < std::chrono::seconds(20)) {
    now += *delay;
    const AckWatch::Decision decision = watch->Check(state, 0, 100, now);
    if (decision.is_dead) {
      return now - start;
    }
    delay = decision.next_check;
  }
  return std::nullopt;
}

TEST_CASE("AckWatch: tells a dead peer from one with a closed window",
          "[gateway]") {
  const TimePoint start = SteadyNow();
  AckWatch watch;
  SECTION("nothing is acknowledged after a long idle time") {
    const std::optional<Duration> death =
        TimeToDeath(&watch, kUnanswered, start);
    REQUIRE(death.has_value());
    CHECK(*death >= AckWatch::kTimeout);
    CHECK(*death <= AckWatch::kTimeout + milliseconds(50));
  }
  SECTION("probes of the closed window are answered") {
    CHECK_FALSE(TimeToDeath(&watch,
                            {.queued_bytes = 100,
                             .is_unanswered = false,
                             .ack_age = std::chrono::seconds(12)},
                            start));
  }
  SECTION("acknowledgements arrive, though not of all") {
    CHECK_FALSE(TimeToDeath(&watch,
                            {.queued_bytes = 100,
                             .is_unanswered = true,
                             .ack_age = milliseconds(300)},
                            start));
  }
  SECTION("a check after a pause of the process starts the time again") {
    REQUIRE(watch.OnWrite(start).has_value());
    const TimePoint late = start + std::chrono::seconds(9);
    const AckWatch::Decision decision = watch.Check(kUnanswered, 0, 100, late);
    CHECK_FALSE(decision.is_dead);
    REQUIRE(decision.next_check.has_value());
    CHECK(*decision.next_check == AckWatch::kCheckInterval);
  }
  SECTION("a write after everything was acknowledged starts the time again") {
    REQUIRE(watch.OnWrite(start).has_value());
    CHECK_FALSE(watch.Check({}, 0, 100, start + milliseconds(600)).next_check);
    const TimePoint later = start + std::chrono::seconds(5);
    const std::optional<Duration> death =
        TimeToDeath(&watch, kUnanswered, later);
    REQUIRE(death.has_value());
    CHECK(*death >= AckWatch::kTimeout);
  }
}

}  // namespace
}  // namespace papaya
