#ifndef INCLUDE_GATEWAY_PLATFORM_BINDING_H_
#define INCLUDE_GATEWAY_PLATFORM_BINDING_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "include/admission/memory_budget.h"
#include "include/gateway/gateway_config.h"
#include "include/gateway/gateway_settings.h"
#include "include/gateway/header_codec.h"
#include "include/gateway/move_order.h"
#include "include/gateway/platform_store.h"
#include "include/gateway/upstream_record.h"

namespace papaya {

// Adapts a gateway to the platform that it runs on. The functions only
// translate between formats; all decisions are made by the gateway.
struct PlatformBinding {
  HeaderCodec header_codec;
  // Returns a client of the platform's store at `address`, whose responses are
  // charged to `memory`, which may be null.
  std::function<std::unique_ptr<PlatformStore>(
      boost::asio::io_context&,
      const std::string& address,
      std::shared_ptr<MemoryBudget> memory)>
      open_store;
  // The object kinds of manifests and upstreams, and the name of the manifest
  // object to use.
  std::string config_kind;
  std::string config_name;
  std::string upstream_kind;
  std::function<absl::StatusOr<GatewayConfig>(const PlatformObject&)>
      decode_config;
  std::function<absl::StatusOr<UpstreamRecord>(const PlatformObject&)>
      decode_upstream;
  // The object kind of orders for version moves.
  std::string move_kind;
  std::function<absl::StatusOr<MoveOrder>(const PlatformObject&)> decode_move;
  // Returns the object status that records a state of an order.
  std::function<boost::json::value(const MoveOrder&, MoveState)> encode_move;
  // The object kind of evacuations. An object names the zone that it evacuates.
  std::string evacuation_kind;
  std::function<absl::StatusOr<AvailabilityZoneId>(const PlatformObject&)>
      decode_evacuation;
  // The object kind for the routers' own record of quarantines.
  std::string quarantine_kind;
  // The path of readiness probes.
  std::string ready_path;
};

}  // namespace papaya

#endif  // INCLUDE_GATEWAY_PLATFORM_BINDING_H_
