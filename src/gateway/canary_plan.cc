#include "include/gateway/canary_plan.h"

#include <algorithm>

namespace papaya {

namespace {

constexpr double kPermillePerUnit = 1000.0;
// The part of the allowed requests that is planned. The rest covers requests in
// flight, and rates that change during the order.
constexpr double kPlannedPart = 0.9;
// The hand-over, until the order is over, takes this part of the planned
// requests at most, of the duration, and of the time in which a bad version is
// rolled back. But all requests go over kMinHandover (s) before completion at
// the latest: routers act on ticks of 100 ms.
constexpr double kHandoverPart = 0.35;
constexpr double kHandoverFraction = 0.08;
constexpr double kHandoverOfRollback = 0.3;
constexpr double kMinHandover = 0.2;
// If the hand-over until the end of the order leaves less than this part of the
// allowed requests for the trial before it, and fewer requests than this, only
// the hand-over until completion counts: what follows happens only if the
// version is shown to be good twice.
constexpr double kMinTrialPart = 0.3;
constexpr double kMinTrialRequests = 80.0;
// Time between the report of completion and the end of the order, as a part of
// the hand-over.
constexpr double kCompletionMargin = 0.5;
// Operators read the state of an order at intervals, and must have read that it
// is completed before it is over. Seconds before its end.
constexpr double kReadMargin = 0.65;
// The part of the requests before the hand-over that is spread over all new
// upstreams first.
constexpr double kSpreadPart = 0.4;
// Requests that a version may get before the time in which it is rolled back
// soon enough: fewer than the bad responses that start that time.
constexpr double kMaxEarlyRequests = 45.0;
// A loaded upstream gets as little as this part of an even share of the
// requests, as routers prefer the upstreams of their own zones. What the plan
// gives beyond the budget is held back (VersionMoves).
constexpr double kLeastLoad = 0.6;
// The second stage starts after this fraction of the duration at the earliest,
// so that versions that fail at once are found in the first stage.
constexpr double kMinLoadedStart = 0.15;
// Routers learn of an order, and of its end, within this time.
constexpr double kSpreadDelay = 0.3;
// Services with fewer requests a second are planned for as many.
constexpr double kMinPerSecond = 1.0;

double ShareOfUpstreams(int upstreams, int old_upstreams) {
  return static_cast<double>(upstreams) /
         static_cast<double>(std::max(1, upstreams + old_upstreams));
}

Permille ToPermille(double share) {
  return Permille(static_cast<int>(kPermillePerUnit * share));
}

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

CanaryStage CanaryPlan::StageAt(Duration elapsed) const {
  if (elapsed >= full_start) {
    return CanaryStage::kFull;
  }
  return elapsed >= loaded_start ? CanaryStage::kLoaded : CanaryStage::kSpread;
}

Permille CanaryPlan::ShareIn(CanaryStage stage) const {
  switch (stage) {
    case CanaryStage::kSpread:
      return spread_share;
    case CanaryStage::kLoaded:
      return loaded_share;
    case CanaryStage::kFull:
      break;
  }
  return Permille(static_cast<int>(kPermillePerUnit));
}

CanaryPlan MakeCanaryPlan(const CanaryInput& input,
                          const ExposureBounds& bounds) {
  const double duration = ToSeconds(input.duration);
  const double ready = std::clamp(ToSeconds(input.ready), 0.0, duration);
  const double rate = std::max(input.per_second, kMinPerSecond);
  // Requests are counted as seconds of the service's whole traffic.
  const double allowed =
      kPlannedPart * (bounds.share * duration + bounds.slack / rate);
  const double rollback = ToSeconds(bounds.rollback);
  // The time between full_start and the end of the order.
  const double usual_handover =
      std::min({kHandoverPart * allowed, kHandoverFraction * duration,
                kHandoverOfRollback * rollback});
  double handover = std::max(kMinHandover + kReadMargin, usual_handover);
  double budget = allowed - handover;
  double read_margin = std::max(kReadMargin, kCompletionMargin * handover);
  if (budget < std::min(kMinTrialPart * allowed, kMinTrialRequests / rate)) {
    const double before_completion = std::max(kMinHandover, usual_handover);
    read_margin = kReadMargin;
    handover = before_completion + read_margin;
    budget = std::max(0.0, allowed - before_completion);
  }
  const double full_start = std::max(0.0, duration - handover);

  const double loaded_min_start = std::max(
      {kMinLoadedStart * duration, ready, duration - rollback + kSpreadDelay});
  const double loaded_window = std::max(0.0, full_start - loaded_min_start);
  const bool is_early = duration > rollback;
  double spread = kSpreadPart * budget;
  if (is_early) {
    spread = std::min(spread, kMaxEarlyRequests / rate);
  }
  const double loaded = budget - spread;

  CanaryPlan plan;
  plan.loaded_upstreams = 1;
  while (plan.loaded_upstreams < input.upstreams &&
         ShareOfUpstreams(plan.loaded_upstreams + 1, input.old_upstreams) *
                 loaded_window <=
             loaded) {
    ++plan.loaded_upstreams;
  }
  const double loaded_share =
      ShareOfUpstreams(plan.loaded_upstreams, input.old_upstreams);
  const double loaded_time =
      std::min(loaded_window, loaded / (kLeastLoad * loaded_share));
  const double loaded_start = full_start - loaded_time;
  // What full load does not spend is spread as well.
  spread = std::max(spread, budget - loaded_time * kLeastLoad * loaded_share);
  if (is_early) {
    spread = std::min(spread, kMaxEarlyRequests / rate);
  }
  const double spread_time = std::max(kMinHandover, loaded_start - ready);
  plan.spread_share = ToPermille(
      std::min(spread / spread_time,
               ShareOfUpstreams(input.upstreams, input.old_upstreams)));
  plan.loaded_share = ToPermille(loaded_share);
  plan.loaded_start = SecondsToDuration(loaded_start);
  plan.full_start = SecondsToDuration(full_start);
  plan.completion = SecondsToDuration(std::max(0.0, duration - read_margin));
  plan.budget = budget * rate;
  return plan;
}

}  // namespace papaya
