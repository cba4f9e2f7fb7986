#ifndef INCLUDE_GATEWAY_MOVE_ORDER_H_
#define INCLUDE_GATEWAY_MOVE_ORDER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "include/base/ids.h"
#include "include/base/units.h"

namespace papaya {

// How far a move of a service to another version is, as operators see it.
enum class MoveState : uint8_t {
  kRunning,
  kCompleted,   // all requests go to the new version; the old one is stopped
  kRolledBack,  // no request goes to the new version
};

// `running`, `completed` or `taken_back`.
const char* MoveStateName(MoveState state);

// What operators ask: move the requests of a service to the upstreams of
// another version, which were started beside the old ones.
struct MoveOrder {
  PoolId service;
  VersionId target;
  // The move must have ended within this time.
  Duration duration{};
  // What a router wrote of it; empty if none did yet.
  std::optional<MoveState> state;
  // Of the object that holds the order.
  std::string object;
  ObjectVersion version;
};

}  // namespace papaya

#endif  // INCLUDE_GATEWAY_MOVE_ORDER_H_
