#include "src/rollout/evidence_view.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace papaya {

namespace {

// Parts of one view's evidence. They add up to 1.
constexpr double kQuantityWeights[kQuantities] = {0.5, 0.4, 0.1};
constexpr double kOverallWeight = 0.5;

double LogSum(const std::vector<double>& logs) {
  const double largest = *std::max_element(logs.begin(), logs.end());
  double sum = 0.0;
  for (const double log : logs) {
    sum += std::exp(log - largest);
  }
  return largest + std::log(sum);
}

}  // namespace

double EvidenceView::Log() const {
  std::vector<double> logs;
  for (size_t i = 0; i < kQuantities; ++i) {
    const double weight = std::log(kQuantityWeights[i]);
    logs.push_back(weight + std::log(kOverallWeight) + overall[i].Log());
    const double route_weight =
        std::log((1.0 - kOverallWeight) / static_cast<double>(by_route.size()));
    for (const auto& [route, tracks] : by_route) {
      logs.push_back(weight + route_weight + tracks[i].Log());
    }
  }
  return LogSum(logs);
}

EvidenceView::Part EvidenceView::MainPart() const {
  Part part;
  double most = -HUGE_VAL;
  const auto consider = [&](const EvidenceTrack& track, size_t quantity,
                            const RouteId& route) {
    if (track.Log() > most) {
      most = track.Log();
      part = {static_cast<Quantity>(quantity), route};
    }
  };
  for (size_t i = 0; i < kQuantities; ++i) {
    consider(overall[i], i, RouteId());
    for (const auto& [route, tracks] : by_route) {
      consider(tracks[i], i, route);
    }
  }
  return part;
}

double EvidenceView::LogOf(const Part& part) const {
  const size_t quantity = static_cast<size_t>(part.first);
  if (part.second.empty()) {
    return overall[quantity].Log();
  }
  const auto found = by_route.find(part.second);
  return found == by_route.end() ? 0.0 : found->second[quantity].Log();
}

}  // namespace papaya
