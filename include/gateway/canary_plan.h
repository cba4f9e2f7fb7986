#ifndef INCLUDE_GATEWAY_CANARY_PLAN_H_
#define INCLUDE_GATEWAY_CANARY_PLAN_H_

#include <cstdint>

#include "include/base/units.h"

namespace papaya {

// The stages of a move to a new version.
enum class CanaryStage : uint8_t {
  kSpread,  // a few requests to each of its upstreams
  kLoaded,  // some of its upstreams among those of the old version
  kFull,    // all requests
};

// `spread`, `loaded` or `full`.
const char* CanaryStageName(CanaryStage stage);

// How a new version is tried over the time of an order. Most faults show with a
// few requests to each upstream. Faults under load show only on an upstream
// that has its whole load, and early enough only where that is ahead of the
// last stage: a version found bad there has had all requests for a while. The
// shares of the first two stages together stay below a tenth of the requests
// over the whole time, which a bad version may have had.
struct CanaryPlan {
  // The part of the order's time at which some upstreams get their load.
  double loaded_start = 0.0;
  int loaded_upstreams = 1;
  Permille loaded_share;

  // The stage at that part of the order's time, in [0, 1].
  CanaryStage StageAt(double fraction) const;
  // The share of the requests that the new version gets in `stage`; about, for
  // kLoaded.
  Permille ShareIn(CanaryStage stage) const;
};

// The plan for a version with so many upstreams, at least 1, beside those of
// the old version.
CanaryPlan MakeCanaryPlan(int upstreams, int old_upstreams);

}  // namespace papaya

#endif  // INCLUDE_GATEWAY_CANARY_PLAN_H_
