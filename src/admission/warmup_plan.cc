#include "src/admission/warmup_plan.h"

#include <algorithm>
#include <cmath>

namespace papaya {

namespace {

// The part of the bound that is planned for. The rest covers routers that take
// themselves for warmers while views differ, and the rare requests by which the
// others learn that the upstream is back.
constexpr double kPlannedPart = 0.7;
// As many as use an upstream in a large fleet.
constexpr double kMaxWarmers = RoutingSnapshot::kRoutersPerUpstream;
// At this rate a single warmer sends at most one request in any second.
constexpr double kSlowestRate = 0.9;

}  // namespace

WarmupPlan PlanWarmup(const WarmupRate& rate, const WarmupBounds& bounds) {
  const double allowed = rate.per_second * bounds.over + bounds.slack;
  if (!(allowed >= 1.0)) {
    return {};
  }
  const double planned = kPlannedPart * allowed;
  WarmupPlan plan;
  plan.per_second =
      std::min(rate.per_second, std::max(planned - 1.0, kSlowestRate));
  plan.warmers = static_cast<int>(
      std::clamp(std::floor(planned - plan.per_second), 1.0, kMaxWarmers));
  return plan;
}

}  // namespace papaya
