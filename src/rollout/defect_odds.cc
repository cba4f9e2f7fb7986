#include "src/rollout/defect_odds.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>

namespace papaya {

namespace {

using Distribution = std::array<double, kLatencyBuckets>;

// A defect that makes this part of the responses this many times slower.
struct Slowdown {
  double part;
  double factor;
};

constexpr std::array<Slowdown, 4> kSlowdowns = {
    {{0.4, 2.0}, {0.4, 4.0}, {0.6, 2.0}, {0.6, 4.0}}};
// Parts of the responses that a defect makes fail.
constexpr std::array<double, 2> kFailingParts = {0.2, 0.4};
// The probability that a defect concerns all routes; single routes share the
// rest. And that it slows responses rather than make them fail.
constexpr double kAllRoutesWeight = 0.6;
constexpr double kSlowdownWeight = 0.5;

// The old version's distribution is smoothed, as it is known from its responses
// only: each counts partly for the neighbouring buckets, and each bucket has
// this weight of its own.
constexpr double kNeighbourWeight = 0.25;
constexpr double kEmptyBucketWeight = 0.02;
// Weights of a success and a failure in the old version's rate of failures, and
// the number of rates that are considered.
constexpr double kPriorFailures = 0.5;
constexpr int kFailureRates = 60;
// With fewer responses of the old version, latencies are not compared.
constexpr uint32_t kMinOldResponses = 20;

// Speeds of a VM, in standard deviations of their logarithm, with the weights
// of a normal distribution at these points.
constexpr std::array<double, 7> kSpeedPoints = {-2.1, -1.4, -0.7, 0.0,
                                                0.7,  1.4,  2.1};

// Log likelihood ratios of all defects.
struct DefectRatios {
  std::array<double, kSlowdowns.size()> slow{};
  std::array<double, kFailingParts.size()> failing{};

  DefectRatios& operator+=(const DefectRatios& other) {
    for (size_t i = 0; i < slow.size(); ++i) {
      slow[i] += other.slow[i];
    }
    for (size_t i = 0; i < failing.size(); ++i) {
      failing[i] += other.failing[i];
    }
    return *this;
  }
};

struct WeightedLog {
  double weight;
  double log;
};

double LogWeightedSum(const std::vector<WeightedLog>& terms) {
  double largest = -HUGE_VAL;
  for (const WeightedLog& term : terms) {
    largest = std::max(largest, term.log);
  }
  double sum = 0.0;
  for (const WeightedLog& term : terms) {
    sum += term.weight * std::exp(term.log - largest);
  }
  return largest + std::log(sum);
}

double LogMeanRatio(const DefectRatios& ratios) {
  std::vector<WeightedLog> terms;
  for (const double log : ratios.slow) {
    terms.push_back({kSlowdownWeight / kSlowdowns.size(), log});
  }
  for (const double log : ratios.failing) {
    terms.push_back({(1.0 - kSlowdownWeight) / kFailingParts.size(), log});
  }
  return LogWeightedSum(terms);
}

Distribution Smooth(const StatsCounts& counts) {
  Distribution smooth{};
  double sum = 0.0;
  for (size_t i = 0; i < kLatencyBuckets; ++i) {
    const double below = i > 0 ? counts.latency[i - 1] : 0;
    const double above = i + 1 < kLatencyBuckets ? counts.latency[i + 1] : 0;
    smooth[i] = (1.0 - 2.0 * kNeighbourWeight) * counts.latency[i] +
                kNeighbourWeight * (below + above) + kEmptyBucketWeight;
    sum += smooth[i];
  }
  for (double& value : smooth) {
    value /= sum;
  }
  return smooth;
}

// Returns the distribution of latencies that are `factor` times as long.
// Latencies beyond the buckets count in the outermost ones.
Distribution Stretch(const Distribution& latency, double factor) {
  const double buckets = std::log(factor) / std::log(kLatencyBucketRatio);
  const double whole = std::floor(buckets);
  const double part = buckets - whole;
  Distribution stretched{};
  for (size_t i = 0; i < kLatencyBuckets; ++i) {
    const auto add = [&](double offset, double value) {
      const double last = static_cast<double>(kLatencyBuckets) - 1.0;
      const double to = std::clamp(static_cast<double>(i) + offset, 0.0, last);
      stretched[static_cast<size_t>(to)] += value;
    };
    add(whole, (1.0 - part) * latency[i]);
    add(whole + 1.0, part * latency[i]);
  }
  return stretched;
}

Distribution MixIn(const Distribution& good, const Slowdown& slowdown) {
  const Distribution slow = Stretch(good, slowdown.factor);
  Distribution mixed;
  for (size_t i = 0; i < kLatencyBuckets; ++i) {
    mixed[i] = (1.0 - slowdown.part) * good[i] + slowdown.part * slow[i];
  }
  return mixed;
}

double LogLikelihood(const StatsCounts& counts, const Distribution& latency) {
  double log = 0.0;
  for (size_t i = 0; i < kLatencyBuckets; ++i) {
    if (counts.latency[i] > 0) {
      log += counts.latency[i] * std::log(latency[i]);
    }
  }
  return log;
}

// Log likelihoods of one upstream's latencies for each defect and, last, for
// none, in the mean over the speeds that its VM may have.
std::array<double, kSlowdowns.size() + 1> LogLikelihoods(
    const StatsCounts& counts,
    const Distribution& old_latency,
    double speed_spread) {
  std::array<std::vector<WeightedLog>, kSlowdowns.size() + 1> terms;
  for (const double point : kSpeedPoints) {
    if (speed_spread <= 0.0 && point != 0.0) {
      continue;
    }
    const double weight = std::exp(-0.5 * point * point);
    const Distribution good =
        Stretch(old_latency, std::exp(point * speed_spread));
    for (size_t i = 0; i < kSlowdowns.size(); ++i) {
      terms[i].push_back(
          {weight, LogLikelihood(counts, MixIn(good, kSlowdowns[i]))});
    }
    terms.back().push_back({weight, LogLikelihood(counts, good)});
  }
  std::array<double, kSlowdowns.size() + 1> logs;
  for (size_t i = 0; i < terms.size(); ++i) {
    logs[i] = LogWeightedSum(terms[i]);
  }
  return logs;
}

// Returns the log likelihood of `failures` among `requests` if a defect makes
// `part` of those fail that would not fail otherwise, in the mean over the
// rates of failures that the old version may have, by its counts. An old
// version of few requests without a failure may well have some.
double LogFailureLikelihood(const StatsCounts& old_version,
                            uint32_t failures,
                            uint32_t requests,
                            double part) {
  const double old_failures = old_version.failures + kPriorFailures;
  const double old_successes =
      old_version.requests - old_version.failures + kPriorFailures;
  std::vector<WeightedLog> terms;
  for (int i = 0; i < kFailureRates; ++i) {
    // More of the rates are low, as most rates of failures are.
    const double root = (i + 0.5) / kFailureRates;
    const double rate = root * root;
    const double new_rate = rate + part * (1.0 - rate);
    const double log_weight = (old_failures - 1.0) * std::log(rate) +
                              (old_successes - 1.0) * std::log(1.0 - rate);
    terms.push_back(
        {root, log_weight + failures * std::log(new_rate) +
                   (requests - failures) * std::log(1.0 - new_rate)});
  }
  return LogWeightedSum(terms);
}

bool HasLatencies(const StatsCounts& old_version) {
  return old_version.requests - old_version.failures >= kMinOldResponses;
}

DefectRatios RatiosOf(const RouteCounts& route,
                      double speed_spread,
                      double new_latency_scale) {
  DefectRatios ratios;
  const StatsCounts& old = route.old_version;
  uint32_t requests = 0;
  uint32_t failures = 0;
  for (const StatsCounts& counts : route.new_upstreams) {
    requests += counts.requests;
    failures += counts.failures;
  }
  const double log_good = LogFailureLikelihood(old, failures, requests, 0.0);
  for (size_t i = 0; i < kFailingParts.size(); ++i) {
    ratios.failing[i] =
        LogFailureLikelihood(old, failures, requests, kFailingParts[i]) -
        log_good;
  }
  if (!HasLatencies(old)) {
    return ratios;
  }
  const Distribution old_latency = Stretch(Smooth(old), new_latency_scale);
  for (const StatsCounts& counts : route.new_upstreams) {
    const auto logs = LogLikelihoods(counts, old_latency, speed_spread);
    for (size_t i = 0; i < kSlowdowns.size(); ++i) {
      ratios.slow[i] += logs[i] - logs.back();
    }
  }
  return ratios;
}

}  // namespace

double LogDefectOdds(const std::vector<RouteCounts>& routes,
                     double speed_spread,
                     double new_latency_scale) {
  if (routes.empty()) {
    return 0.0;
  }
  DefectRatios all;
  std::vector<WeightedLog> terms;
  bool is_latency_known = false;
  for (const RouteCounts& route : routes) {
    is_latency_known |= HasLatencies(route.old_version);
    const DefectRatios ratios =
        RatiosOf(route, speed_spread, new_latency_scale);
    all += ratios;
    terms.push_back(
        {(1.0 - kAllRoutesWeight) / static_cast<double>(routes.size()),
         LogMeanRatio(ratios)});
  }
  terms.push_back({kAllRoutesWeight, LogMeanRatio(all)});
  const double log_odds = LogWeightedSum(terms);
  // Failures alone do not show that a version is good.
  return is_latency_known ? log_odds : std::max(0.0, log_odds);
}

}  // namespace papaya
