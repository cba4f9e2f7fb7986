#include "bench/straggler_time.h"

#include <chrono>
#include <memory>

namespace papaya::bench {

namespace {

// Returns the fraction of the dispatches to model engines in [begin, end) that
// went to `engine`.
double DispatchFraction(const FakeFleet& fleet,
                        size_t engine,
                        TimePoint begin,
                        TimePoint end) {
  double all = 0.0;
  double own = 0.0;
  for (const auto& [id, record] : fleet.records()) {
    for (size_t i = 0; i < record.dispatched.size(); ++i) {
      const TimePoint time = record.dispatch_times[i];
      if (record.spec.prompt_tokens.value() > 0 && time >= begin &&
          time < end) {
        all += 1.0;
        own += record.dispatched[i] == engine ? 1.0 : 0.0;
      }
    }
  }
  return all > 0.0 ? own / all : 0.0;
}

// Returns the first engine after the first two that got work in [begin, end).
// For an engine without work no decrease can be measured.
size_t FirstEngineWithWork(const FakeFleet& fleet,
                           TimePoint begin,
                           TimePoint end) {
  size_t engine = 2;
  while (engine + 1 < fleet.engine_count() &&
         DispatchFraction(fleet, engine, begin, end) == 0.0) {
    ++engine;
  }
  return engine;
}

}  // namespace

double StragglerSeconds(SchedulingRun run, uint64_t seed) {
  constexpr Duration kWindow = std::chrono::seconds(60);
  TimePoint slowed;
  size_t engine = 0;
  run.prepare = [&slowed, &engine, kWindow](FakeFleet* fleet, FakeTraffic*) {
    slowed = fleet->loop().now() + kWindow;
    fleet->loop().After(kWindow, [&slowed, &engine, kWindow, fleet] {
      engine = FirstEngineWithWork(*fleet, slowed - kWindow, slowed);
      fleet->engine(engine).SetSlowness(4.0);
    });
  };
  const auto fleet = RunFleet(run, seed);
  const double limit =
      0.05 * DispatchFraction(*fleet, engine, slowed - kWindow, slowed);
  const Duration step = std::chrono::milliseconds(250);
  Duration after{};
  while (after < std::chrono::seconds(60) &&
         DispatchFraction(*fleet, engine, slowed + after,
                          slowed + after + kWindow) >= limit) {
    after += step;
  }
  return ToSeconds(after);
}

}  // namespace papaya::bench
