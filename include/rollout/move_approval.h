#ifndef INCLUDE_ROLLOUT_MOVE_APPROVAL_H_
#define INCLUDE_ROLLOUT_MOVE_APPROVAL_H_

#include "include/base/ids.h"

namespace papaya {

// A router that judges a version move tells the others that the new version was
// shown to be good, so that all requests may go to it.
struct MoveApproval {
  PoolId service;
  VersionId target;

  bool operator==(const MoveApproval&) const = default;
};

}  // namespace papaya

#endif  // INCLUDE_ROLLOUT_MOVE_APPROVAL_H_
