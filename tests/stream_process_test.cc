#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <string>

#include "absl/strings/str_cat.h"
#include "include/standin/response_checker.h"
#include "tests/loopback.h"
#include "tests/process_fleet.h"

namespace papaya {
namespace {

namespace asio = boost::asio;

TEST_CASE(
    "papayad: SIGTERM interrupts neither streams in flight nor queued ones",
    "[process]") {
  ProcessFleet fleet({.engine = {"--token_ms=10"}});
  fleet.StartRouter("r1");
  // More streams than both engines have slots.
  constexpr int kStreams = 40;
  constexpr Tokens kLength{100};
  std::deque<ResponseChecker> checks;
  int ended = 0;
  for (int i = 0; i < kStreams; ++i) {
    const std::string prompt = absl::StrCat("long ", i);
    checks.emplace_back(prompt, kLength);
    asio::co_spawn(
        fleet.context(),
        fleet.ReadStream(fleet.address("r1"),
                         ProcessFleet::Chat(prompt, kLength), &checks.back()),
        [&ended](const std::exception_ptr&, const std::string&) { ++ended; });
  }
  int64_t queued = 0;
  int64_t running = 0;
  while (queued + running < kStreams && ended == 0) {
    queued = fleet.StatusOf("r1", "queued");
    running = fleet.StatusOf("r1", "running");
  }
  REQUIRE(queued > 0);
  fleet.router("r1").Signal(SIGTERM);
  fleet.context().restart();
  while (ended < kStreams) {
    fleet.context().run_one();
  }
  int whole = 0;
  for (const ResponseChecker& check : checks) {
    whole += check.is_complete() ? 1 : 0;
  }
  CHECK(whole == kStreams);
  CHECK(fleet.router("r1").Wait() == 0);
}

TEST_CASE(
    "papayad: a stream whose router is killed resumes at its offset through "
    "another router",
    "[process]") {
  ProcessFleet fleet({.engine = {"--token_ms=10"}});
  fleet.StartRouter("r1");
  fleet.StartRouter("r2");
  constexpr Tokens kLength{200};
  constexpr int64_t kKilledAt = 20;
  ResponseChecker check("long", kLength);
  RunOn(fleet.context(), [&]() -> asio::awaitable<void> {
    bool is_killed = false;
    const std::function<void()> kill = [&] {
      if (!is_killed && check.next() >= kKilledAt) {
        fleet.KillRouter("r1");
        is_killed = true;
      }
    };
    const std::string stream = co_await fleet.ReadStream(
        fleet.address("r1"), ProcessFleet::Chat("long", kLength), &check, kill);
    REQUIRE_FALSE(check.is_invalid());
    REQUIRE_FALSE(check.is_complete());
    HttpRequest resume = ProcessFleet::Post("", "");
    resume.method = "GET";
    resume.target =
        absl::StrCat("/v1/streams/", stream, "?offset=", check.next());
    co_await fleet.ReadStream(fleet.address("r2"), resume, &check);
  });
  CHECK(check.is_complete());
}

}  // namespace
}  // namespace papaya
