#ifndef INCLUDE_ROLLOUT_ENGINE_ORDER_H_
#define INCLUDE_ROLLOUT_ENGINE_ORDER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "include/base/ids.h"
#include "include/base/units.h"

namespace papaya {

// An action that an engine is ordered to perform. Every action is idempotent.
enum class OrderAction : uint8_t {
  kLoadVersion,      // load from the weight store, keep versions loaded before
  kActivateVersion,  // serve new requests with this loaded version
  kUnloadVersion,    // free its memory; refused for the active version
  kLoadAdapter,
  kSetRole,
};

// Returns the name of `action` on the wire, such as `load_version`.
const char* OrderActionName(OrderAction action);

// An order that the holder of the note lease sends to one engine.
struct EngineOrder {
  // Unique; identifies the order in the logs of the router and of the engine.
  OperationId id;
  UpstreamId upstream;
  FencingNumber fencing;
  OrderAction action = OrderAction::kLoadVersion;
  // The version, adapter or role that `action` applies to.
  std::string argument;
  // The latest time at which the order may be written to the connection. The
  // sender reads the clock again right before the write and drops the order if
  // this time has passed.
  TimePoint send_before;
  // If the engine has not answered by this time, the connection is closed.
  TimePoint answer_before;

  bool operator==(const EngineOrder&) const = default;
};

// The state that an engine reports on `GET /v1/state`.
struct EngineState {
  // The version that serves new requests; empty if none is active.
  VersionId active;
  std::vector<VersionId> loaded;
  // Versions that are still being loaded from the weight store.
  std::vector<VersionId> loading;
  std::vector<std::string> adapters;
  std::string role;
  // The highest fencing number that the engine has received; 0 if it does not
  // check fencing numbers.
  FencingNumber fencing;

  bool operator==(const EngineState&) const = default;
};

}  // namespace papaya

#endif  // INCLUDE_ROLLOUT_ENGINE_ORDER_H_
