#ifndef INCLUDE_GATEWAY_CANARY_PLAN_H_
#define INCLUDE_GATEWAY_CANARY_PLAN_H_

#include <cstddef>
#include <cstdint>

#include "include/base/units.h"
#include "include/rollout/exposure_bounds.h"

namespace papaya {

// The stages of a version move.
enum class CanaryStage : uint8_t {
  kSpread,  // a small share of requests, over all new upstreams
  kLoaded,  // full load on a few new upstreams, the rest idle
  kFull,    // all requests go to the new version
};

// Returns `spread`, `loaded` or `full`.
const char* CanaryStageName(CanaryStage stage);

// What a plan is made for. Times count from the order.
struct CanaryInput {
  Duration duration{};
  // When the new version's first upstream registered.
  Duration ready{};
  int upstreams = 1;
  int old_upstreams = 0;
  // Requests a second to the service, from all routers together.
  double per_second = 0.0;
};

// The schedule by which a version move shifts requests to the new version over
// the duration of its order.
//
// Until it is shown to be good, the version gets the requests that a bad one
// may have at most (ExposureBounds), less those of the hand-over: more requests
// tell more, and nothing returns them once the old version has been stopped.
// What a short order has for them is mostly the slack, and of a long order the
// share.
//
// Most defects of a version show with a few requests to each upstream. Defects
// that appear only under load require an upstream with its full load. The full
// load, which spends most of the requests, falls into the last seconds, in
// which a version that turns out bad is rolled back soon enough.
//
// Times are from the order, budgets in requests of the whole fleet.
struct CanaryPlan {
  // When kLoaded starts. By default not before kFull: as long as the new
  // version has no upstreams, none can be loaded.
  Duration loaded_start = Duration::max();
  // When kFull starts, if the version is shown to be good by then.
  Duration full_start = Duration::max();
  // When the order is reported as completed, or rolled back if that was not
  // shown.
  Duration completion = Duration::max();
  int loaded_upstreams = 1;
  Permille spread_share;
  Permille loaded_share;
  // Requests that the new version may get before kFull.
  double budget = 0.0;

  // Returns the stage at `elapsed`.
  CanaryStage StageAt(Duration elapsed) const;
  // Returns the share of requests that the new version gets in `stage`. For
  // kLoaded it is approximate.
  Permille ShareIn(CanaryStage stage) const;
};

CanaryPlan MakeCanaryPlan(const CanaryInput& input,
                          const ExposureBounds& bounds);

}  // namespace papaya

#endif  // INCLUDE_GATEWAY_CANARY_PLAN_H_
