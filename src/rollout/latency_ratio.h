#ifndef SRC_ROLLOUT_LATENCY_RATIO_H_
#define SRC_ROLLOUT_LATENCY_RATIO_H_

#include <array>
#include <cstddef>

#include "include/rollout/version_stats.h"
#include "src/rollout/evidence.h"

namespace papaya {

// A score for each latency bucket, growing with latency: the rank of its
// replies among others, with mean 0 and standard deviation 1.
using LatencyScores = std::array<double, kLatencyBuckets>;

// How many replicas a window's replies come from.
struct ReplicaCounts {
  size_t candidate = 1;
  size_t old = 1;
};

// Scores by the ranks within `counts`, which must have replies that succeeded.
LatencyScores RankScores(const StatsCounts& counts);

// For each effect, the log of the likelihood ratio of `the new version is so
// many standard deviations slower` against `it is hardly slower`, given all
// replies of the window. Fewer replicas differ more by their VMs alone, so more
// is tolerated. Chances that a reply is of the new version grow
// exponentially with its score. Exact, so its expectation is at most 1 if the
// new version is no slower; by saddlepoints where both sides have many replies.
LogRatios LatencyLogRatios(const StatsCounts& candidate,
                           const StatsCounts& old,
                           const LatencyScores& scores,
                           const ReplicaCounts& replicas,
                           Subject subject);

}  // namespace papaya

#endif  // SRC_ROLLOUT_LATENCY_RATIO_H_
