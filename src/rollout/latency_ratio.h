#ifndef SRC_ROLLOUT_LATENCY_RATIO_H_
#define SRC_ROLLOUT_LATENCY_RATIO_H_

#include <array>
#include <cstddef>

#include "include/rollout/version_stats.h"
#include "src/rollout/evidence.h"

namespace papaya {

// A score for each latency bucket that increases with latency: the rank of its
// replies, scaled to mean 0 and standard deviation 1.
using LatencyScores = std::array<double, kLatencyBuckets>;

// The number of replicas of the new (candidate) and of the old version that
// the replies of a window come from.
struct ReplicaCounts {
  size_t candidate = 1;
  size_t old = 1;
};

// Computes scores from the ranks within `counts`, which must have successful
// replies.
LatencyScores RankScores(const StatsCounts& counts);

// Returns for each effect size the log of the likelihood ratio of "the new
// version is slower by this many standard deviations" against "it is slower by
// at most the tolerated shift", given all replies of the window. In this model
// the odds that a reply comes from the new version grow exponentially with its
// score. With fewer replicas, VMs alone make a larger difference, so the
// tolerated shift is larger. The ratio is exact, so that its expectation is at
// most 1 if the new version is no slower, except when both versions have many
// replies: then a saddlepoint approximation is used.
LogRatios LatencyLogRatios(const StatsCounts& candidate,
                           const StatsCounts& old,
                           const LatencyScores& scores,
                           const ReplicaCounts& replicas,
                           Subject subject);

}  // namespace papaya

#endif  // SRC_ROLLOUT_LATENCY_RATIO_H_
