#include "src/rollout/latency_ratio.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace papaya {

namespace {

using Buckets = std::array<uint32_t, kLatencyBuckets>;

// Shifts in standard deviations of the latency's logarithm. Up to `tolerated` a
// version counts as good.
struct ShiftSizes {
  double tolerated;
  std::array<double, kEffects> tried;
};

constexpr std::array<double, kEffects> kVersionShifts = {0.28, 0.8};
constexpr ShiftSizes kReplicaShifts = {0.35, {0.65, 1.1}};
// VMs of one kind differ by as much, so a version on one VM may.
constexpr double kToleratedOnOne = 0.1;

// Ranks are spread evenly from 0 to 1: this makes their deviation 1.
const double kRankScale = std::sqrt(12.0);
// Up to so many replies of the smaller side are counted exactly.
constexpr uint32_t kMostExact = 32;
constexpr int kMostSteps = 100;
constexpr double kStepsEnd = 1e-10;

ShiftSizes SizesFor(const ReplicaCounts& replicas, Suspect suspect) {
  if (suspect == Suspect::kReplica) {
    return kReplicaShifts;
  }
  const double spread =
      std::sqrt(1.0 / static_cast<double>(std::max<size_t>(1, replicas.fresh)) +
                1.0 / static_cast<double>(std::max<size_t>(1, replicas.old)));
  return {kToleratedOnOne * spread, kVersionShifts};
}

uint32_t Sum(const Buckets& buckets) {
  uint32_t sum = 0;
  for (const uint32_t count : buckets) {
    sum += count;
  }
  return sum;
}

// Log of the sum, over all ways to choose `chosen` of `all` replies, of the
// product of exp(shift * score). Convolves one bucket after the other.
double LogChoices(const Buckets& all,
                  uint32_t chosen,
                  const LatencyScores& scores,
                  double shift) {
  std::vector<double> sums(chosen + 1, 0.0);
  sums[0] = 1.0;
  uint32_t reached = 0;
  for (size_t b = 0; b < kLatencyBuckets; ++b) {
    const double weight = std::exp(shift * scores[b]);
    const uint32_t most = std::min(all[b], chosen);
    const uint32_t end = std::min(chosen, reached + most);
    for (uint32_t n = end; n > 0; --n) {
      double ways = 1.0;
      double sum = sums[n];
      for (uint32_t j = 1; j <= std::min(n, most); ++j) {
        ways *= weight * static_cast<double>(all[b] - j + 1) / j;
        sum += ways * sums[n - j];
      }
      sums[n] = sum;
    }
    reached = end;
  }
  return std::log(sums[chosen]);
}

// The same by a saddlepoint: replies are chosen one by one with odds
// exp(shift * score + tilt), where the tilt makes `chosen` the expected number.
double LogChoicesNearly(const Buckets& all,
                        uint32_t chosen,
                        const LatencyScores& scores,
                        double shift) {
  double tilt = std::log(static_cast<double>(chosen) / (Sum(all) - chosen));
  double variance = 1.0;
  for (int step = 0; step < kMostSteps; ++step) {
    double expected = 0.0;
    variance = 0.0;
    for (size_t b = 0; b < kLatencyBuckets; ++b) {
      const double chance = 1.0 / (1.0 + std::exp(-shift * scores[b] - tilt));
      expected += all[b] * chance;
      variance += all[b] * chance * (1.0 - chance);
    }
    const double change = std::clamp((chosen - expected) / variance, -1.0, 1.0);
    tilt += change;
    if (std::abs(change) < kStepsEnd) {
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

LogRatios LatencyLogRatios(const StatsCounts& fresh,
                           const StatsCounts& old,
                           const LatencyScores& scores,
                           const ReplicaCounts& replicas,
                           Suspect suspect) {
  LogRatios ratios{};
  const uint32_t fresh_count = Sum(fresh.latency);
  const uint32_t old_count = Sum(old.latency);
  if (fresh_count == 0 || old_count == 0) {
    return ratios;
  }
  // Choosing the old replies by the opposite shift is the same.
  const bool is_fresh_smaller = fresh_count <= old_count;
  const Buckets& side = is_fresh_smaller ? fresh.latency : old.latency;
  const double sign = is_fresh_smaller ? 1.0 : -1.0;
  const uint32_t chosen = std::min(fresh_count, old_count);
  Buckets all{};
  double score = 0.0;
  for (size_t b = 0; b < kLatencyBuckets; ++b) {
    all[b] = fresh.latency[b] + old.latency[b];
    score += side[b] * scores[b];
  }
  const auto log_choices = [&](double shift) {
    return chosen <= kMostExact
               ? LogChoices(all, chosen, scores, sign * shift)
               : LogChoicesNearly(all, chosen, scores, sign * shift);
  };
  const ShiftSizes sizes = SizesFor(replicas, suspect);
  const double tolerated = log_choices(sizes.tolerated);
  for (size_t i = 0; i < kEffects; ++i) {
    const double gain = sign * (sizes.tried[i] - sizes.tolerated) * score;
    ratios[i] = gain - (log_choices(sizes.tried[i]) - tolerated);
  }
  return ratios;
}

}  // namespace papaya
