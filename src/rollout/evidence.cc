#include "src/rollout/evidence.h"

#include <algorithm>
#include <cmath>

namespace papaya {

namespace {

// The weight of the component for a version that is bad from the beginning.
// The change points share the rest.
constexpr double kInitialWeight = 0.7;

// Odds ratios. A version counts as good up to `tolerated`, because replicas of
// one version differ by as much.
struct EffectSizes {
  double tolerated;
  std::array<double, kEffects> alternatives;
};

constexpr EffectSizes kVersionSizes[kMetrics] = {
    {1.1, {2.5, 8.0}},  // kFailure
    {},                 // kLatency: compared by rank
    {1.2, {1.7, 3.5}},  // kVerySlow
};

constexpr EffectSizes kReplicaSizes[kMetrics] = {
    {2.0, {4.0, 12.0}},  // kFailure
    {},                  // kLatency: compared by rank
    {1.8, {3.0, 6.0}},   // kVerySlow
};

// Returns log(exp(a) + exp(b)).
double LogAddExp(double a, double b) {
  const double larger = std::max(a, b);
  if (std::isinf(larger)) {
    return larger;
  }
  return larger + std::log1p(std::exp(std::min(a, b) - larger));
}

// Returns the log of the sum over x of C(n1,x) C(n0,k-x) odds^x, up to a
// constant that does not depend on the odds.
double LogNormalizer(const EventTable& table, double odds) {
  const int64_t n1 = table.new_requests;
  const int64_t n0 = table.old_requests;
  const int64_t k = int64_t{table.new_events} + table.old_events;
  const int64_t first = std::max<int64_t>(0, k - n0);
  const int64_t last = std::min(k, n1);
  constexpr double kRescaleAbove = 1e200;
  double term = 1.0;
  double sum = 1.0;
  double log_scale = static_cast<double>(first) * std::log(odds);
  for (int64_t x = first; x < last; ++x) {
    const double ratio = static_cast<double>((n1 - x) * (k - x)) /
                         static_cast<double>((x + 1) * (n0 - k + x + 1));
    term *= ratio * odds;
    sum += term;
    if (sum > kRescaleAbove) {
      log_scale += std::log(sum);
      term /= sum;
      sum = 1.0;
    }
  }
  return log_scale + std::log(sum);
}

}  // namespace

LogRatios LogLikelihoodRatios(const EventTable& table,
                              Metric metric,
                              Subject subject) {
  const uint32_t events = table.new_events + table.old_events;
  const uint32_t requests = table.new_requests + table.old_requests;
  LogRatios ratios{};
  if (events == 0 || events == requests || table.new_requests == 0 ||
      table.old_requests == 0) {
    return ratios;
  }
  const size_t index = static_cast<size_t>(metric);
  const EffectSizes& sizes = subject == Subject::kVersion
                                 ? kVersionSizes[index]
                                 : kReplicaSizes[index];
  const double tolerated = LogNormalizer(table, sizes.tolerated);
  for (size_t i = 0; i < kEffects; ++i) {
    const double gain =
        table.new_events * std::log(sizes.alternatives[i] / sizes.tolerated);
    ratios[i] =
        gain - (LogNormalizer(table, sizes.alternatives[i]) - tolerated);
  }
  return ratios;
}

std::array<double, kEffects> EvidenceProcess::InitialActive() {
  std::array<double, kEffects> active;
  active.fill(std::log(kInitialWeight / static_cast<double>(kEffects)));
  return active;
}

void EvidenceProcess::Multiply(const LogRatios& ratios) {
  for (size_t i = 0; i < kEffects; ++i) {
    log_active_[i] += ratios[i];
  }
}

void EvidenceProcess::AddChangePoint() {
  if (change_points_left_ == 0) {
    return;
  }
  --change_points_left_;
  const double weight = (1.0 - kInitialWeight) / kMaxChangePoints;
  for (double& active : log_active_) {
    active =
        LogAddExp(active, std::log(weight / static_cast<double>(kEffects)));
  }
}

double EvidenceProcess::LogEvidence() const {
  const double reserved = (1.0 - kInitialWeight) * change_points_left_ /
                          static_cast<double>(kMaxChangePoints);
  double log = reserved > 0.0 ? std::log(reserved) : log_active_[0];
  for (size_t i = reserved > 0.0 ? 0 : 1; i < kEffects; ++i) {
    log = LogAddExp(log, log_active_[i]);
  }
  return log;
}

}  // namespace papaya
