#ifndef BENCH_ACCOUNT_FAIRNESS_H_
#define BENCH_ACCOUNT_FAIRNESS_H_

#include "bench/scheduling_run.h"

namespace papaya::bench {

// Runs five accounts, of which one requests ten times as much as each of the
// four others. Returns the smallest served fraction of these four divided by
// the largest, as a mean over kSeeds. The served fraction of an account is the
// value of its answers in time divided by the value of its requests; only the
// standard tier counts.
double MeanAccountFairness(const SchedulingRun& run);

}  // namespace papaya::bench

#endif  // BENCH_ACCOUNT_FAIRNESS_H_
