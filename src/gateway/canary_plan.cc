#include "include/gateway/canary_plan.h"

#include <algorithm>

namespace papaya {

namespace {

constexpr double kPermillePerUnit = 1000.0;
// Over the first stage.
constexpr Permille kSpreadShare{50};
// One upstream in so many gets its load.
constexpr int kUpstreamsPerLoaded = 9;
// What the second stage may cost, as a part of all requests over the time of
// the order: a tenth, less the first stage and what a late verdict lets
// through.
constexpr double kLoadedBudget = 0.06;
// The part of the order's time after which all requests go to the new version:
// as late as lets the last stage be seen before the order must be completed.
constexpr double kFullStart = 0.86;

}  // namespace

const char* CanaryStageName(CanaryStage stage) {
  switch (stage) {
    case CanaryStage::kSpread:
      return "spread";
    case CanaryStage::kLoaded:
      return "loaded";
    case CanaryStage::kFull:
      break;
  }
  return "full";
}

CanaryStage CanaryPlan::StageAt(double fraction) const {
  if (fraction >= kFullStart) {
    return CanaryStage::kFull;
  }
  return fraction >= loaded_start ? CanaryStage::kLoaded : CanaryStage::kSpread;
}

Permille CanaryPlan::ShareIn(CanaryStage stage) const {
  switch (stage) {
    case CanaryStage::kSpread:
      return kSpreadShare;
    case CanaryStage::kLoaded:
      return loaded_share;
    case CanaryStage::kFull:
      break;
  }
  return Permille(static_cast<int>(kPermillePerUnit));
}

CanaryPlan MakeCanaryPlan(int upstreams, int old_upstreams) {
  CanaryPlan plan;
  plan.loaded_upstreams = std::max(1, upstreams / kUpstreamsPerLoaded);
  const double share = static_cast<double>(plan.loaded_upstreams) /
                       (plan.loaded_upstreams + std::max(0, old_upstreams));
  plan.loaded_share = Permille(static_cast<int>(kPermillePerUnit * share));
  plan.loaded_start = kFullStart - kLoadedBudget / share;
  return plan;
}

}  // namespace papaya
