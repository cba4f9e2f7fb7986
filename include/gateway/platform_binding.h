#ifndef INCLUDE_GATEWAY_PLATFORM_BINDING_H_
#define INCLUDE_GATEWAY_PLATFORM_BINDING_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "include/gateway/gateway_config.h"
#include "include/gateway/gateway_settings.h"
#include "include/gateway/header_codec.h"
#include "include/gateway/move_order.h"
#include "include/gateway/platform_store.h"
#include "include/gateway/upstream_record.h"

namespace papaya {

// All that a gateway needs to know of the platform that it runs on. Whatever
// stands behind it translates and decides nothing.
struct PlatformBinding {
  HeaderCodec header_codec;
  // Opens the platform's store at `address`.
  std::function<std::unique_ptr<PlatformStore>(boost::asio::io_context&,
                                               const std::string& address)>
      open_store;
  // The kinds of objects that hold manifests and upstreams, and the name of the
  // manifest in force.
  std::string config_kind;
  std::string config_name;
  std::string upstream_kind;
  std::function<absl::StatusOr<GatewayConfig>(const PlatformObject&)>
      decode_config;
  std::function<absl::StatusOr<UpstreamRecord>(const PlatformObject&)>
      decode_upstream;
  // The kind of objects that hold orders to move services between versions.
  std::string move_kind;
  std::function<absl::StatusOr<MoveOrder>(const PlatformObject&)> decode_move;
  // The status of an order in that state.
  std::function<boost::json::value(const MoveOrder&, MoveState)> encode_move;
  // The path that the platform asks for readiness.
  std::string ready_path;
};

}  // namespace papaya

#endif  // INCLUDE_GATEWAY_PLATFORM_BINDING_H_
