#ifndef INCLUDE_ROLLOUT_ENGINE_ORDER_H_
#define INCLUDE_ROLLOUT_ENGINE_ORDER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "include/base/ids.h"
#include "include/base/units.h"

namespace papaya {

// What an engine is told to do. Each is idempotent.
enum class OrderAction : uint8_t {
  kLoadVersion,      // from the weight store, beside what it has
  kActivateVersion,  // serve new work with this loaded version
  kUnloadVersion,    // free its memory; refused for the active one
  kLoadAdapter,
  kSetRole,
};

// The action's name on the wire, as `load_version`.
const char* OrderActionName(OrderAction action);

// An order to one engine.
struct EngineOrder {
  // Unique, for the logs of both ends.
  OperationId id;
  UpstreamId upstream;
  FencingNumber fencing;
  OrderAction action = OrderAction::kLoadVersion;
  // The version, adapter or role.
  std::string argument;
  // The last moment at which its bytes may be written. Whoever sends it reads
  // the clock once more right before the write, and drops it when that is past.
  TimePoint send_before;
  // The engine must have answered by then, else the connection is closed.
  TimePoint answer_before;

  bool operator==(const EngineOrder&) const = default;
};

// What an engine says of itself on `GET /v1/state`.
struct EngineState {
  // The version that serves new work; empty if none is active.
  VersionId active;
  std::vector<VersionId> loaded;
  // Still on their way from the weight store.
  std::vector<VersionId> loading;
  std::vector<std::string> adapters;
  std::string role;
  // The highest fencing number that it has seen; 0 if it ignores them.
  FencingNumber fencing;

  bool operator==(const EngineState&) const = default;
};

}  // namespace papaya

#endif  // INCLUDE_ROLLOUT_ENGINE_ORDER_H_
