#ifndef INCLUDE_GATEWAY_CANARY_PLAN_H_
#define INCLUDE_GATEWAY_CANARY_PLAN_H_

#include <cstdint>

#include "include/base/units.h"

namespace papaya {

// The stages of a version move.
enum class CanaryStage : uint8_t {
  kSpread,  // a small share of requests, over all new upstreams
  kLoaded,  // full load on a few new upstreams, the rest idle
  kFull,    // all requests go to the new version
};

// Returns `spread`, `loaded` or `full`.
const char* CanaryStageName(CanaryStage stage);

// The schedule by which a version move shifts requests to the new version over
// the duration of its order.
//
// Most defects of a version show with a few requests to each upstream. Defects
// that appear only under load require an upstream with its full load, and must
// be found before kFull: a version found bad in that stage has already served
// all requests for a while. A bad version may serve at most a tenth of the
// requests over the whole duration, so the shares of the first two stages
// together stay below that.
struct CanaryPlan {
  // When kLoaded starts, as a fraction of the order's duration. By default not
  // before kFull: as long as the new version has no upstreams, none can be
  // loaded.
  double loaded_start = 1.0;
  int loaded_upstreams = 1;
  Permille loaded_share;

  // Returns the stage after `fraction`, in [0, 1], of the order's duration.
  CanaryStage StageAt(double fraction) const;
  // Returns the share of requests that the new version gets in `stage`. For
  // kLoaded it is approximate.
  Permille ShareIn(CanaryStage stage) const;
};

// Returns the plan for a new version with `upstreams` upstreams, at least 1,
// that runs beside `old_upstreams` upstreams of the old version.
CanaryPlan MakeCanaryPlan(int upstreams, int old_upstreams);

}  // namespace papaya

#endif  // INCLUDE_GATEWAY_CANARY_PLAN_H_
