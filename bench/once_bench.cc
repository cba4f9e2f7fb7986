#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "bench/measure.h"
#include "tests/fakes/once_world.h"

namespace papaya::bench {
namespace {

constexpr int kSeeds = 5;
constexpr int kRouters = 7;
constexpr int kCalls = 2000;

enum class Way { kTicket, kClaim };
enum class StoreState { kUp, kFlaky, kOut };

struct Totals {
  int calls = 0;
  int served = 0;
  int max_dispatches = 0;
  int wrong_not_run = 0;
  int store_writes = 0;
  std::vector<double> seconds_to_answer;
};

const char* NameOf(Way way) {
  return way == Way::kTicket ? "ticket" : "claim";
}

void SetStore(OnceWorld& world, StoreState state) {
  world.backend.faults.is_out = state == StoreState::kOut;
  world.backend.faults.lost_answer = state == StoreState::kFlaky ? 0.1 : 0.0;
  world.backend.faults.lost_call = state == StoreState::kFlaky ? 0.1 : 0.0;
  world.backend.faults.slow = state == StoreState::kFlaky ? 0.1 : 0.0;
}

// Calls at 50 a second, each tried again through other routers until it is
// answered `ran` or `not-run`; routers restart and pause if `faults` is set.
Totals RunCalls(Way way, StoreState state, bool faults, uint64_t seed) {
  OnceWorld world(seed, kRouters);
  Random random(seed ^ 0xca11);
  SetStore(world, state);
  if (faults) {
    world.faults.lost_message = 0.02;
  }
  std::vector<TimePoint> started;
  for (int i = 0; i < kCalls; ++i) {
    const int router = static_cast<int>(random.Below(kRouters));
    const bool has_ticket =
        way == Way::kTicket && world.AddTicketedCall(router);
    if (!has_ticket) {
      world.AddKeyedCall(true);
    }
    started.push_back(world.backend.now);
    const size_t call = world.calls.size() - 1;
    world.Try(call, static_cast<int>(random.Below(kRouters)));
    const size_t retried = random.Below(world.calls.size());
    if (faults && random.Chance(0.1)) {
      world.Try(retried, static_cast<int>(random.Below(kRouters)));
    }
    if (faults && random.Chance(0.01)) {
      world.Restart(static_cast<int>(random.Below(kRouters)));
    }
    if (faults && random.Chance(0.01)) {
      world.Pause(static_cast<int>(random.Below(kRouters)),
                  std::chrono::seconds(1));
    }
    world.RunFor(std::chrono::milliseconds(20));
  }
  world.RunFor(std::chrono::seconds(5));

  Totals totals;
  totals.store_writes = world.backend.writes;
  for (size_t i = 0; i < world.calls.size(); ++i) {
    const OnceWorld::Call& call = world.calls[i];
    ++totals.calls;
    totals.served += call.dispatches == 1 && call.told_ran > 0 ? 1 : 0;
    totals.max_dispatches = std::max(totals.max_dispatches, call.dispatches);
    totals.wrong_not_run += call.told_not_run > 0 && call.dispatches > 0;
    if (call.told_ran > 0) {
      totals.seconds_to_answer.push_back(
          ToSeconds(call.first_told - started[i]));
    }
  }
  return totals;
}

Totals RunSeeds(Way way, StoreState state, bool faults) {
  Totals sum;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    const Totals one =
        RunCalls(way, state, faults, static_cast<uint64_t>(seed));
    sum.calls += one.calls;
    sum.served += one.served;
    sum.max_dispatches = std::max(sum.max_dispatches, one.max_dispatches);
    sum.wrong_not_run += one.wrong_not_run;
    sum.store_writes += one.store_writes;
    sum.seconds_to_answer.insert(sum.seconds_to_answer.end(),
                                 one.seconds_to_answer.begin(),
                                 one.seconds_to_answer.end());
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
  for (const Way way : {Way::kTicket, Way::kClaim}) {
    const Totals totals = RunSeeds(way, StoreState::kFlaky, true);
    const std::string variant = absl::StrCat("[", NameOf(way), ",faults]");
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
  const Totals ticket = RunSeeds(Way::kTicket, StoreState::kOut, false);
  const Totals claim = RunSeeds(Way::kClaim, StoreState::kOut, false);
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
  for (const Way way : {Way::kTicket, Way::kClaim}) {
    const Totals totals = RunSeeds(way, StoreState::kUp, false);
    const std::string variant = absl::StrCat("[", NameOf(way), "]");
    figures.push_back(
        {.name = absl::StrCat("once.store_writes", variant),
         .value = static_cast<double>(totals.store_writes) / totals.calls,
         .unit = "writes/call",
         .seeds = kSeeds});
    figures.push_back({.name = absl::StrCat("once.answer_p50", variant),
                       .value = MedianMs(totals.seconds_to_answer),
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
