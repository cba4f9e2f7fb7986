#include "src/rollout/latency_ratio.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace papaya {

namespace {

using Buckets = std::array<uint32_t, kLatencyBuckets>;

// Shifts of the latency's logarithm, in standard deviations. A version counts
// as good up to `tolerated`.
struct ShiftSizes {
  double tolerated;
  std::array<double, kEffects> alternatives;
};

constexpr std::array<double, kEffects> kVersionShifts = {0.28, 0.8};
constexpr ShiftSizes kReplicaShifts = {0.35, {0.65, 1.1}};
// VMs of one kind differ by this shift, so a version on a single VM may appear
// slower by as much.
constexpr double kSingleVmTolerance = 0.1;

// Ranks are distributed uniformly from 0 to 1. This factor scales them to a
// standard deviation of 1.
const double kRankScale = std::sqrt(12.0);
// The ratio is computed exactly if the version with fewer replies has at most
// this many.
constexpr uint32_t kMaxExactReplies = 32;
constexpr int kMaxNewtonSteps = 100;
constexpr double kNewtonTolerance = 1e-10;

ShiftSizes ShiftSizesFor(const ReplicaCounts& replicas, Subject subject) {
  if (subject == Subject::kReplica) {
    return kReplicaShifts;
  }
  const double spread = std::sqrt(
      1.0 / static_cast<double>(std::max<size_t>(1, replicas.candidate)) +
      1.0 / static_cast<double>(std::max<size_t>(1, replicas.old)));
  return {kSingleVmTolerance * spread, kVersionShifts};
}

uint32_t Sum(const Buckets& buckets) {
  uint32_t sum = 0;
  for (const uint32_t count : buckets) {
    sum += count;
  }
  return sum;
}

// Returns the log of the sum, over all subsets of `chosen` replies of `all`, of
// the product of exp(shift * score) over the subset. Convolves one bucket after
// the other.
double LogSubsetSum(const Buckets& all,
                    uint32_t chosen,
                    const LatencyScores& scores,
                    double shift) {
  std::vector<double> sums(chosen + 1, 0.0);
  sums[0] = 1.0;
  uint32_t replies_so_far = 0;
  for (size_t b = 0; b < kLatencyBuckets; ++b) {
    const double weight = std::exp(shift * scores[b]);
    const uint32_t max_from_bucket = std::min(all[b], chosen);
    const uint32_t end = std::min(chosen, replies_so_far + max_from_bucket);
    for (uint32_t n = end; n > 0; --n) {
      double ways = 1.0;
      double sum = sums[n];
      for (uint32_t j = 1; j <= std::min(n, max_from_bucket); ++j) {
        ways *= weight * static_cast<double>(all[b] - j + 1) / j;
        sum += ways * sums[n - j];
      }
      sums[n] = sum;
    }
    replies_so_far = end;
  }
  return std::log(sums[chosen]);
}

// Returns a saddlepoint approximation of LogSubsetSum: each reply is chosen
// independently with odds exp(shift * score + tilt). Newton's method finds the
// tilt for which the expected number of chosen replies is `chosen`.
double ApproximateLogSubsetSum(const Buckets& all,
                               uint32_t chosen,
                               const LatencyScores& scores,
                               double shift) {
  double tilt = std::log(static_cast<double>(chosen) / (Sum(all) - chosen));
  double variance = 1.0;
  for (int step = 0; step < kMaxNewtonSteps; ++step) {
    double expected = 0.0;
    variance = 0.0;
    for (size_t b = 0; b < kLatencyBuckets; ++b) {
      const double probability =
          1.0 / (1.0 + std::exp(-shift * scores[b] - tilt));
      expected += all[b] * probability;
      variance += all[b] * probability * (1.0 - probability);
    }
    const double change = std::clamp((chosen - expected) / variance, -1.0, 1.0);
    tilt += change;
    if (std::abs(change) < kNewtonTolerance) {
      break;
    }
  }
  double log = -static_cast<double>(chosen) * tilt;
  for (size_t b = 0; b < kLatencyBuckets; ++b) {
    log += all[b] * std::log1p(std::exp(shift * scores[b] + tilt));
  }
  return log - 0.5 * std::log(variance);
}

}  // namespace

LatencyScores RankScores(const StatsCounts& counts) {
  const double all = Sum(counts.latency);
  LatencyScores scores{};
  double below = 0.0;
  for (size_t b = 0; b < kLatencyBuckets; ++b) {
    const double rank = (below + counts.latency[b] / 2.0) / all;
    scores[b] = kRankScale * (rank - 0.5);
    below += counts.latency[b];
  }
  return scores;
}

LogRatios LatencyLogRatios(const StatsCounts& candidate,
                           const StatsCounts& old,
                           const LatencyScores& scores,
                           const ReplicaCounts& replicas,
                           Subject subject) {
  LogRatios ratios{};
  const uint32_t candidate_count = Sum(candidate.latency);
  const uint32_t old_count = Sum(old.latency);
  if (candidate_count == 0 || old_count == 0) {
    return ratios;
  }
  // Choosing the old version's replies with the opposite shift gives the same
  // ratio, so the smaller set is chosen.
  const bool is_candidate_smaller = candidate_count <= old_count;
  const Buckets& side = is_candidate_smaller ? candidate.latency : old.latency;
  const double sign = is_candidate_smaller ? 1.0 : -1.0;
  const uint32_t chosen = std::min(candidate_count, old_count);
  Buckets all{};
  double score = 0.0;
  for (size_t b = 0; b < kLatencyBuckets; ++b) {
    all[b] = candidate.latency[b] + old.latency[b];
    score += side[b] * scores[b];
  }
  const auto log_subset_sum = [&](double shift) {
    return chosen <= kMaxExactReplies
               ? LogSubsetSum(all, chosen, scores, sign * shift)
               : ApproximateLogSubsetSum(all, chosen, scores, sign * shift);
  };
  const ShiftSizes sizes = ShiftSizesFor(replicas, subject);
  const double tolerated = log_subset_sum(sizes.tolerated);
  for (size_t i = 0; i < kEffects; ++i) {
    const double gain =
        sign * (sizes.alternatives[i] - sizes.tolerated) * score;
    ratios[i] = gain - (log_subset_sum(sizes.alternatives[i]) - tolerated);
  }
  return ratios;
}

}  // namespace papaya
