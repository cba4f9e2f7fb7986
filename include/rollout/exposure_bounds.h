#ifndef INCLUDE_ROLLOUT_EXPOSURE_BOUNDS_H_
#define INCLUDE_ROLLOUT_EXPOSURE_BOUNDS_H_

#include "include/base/units.h"

namespace papaya {

// How much of a new version that may be bad the operators bear.
struct ExposureBounds {
  // While a version is tried, it may get this part of the requests to its
  // service, plus `slack` requests, from all routers together.
  double share = 0.1;
  double slack = 50.0;
  // Time from a bad version's 50th bad response until it gets no requests.
  Duration rollback = std::chrono::seconds(5);

  bool operator==(const ExposureBounds&) const = default;
};

}  // namespace papaya

#endif  // INCLUDE_ROLLOUT_EXPOSURE_BOUNDS_H_
