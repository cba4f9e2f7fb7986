#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "bench/measure.h"
#include "tests/fakes/once_simulation.h"

namespace papaya::bench {
namespace {

constexpr int kSeeds = 5;
constexpr int kRouters = 7;
constexpr int kCalls = 2000;

enum class Mechanism { kTicket, kClaim };
enum class StoreState { kUp, kFlaky, kUnavailable };

struct Totals {
  int calls = 0;
  int served = 0;
  int max_dispatches = 0;
  int wrong_not_run = 0;
  int store_writes = 0;
  std::vector<double> seconds_to_response;
};

const char* NameOf(Mechanism mechanism) {
  return mechanism == Mechanism::kTicket ? "ticket" : "claim";
}

void SetStoreFaults(OnceSimulation& simulation, StoreState state) {
  simulation.backend.faults.is_out = state == StoreState::kUnavailable;
  simulation.backend.faults.lost_answer =
      state == StoreState::kFlaky ? 0.1 : 0.0;
  simulation.backend.faults.lost_call = state == StoreState::kFlaky ? 0.1 : 0.0;
  simulation.backend.faults.slow = state == StoreState::kFlaky ? 0.1 : 0.0;
}

// Runs kCalls calls at 50 per second, with 10% random retries, router restarts
// and pauses if `faults` is set, and counts their outcomes.
Totals RunCalls(Mechanism mechanism,
                StoreState state,
                bool faults,
                uint64_t seed) {
  OnceSimulation simulation(seed, kRouters);
  Random random(seed ^ 0xca11);
  SetStoreFaults(simulation, state);
  if (faults) {
    simulation.faults.lost_message = 0.02;
  }
  std::vector<TimePoint> started;
  for (int i = 0; i < kCalls; ++i) {
    const int router = static_cast<int>(random.Below(kRouters));
    const bool has_ticket =
        mechanism == Mechanism::kTicket && simulation.AddTicketedCall(router);
    if (!has_ticket) {
      simulation.AddKeyedCall(true);
    }
    started.push_back(simulation.backend.now);
    const size_t call = simulation.calls.size() - 1;
    simulation.SendAttempt(call, static_cast<int>(random.Below(kRouters)));
    const size_t retried = random.Below(simulation.calls.size());
    if (faults && random.Chance(0.1)) {
      simulation.SendAttempt(retried, static_cast<int>(random.Below(kRouters)));
    }
    if (faults && random.Chance(0.01)) {
      simulation.Restart(static_cast<int>(random.Below(kRouters)));
    }
    if (faults && random.Chance(0.01)) {
      simulation.Pause(static_cast<int>(random.Below(kRouters)),
                       std::chrono::seconds(1));
    }
    simulation.RunFor(std::chrono::milliseconds(20));
  }
  simulation.RunFor(std::chrono::seconds(5));

  Totals totals;
  totals.store_writes = simulation.backend.writes;
  for (size_t i = 0; i < simulation.calls.size(); ++i) {
    const OnceSimulation::Call& call = simulation.calls[i];
    ++totals.calls;
    totals.served += call.dispatches == 1 && call.ran_responses > 0 ? 1 : 0;
    totals.max_dispatches = std::max(totals.max_dispatches, call.dispatches);
    totals.wrong_not_run += call.not_run_responses > 0 && call.dispatches > 0;
    if (call.ran_responses > 0) {
      totals.seconds_to_response.push_back(
          ToSeconds(call.first_response_time - started[i]));
    }
  }
  return totals;
}

Totals RunSeeds(Mechanism mechanism, StoreState state, bool faults) {
  Totals sum;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    const Totals one =
        RunCalls(mechanism, state, faults, static_cast<uint64_t>(seed));
    sum.calls += one.calls;
    sum.served += one.served;
    sum.max_dispatches = std::max(sum.max_dispatches, one.max_dispatches);
    sum.wrong_not_run += one.wrong_not_run;
    sum.store_writes += one.store_writes;
    sum.seconds_to_response.insert(sum.seconds_to_response.end(),
                                   one.seconds_to_response.begin(),
                                   one.seconds_to_response.end());
  }
  return sum;
}

double MedianMs(std::vector<double> seconds) {
  if (seconds.empty()) {
    return 0.0;
  }
  const size_t middle = seconds.size() / 2;
  std::nth_element(seconds.begin(),
                   seconds.begin() + static_cast<int64_t>(middle),
                   seconds.end());
  return seconds[middle] * 1e3;
}

std::vector<Measurement> MeasureSafety() {
  std::vector<Measurement> figures;
  for (const Mechanism mechanism : {Mechanism::kTicket, Mechanism::kClaim}) {
    const Totals totals = RunSeeds(mechanism, StoreState::kFlaky, true);
    const std::string variant =
        absl::StrCat("[", NameOf(mechanism), ",faults]");
    figures.push_back({.name = absl::StrCat("once.dispatches_per_key", variant),
                       .value = static_cast<double>(totals.max_dispatches),
                       .unit = "dispatches",
                       .target = 1.0,
                       .better = Better::kLower,
                       .seeds = kSeeds});
    figures.push_back({.name = absl::StrCat("once.wrong_not_run", variant),
                       .value = static_cast<double>(totals.wrong_not_run),
                       .unit = "calls",
                       .target = 0.0,
                       .better = Better::kLower,
                       .seeds = kSeeds});
  }
  return figures;
}

std::vector<Measurement> MeasureGoodput() {
  const Totals ticket =
      RunSeeds(Mechanism::kTicket, StoreState::kUnavailable, false);
  const Totals claim =
      RunSeeds(Mechanism::kClaim, StoreState::kUnavailable, false);
  return {{.name = "once.goodput[store_out]",
           .value = static_cast<double>(ticket.served) / ticket.calls,
           .unit = "share",
           .baseline = static_cast<double>(claim.served) / claim.calls,
           .target = 0.99,
           .better = Better::kHigher,
           .seeds = kSeeds}};
}

std::vector<Measurement> MeasureCost() {
  std::vector<Measurement> figures;
  for (const Mechanism mechanism : {Mechanism::kTicket, Mechanism::kClaim}) {
    const Totals totals = RunSeeds(mechanism, StoreState::kUp, false);
    const std::string variant = absl::StrCat("[", NameOf(mechanism), "]");
    figures.push_back(
        {.name = absl::StrCat("once.store_writes", variant),
         .value = static_cast<double>(totals.store_writes) / totals.calls,
         .unit = "writes/call",
         .seeds = kSeeds});
    figures.push_back({.name = absl::StrCat("once.answer_p50", variant),
                       .value = MedianMs(totals.seconds_to_response),
                       .unit = "ms",
                       .seeds = kSeeds});
  }
  return figures;
}

const bool kSafety = RegisterMeasure({"once.safety", MeasureSafety});
const bool kGoodput = RegisterMeasure({"once.goodput", MeasureGoodput});
const bool kCost = RegisterMeasure({"once.cost", MeasureCost});

}  // namespace
}  // namespace papaya::bench
