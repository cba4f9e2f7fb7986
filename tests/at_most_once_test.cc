#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "tests/fakes/once_simulation.h"

namespace papaya {
namespace {

// Runs random calls, attempts and faults, with several in progress at once, and
// then 10 more seconds with the store available.
void RunRandomSchedule(OnceSimulation& simulation, Random& random) {
  simulation.faults.lost_message = 0.2 * random.Uniform();
  simulation.faults.shed = 0.3 * random.Uniform();
  simulation.backend.faults.lost_answer = 0.3 * random.Uniform();
  simulation.backend.faults.lost_call = 0.2 * random.Uniform();
  simulation.backend.faults.slow = 0.2 * random.Uniform();
  constexpr int kSteps = 120;
  const uint64_t routers = static_cast<uint64_t>(simulation.router_count());
  for (int step = 0; step < kSteps; ++step) {
    const int router = static_cast<int>(random.Below(routers));
    switch (random.Below(9)) {
      case 0:
        simulation.AddKeyedCall(random.Chance(0.5));
        break;
      case 1:
        simulation.AddTicketedCall(router);
        break;
      case 2:
        if (random.Chance(0.2)) {
          simulation.Restart(router);
        }
        break;
      case 3:
        if (random.Chance(0.3)) {
          simulation.Pause(router, random.Jitter(std::chrono::seconds(2), 1.0));
        }
        break;
      case 4:
        simulation.backend.faults.is_out = random.Chance(0.3);
        break;
      case 5:
        if (random.Chance(0.2)) {
          simulation.ChangeIncarnation(router);
        }
        break;
      default:
        if (!simulation.calls.empty()) {
          simulation.SendAttempt(random.Below(simulation.calls.size()), router);
        }
    }
    simulation.RunFor(random.Jitter(std::chrono::milliseconds(100), 1.0));
  }
  simulation.backend.faults.is_out = false;
  simulation.RunFor(std::chrono::seconds(10));
}

TEST_CASE("At most once: holds for any schedule of faults and retries",
          "[once][property]") {
  rc::prop("at most one dispatch per key, and none if not-run was reported",
           [] {
             const uint64_t seed = *rc::gen::arbitrary<uint64_t>();
             OnceSimulation simulation(seed, 3);
             Random random(seed);
             RunRandomSchedule(simulation, random);
             for (const OnceSimulation::Call& call : simulation.calls) {
               RC_ASSERT(call.dispatches <= 1);
               RC_ASSERT(call.not_run_responses == 0 || call.dispatches == 0);
               RC_ASSERT(call.ran_responses == 0 || call.dispatches == 1);
             }
           });
}

TEST_CASE("At most once: every attempt is decided unless its router dies",
          "[once][property]") {
  rc::prop("no attempt stays undecided", [] {
    const uint64_t seed = *rc::gen::arbitrary<uint64_t>();
    OnceSimulation simulation(seed, 3);
    Random random(seed);
    RunRandomSchedule(simulation, random);
    for (const OnceSimulation::Call& call : simulation.calls) {
      RC_ASSERT(call.undecided == 0);
    }
  });
}

TEST_CASE("Tickets: requests with tickets run while the store is unavailable",
          "[once]") {
  OnceSimulation simulation(7, 3);
  simulation.backend.faults.is_out = true;
  for (int i = 0; i < 50; ++i) {
    REQUIRE(simulation.AddTicketedCall(i % 3));
    simulation.SendAttempt(simulation.calls.size() - 1, (i + 1) % 3);
  }
  simulation.RunFor(std::chrono::seconds(3));
  for (const OnceSimulation::Call& call : simulation.calls) {
    CHECK(call.dispatches == 1);
    CHECK(call.ran_responses == 1);
  }
}

TEST_CASE(
    "Claims: with the store unavailable a first attempt gets not-run, a later "
    "one unknown",
    "[once]") {
  OnceSimulation simulation(7, 3);
  simulation.backend.faults.is_out = true;
  const size_t call = simulation.AddKeyedCall(true);
  simulation.SendAttempt(call, 0);
  simulation.RunFor(std::chrono::seconds(3));
  CHECK(simulation.calls[call].not_run_responses == 1);

  const size_t again = simulation.AddKeyedCall(false);
  simulation.SendAttempt(again, 1);
  simulation.RunFor(std::chrono::seconds(3));
  CHECK(simulation.calls[again].unknown_responses == 1);
  CHECK(simulation.calls[again].dispatches == 0);
}

TEST_CASE("Claims: a claim whose response was lost is read back and runs",
          "[once]") {
  OnceSimulation simulation(11, 3);
  simulation.backend.faults.lost_answer = 1.0;
  const size_t call = simulation.AddKeyedCall(false);
  simulation.SendAttempt(call, 0);
  simulation.RunFor(std::chrono::seconds(3));
  CHECK(simulation.calls[call].dispatches == 1);
  CHECK(simulation.calls[call].ran_responses == 1);
}

TEST_CASE("Claims: a retry through another router gets the first outcome",
          "[once]") {
  OnceSimulation simulation(13, 3);
  const size_t call = simulation.AddKeyedCall(false);
  simulation.SendAttempt(call, 0);
  simulation.RunFor(std::chrono::seconds(1));
  simulation.SendAttempt(call, 1);
  simulation.RunFor(std::chrono::seconds(1));
  CHECK(simulation.calls[call].dispatches == 1);
  CHECK(simulation.calls[call].ran_responses == 2);
}

TEST_CASE("Claims: with the claimer dead a retry gets unknown", "[once]") {
  OnceSimulation simulation(17, 3);
  const size_t call = simulation.AddKeyedCall(false);
  simulation.SendAttempt(call, 0);
  simulation.RunFor(std::chrono::seconds(1));
  simulation.Restart(0);
  simulation.SendAttempt(call, 1);
  simulation.SendAttempt(call, 0);
  simulation.RunFor(std::chrono::seconds(3));
  CHECK(simulation.calls[call].dispatches == 1);
  CHECK(simulation.calls[call].unknown_responses == 2);
}

TEST_CASE(
    "At most once: a router that moves to a later incarnation is queried under "
    "it and still recognizes its earlier tickets and claims",
    "[once]") {
  OnceSimulation simulation(19, 3);
  REQUIRE(simulation.AddTicketedCall(0));
  simulation.AddKeyedCall(false);
  simulation.SendAttempt(1, 0);
  simulation.RunFor(std::chrono::seconds(1));
  simulation.ChangeIncarnation(0);
  for (const size_t call : {0, 1}) {
    simulation.SendAttempt(call, 0);
  }
  REQUIRE(simulation.AddTicketedCall(0));
  simulation.AddKeyedCall(false);
  for (const size_t call : {2, 3}) {
    simulation.SendAttempt(call, 0);
    simulation.RunFor(std::chrono::seconds(1));
    simulation.SendAttempt(call, 1);
  }
  simulation.RunFor(std::chrono::seconds(2));
  const std::vector<int> ran_responses = {1, 2, 2, 2};
  for (size_t call = 0; call < ran_responses.size(); ++call) {
    INFO("call " << call);
    CHECK(simulation.calls[call].dispatches == 1);
    CHECK(simulation.calls[call].ran_responses == ran_responses[call]);
  }
}

TEST_CASE("Tickets: the limit on outstanding tickets holds and frees up again",
          "[once]") {
  TicketIssuer issuer({.router = RouterId("a"),
                       .incarnation = Incarnation(1),
                       .lifetime = std::chrono::seconds(1),
                       .outcome_retention = std::chrono::seconds(1),
                       .max_tickets = 10},
                      [](const RouterId&, Incarnation) { return true; });
  const TimePoint start;
  CHECK(issuer.Issue(64, start).size() == 10);
  CHECK(issuer.Issue(1, start).empty());
  issuer.OnTick(start + std::chrono::seconds(2));
  CHECK(issuer.Issue(1, start + std::chrono::seconds(2)).size() == 1);
}

TEST_CASE("Tickets: an expired unused ticket is closed as not-run", "[once]") {
  TicketIssuer issuer({.router = RouterId("a"), .incarnation = Incarnation(1)},
                      [](const RouterId&, Incarnation) { return true; });
  const TimePoint start;
  const Ticket ticket = issuer.Issue(1, start).front();
  const OnceDecision late = issuer.Decide(ticket, ticket.expires);
  CHECK(late.outcome == Outcome::kNotRun);
  CHECK(late.reason == OnceReason::kExpired);
  const OnceDecision forgotten =
      issuer.Decide(ticket, ticket.expires + std::chrono::hours(1));
  CHECK(forgotten.outcome == Outcome::kUnknown);
}

}  // namespace
}  // namespace papaya
