#ifndef BENCH_STRAGGLER_TIME_H_
#define BENCH_STRAGGLER_TIME_H_

#include <cstdint>

#include "bench/scheduling_run.h"

namespace papaya::bench {

// Slows an upstream down during `run`. Returns the seconds from the slowdown
// until the upstream's fraction of the dispatches in the next minute is below
// 5% of its fraction before; at most 60.
double StragglerSeconds(SchedulingRun run, uint64_t seed);

}  // namespace papaya::bench

#endif  // BENCH_STRAGGLER_TIME_H_
