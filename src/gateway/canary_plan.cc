#include "include/gateway/canary_plan.h"

#include <algorithm>

namespace papaya {

namespace {

constexpr double kPermillePerUnit = 1000.0;
// The new version's share of the requests in the first stage.
constexpr Permille kSpreadShare{50};
// One in this many new upstreams, and at least one, gets full load in kLoaded.
constexpr int kUpstreamsPerLoaded = 9;
// Limit on the requests of the second stage, as a fraction of all requests over
// the duration of the order. A bad version may serve a tenth in all; the rest
// allows for the first stage and for requests before a late detection.
constexpr double kLoadedBudget = 0.06;
// The second stage starts after this fraction of the duration at the earliest,
// so that versions that fail at once are found in the first stage.
constexpr double kMinLoadedStart = 0.15;
// When all requests go to the new version, as a fraction of the order's
// duration: as late as possible while leaving time to observe the last stage
// before the order must be completed.
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
  plan.loaded_start =
      std::max(kMinLoadedStart, kFullStart - kLoadedBudget / share);
  return plan;
}

}  // namespace papaya
