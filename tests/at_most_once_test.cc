#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "tests/fakes/once_world.h"

namespace papaya {
namespace {

// Random calls, attempts and faults, several at a time, for a while.
void RunRandomSchedule(OnceWorld& world, Random& random) {
  world.faults.lost_message = 0.2 * random.Uniform();
  world.faults.shed = 0.3 * random.Uniform();
  world.backend.faults.lost_answer = 0.3 * random.Uniform();
  world.backend.faults.lost_call = 0.2 * random.Uniform();
  world.backend.faults.slow = 0.2 * random.Uniform();
  constexpr int kSteps = 120;
  const uint64_t routers = static_cast<uint64_t>(world.router_count());
  for (int step = 0; step < kSteps; ++step) {
    const int router = static_cast<int>(random.Below(routers));
    switch (random.Below(9)) {
      case 0:
        world.AddKeyedCall(random.Chance(0.5));
        break;
      case 1:
        world.AddTicketedCall(router);
        break;
      case 2:
        if (random.Chance(0.2)) {
          world.Restart(router);
        }
        break;
      case 3:
        if (random.Chance(0.3)) {
          world.Pause(router, random.Jitter(std::chrono::seconds(2), 1.0));
        }
        break;
      case 4:
        world.backend.faults.is_out = random.Chance(0.3);
        break;
      case 5:
        if (random.Chance(0.2)) {
          world.Rename(router);
        }
        break;
      default:
        if (!world.calls.empty()) {
          world.Try(random.Below(world.calls.size()), router);
        }
    }
    world.RunFor(random.Jitter(std::chrono::milliseconds(100), 1.0));
  }
  world.backend.faults.is_out = false;
  world.RunFor(std::chrono::seconds(10));
}

TEST_CASE("At most once: over any schedule of faults and retries",
          "[once][property]") {
  rc::prop("one dispatch a key, and no dispatch after not-run", [] {
    const uint64_t seed = *rc::gen::arbitrary<uint64_t>();
    OnceWorld world(seed, 3);
    Random random(seed);
    RunRandomSchedule(world, random);
    for (const OnceWorld::Call& call : world.calls) {
      RC_ASSERT(call.dispatches <= 1);
      RC_ASSERT(call.told_not_run == 0 || call.dispatches == 0);
      RC_ASSERT(call.told_ran == 0 || call.dispatches == 1);
    }
  });
}

TEST_CASE("At most once: every attempt is decided once its router runs",
          "[once][property]") {
  rc::prop("nobody waits for ever", [] {
    const uint64_t seed = *rc::gen::arbitrary<uint64_t>();
    OnceWorld world(seed, 3);
    Random random(seed);
    RunRandomSchedule(world, random);
    for (const OnceWorld::Call& call : world.calls) {
      RC_ASSERT(call.undecided == 0);
    }
  });
}

TEST_CASE("Tickets: bookings go on while the store is out", "[once]") {
  OnceWorld world(7, 3);
  world.backend.faults.is_out = true;
  for (int i = 0; i < 50; ++i) {
    REQUIRE(world.AddTicketedCall(i % 3));
    world.Try(world.calls.size() - 1, (i + 1) % 3);
  }
  world.RunFor(std::chrono::seconds(3));
  for (const OnceWorld::Call& call : world.calls) {
    CHECK(call.dispatches == 1);
    CHECK(call.told_ran == 1);
  }
}

TEST_CASE(
    "Claims: with the store out a first attempt is told not-run, a later "
    "one unknown",
    "[once]") {
  OnceWorld world(7, 3);
  world.backend.faults.is_out = true;
  const size_t call = world.AddKeyedCall(true);
  world.Try(call, 0);
  world.RunFor(std::chrono::seconds(3));
  CHECK(world.calls[call].told_not_run == 1);

  const size_t again = world.AddKeyedCall(false);
  world.Try(again, 1);
  world.RunFor(std::chrono::seconds(3));
  CHECK(world.calls[again].told_unknown == 1);
  CHECK(world.calls[again].dispatches == 0);
}

TEST_CASE("Claims: a lost answer is read back and the request runs", "[once]") {
  OnceWorld world(11, 3);
  world.backend.faults.lost_answer = 1.0;
  const size_t call = world.AddKeyedCall(false);
  world.Try(call, 0);
  world.RunFor(std::chrono::seconds(3));
  CHECK(world.calls[call].dispatches == 1);
  CHECK(world.calls[call].told_ran == 1);
}

TEST_CASE("Claims: a retry through another router gets the first outcome",
          "[once]") {
  OnceWorld world(13, 3);
  const size_t call = world.AddKeyedCall(false);
  world.Try(call, 0);
  world.RunFor(std::chrono::seconds(1));
  world.Try(call, 1);
  world.RunFor(std::chrono::seconds(1));
  CHECK(world.calls[call].dispatches == 1);
  CHECK(world.calls[call].told_ran == 2);
}

TEST_CASE("Claims: with the claimer dead a retry is told unknown", "[once]") {
  OnceWorld world(17, 3);
  const size_t call = world.AddKeyedCall(false);
  world.Try(call, 0);
  world.RunFor(std::chrono::seconds(1));
  world.Restart(0);
  world.Try(call, 1);
  world.Try(call, 0);
  world.RunFor(std::chrono::seconds(3));
  CHECK(world.calls[call].dispatches == 1);
  CHECK(world.calls[call].told_unknown == 2);
}

TEST_CASE(
    "At most once: a router that goes on under a later incarnation is asked "
    "under that, and knows what it said before as its own",
    "[once]") {
  OnceWorld world(19, 3);
  REQUIRE(world.AddTicketedCall(0));
  world.AddKeyedCall(false);
  world.Try(1, 0);
  world.RunFor(std::chrono::seconds(1));
  world.Rename(0);
  for (const size_t call : {0, 1}) {
    world.Try(call, 0);
  }
  REQUIRE(world.AddTicketedCall(0));
  world.AddKeyedCall(false);
  for (const size_t call : {2, 3}) {
    world.Try(call, 0);
    world.RunFor(std::chrono::seconds(1));
    world.Try(call, 1);
  }
  world.RunFor(std::chrono::seconds(2));
  const std::vector<int> told_ran = {1, 2, 2, 2};
  for (size_t call = 0; call < told_ran.size(); ++call) {
    INFO("call " << call);
    CHECK(world.calls[call].dispatches == 1);
    CHECK(world.calls[call].told_ran == told_ran[call]);
  }
}

TEST_CASE("Tickets: the bound on tickets out is kept and freed again",
          "[once]") {
  TicketDesk desk({.router = RouterId("a"),
                   .incarnation = Incarnation(1),
                   .lifetime = std::chrono::seconds(1),
                   .memory = std::chrono::seconds(1),
                   .max_tickets = 10},
                  [](const RouterId&, Incarnation) { return true; });
  const TimePoint start;
  CHECK(desk.Issue(64, start).size() == 10);
  CHECK(desk.Issue(1, start).empty());
  desk.OnTick(start + std::chrono::seconds(2));
  CHECK(desk.Issue(1, start + std::chrono::seconds(2)).size() == 1);
}

TEST_CASE("Tickets: an expired one that was not used is not-run for good",
          "[once]") {
  TicketDesk desk({.router = RouterId("a"), .incarnation = Incarnation(1)},
                  [](const RouterId&, Incarnation) { return true; });
  const TimePoint start;
  const Ticket ticket = desk.Issue(1, start).front();
  const OnceVerdict late = desk.Decide(ticket, ticket.expires);
  CHECK(late.outcome == Outcome::kNotRun);
  CHECK(late.reason == OnceReason::kExpired);
  const OnceVerdict forgotten =
      desk.Decide(ticket, ticket.expires + std::chrono::hours(1));
  CHECK(forgotten.outcome == Outcome::kUnknown);
}

}  // namespace
}  // namespace papaya
