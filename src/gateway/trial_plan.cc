#include "include/gateway/trial_plan.h"

#include <algorithm>

namespace papaya {

namespace {

constexpr double kWhole = 1000.0;
// Over the first stage.
constexpr Permille kSpreadShare{50};
// One upstream in so many gets its load.
constexpr int kUpstreamsForOneLoaded = 9;
// What the second stage may cost, as a part of all requests over the time of
// the order: a tenth, less the first stage and what a late verdict lets
// through.
constexpr double kLoadedBudget = 0.06;
// The part of the order's time after which all requests go to the new version:
// as late as lets the last stage be seen before the order must be completed.
constexpr double kFullBegin = 0.86;

}  // namespace

const char* TrialStageName(TrialStage stage) {
  switch (stage) {
    case TrialStage::kSpread:
      return "spread";
    case TrialStage::kLoaded:
      return "loaded";
    case TrialStage::kFull:
      break;
  }
  return "full";
}

TrialStage TrialPlan::StageAt(double part) const {
  if (part >= kFullBegin) {
    return TrialStage::kFull;
  }
  return part >= loaded_begin ? TrialStage::kLoaded : TrialStage::kSpread;
}

Permille TrialPlan::ShareIn(TrialStage stage) const {
  switch (stage) {
    case TrialStage::kSpread:
      return kSpreadShare;
    case TrialStage::kLoaded:
      return loaded_share;
    case TrialStage::kFull:
      break;
  }
  return Permille(static_cast<int>(kWhole));
}

TrialPlan MakeTrialPlan(int upstreams, int old_upstreams) {
  TrialPlan plan;
  plan.loaded_upstreams = std::max(1, upstreams / kUpstreamsForOneLoaded);
  const double share = static_cast<double>(plan.loaded_upstreams) /
                       (plan.loaded_upstreams + std::max(0, old_upstreams));
  plan.loaded_share = Permille(static_cast<int>(kWhole * share));
  plan.loaded_begin = kFullBegin - kLoadedBudget / share;
  return plan;
}

}  // namespace papaya
