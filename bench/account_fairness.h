#ifndef BENCH_ACCOUNT_FAIRNESS_H_
#define BENCH_ACCOUNT_FAIRNESS_H_

#include "bench/scheduling_run.h"

namespace papaya::bench {

// Served part of what they asked for, of the four accounts that ask alike: the
// smallest over the largest, while a fifth account asks for ten times as much.
// The mean over kSeeds.
double MeanAccountFairness(const SchedulingRun& run);

}  // namespace papaya::bench

#endif  // BENCH_ACCOUNT_FAIRNESS_H_
