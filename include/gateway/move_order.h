#ifndef INCLUDE_GATEWAY_MOVE_ORDER_H_
#define INCLUDE_GATEWAY_MOVE_ORDER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "include/base/ids.h"
#include "include/base/units.h"

namespace papaya {

// The state of a version move as operators see it.
enum class MoveState : uint8_t {
  kRunning,
  kCompleted,   // all requests go to the new version; the old one is stopped
  kRolledBack,  // no request goes to the new version
};

// Returns `running`, `completed` or `taken_back`, as used in logs.
const char* MoveStateName(MoveState state);

// An operator's order for a version move: it shifts the requests of a service
// to the upstreams of version `target`, which run beside those of the old
// version.
struct MoveOrder {
  PoolId service;
  VersionId target;
  // Time within which the move must be completed or rolled back.
  Duration duration{};
  // The state that a router has stored; empty if none has yet.
  std::optional<MoveState> state;
  // The name and version of the object that contains the order.
  std::string object;
  ObjectVersion version;
};

}  // namespace papaya

#endif  // INCLUDE_GATEWAY_MOVE_ORDER_H_
