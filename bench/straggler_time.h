#ifndef BENCH_STRAGGLER_TIME_H_
#define BENCH_STRAGGLER_TIME_H_

#include <cstdint>

#include "bench/scheduling_run.h"

namespace papaya::bench {

// Seconds from slowing until an upstream gets under 5% of its former share,
// over the minute that follows.
double StragglerSeconds(SchedulingRun run, uint64_t seed);

}  // namespace papaya::bench

#endif  // BENCH_STRAGGLER_TIME_H_
