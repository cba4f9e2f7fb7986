#ifndef SRC_ADMISSION_WARMUP_PLAN_H_
#define SRC_ADMISSION_WARMUP_PLAN_H_

#include "include/admission/warmup_limiter.h"

namespace papaya {

// How the routers divide the rate of one cold upstream.
struct WarmupPlan {
  // The number of routers that warm it; 0 if the bound allows no request.
  int warmers = 0;
  // Requests a second of all warmers together.
  double per_second = 0.0;
};

// Returns the plan that keeps the warmers' bursts of one request each and their
// rates together below the bound, with room for some warmers too many.
WarmupPlan PlanWarmup(const WarmupRate& rate, const WarmupBounds& bounds);

}  // namespace papaya

#endif  // SRC_ADMISSION_WARMUP_PLAN_H_
