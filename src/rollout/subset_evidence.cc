#include "src/rollout/subset_evidence.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace papaya {

namespace {

// The weights of a subset's parts. The metrics' weights add up to 1. The
// evidence over all routes has kOverallWeight; single routes share the rest.
constexpr double kMetricWeights[kMetrics] = {0.5, 0.4, 0.1};
constexpr double kOverallWeight = 0.5;

double LogSumExp(const std::vector<double>& logs) {
  const double largest = *std::max_element(logs.begin(), logs.end());
  double sum = 0.0;
  for (const double log : logs) {
    sum += std::exp(log - largest);
  }
  return largest + std::log(sum);
}

}  // namespace

double SubsetEvidence::LogEvidence() const {
  std::vector<double> logs;
  for (size_t i = 0; i < kMetrics; ++i) {
    const double weight = std::log(kMetricWeights[i]);
    logs.push_back(weight + std::log(kOverallWeight) +
                   overall[i].LogEvidence());
    const double route_weight =
        std::log((1.0 - kOverallWeight) / static_cast<double>(by_route.size()));
    for (const auto& [route, processes] : by_route) {
      logs.push_back(weight + route_weight + processes[i].LogEvidence());
    }
  }
  return LogSumExp(logs);
}

SubsetEvidence::Part SubsetEvidence::StrongestPart() const {
  Part part;
  double highest = -HUGE_VAL;
  const auto consider = [&](const EvidenceProcess& process, size_t metric,
                            const RouteId& route) {
    if (process.LogEvidence() > highest) {
      highest = process.LogEvidence();
      part = {static_cast<Metric>(metric), route};
    }
  };
  for (size_t i = 0; i < kMetrics; ++i) {
    consider(overall[i], i, RouteId());
    for (const auto& [route, processes] : by_route) {
      consider(processes[i], i, route);
    }
  }
  return part;
}

double SubsetEvidence::LogOf(const Part& part) const {
  const size_t metric = static_cast<size_t>(part.first);
  if (part.second.empty()) {
    return overall[metric].LogEvidence();
  }
  const auto found = by_route.find(part.second);
  return found == by_route.end() ? 0.0 : found->second[metric].LogEvidence();
}

}  // namespace papaya
