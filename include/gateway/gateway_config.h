#ifndef INCLUDE_GATEWAY_GATEWAY_CONFIG_H_
#define INCLUDE_GATEWAY_GATEWAY_CONFIG_H_

#include <optional>
#include <string>
#include <vector>

#include "include/base/ids.h"
#include "include/base/units.h"
#include "include/gateway/service_route.h"

namespace papaya {

// A client account with its keys and its quota over all routers.
struct ClientAccount {
  AccountId id;
  std::vector<std::string> api_keys;
  // Takes the place of the route's priority.
  std::optional<int> priority;
  // Quota: `rate` a second and `burst` at once, in tokens if `counts_tokens`,
  // else in requests. No quota if `rate` is 0.
  double rate = 0.0;
  double burst = 0.0;
  bool counts_tokens = false;
  // What a request without token counts takes of a quota in tokens.
  Tokens plain_tokens{1};

  bool operator==(const ClientAccount&) const = default;
};

// One service: the upstreams that register under its name are alike.
struct ServiceInfo {
  PoolId id;
  bool is_engine = false;
  // Output tokens in one event of a stream.
  Tokens tokens_per_event{1};

  bool operator==(const ServiceInfo&) const = default;
};

// Bounds on what callers may send.
struct CallerLimits {
  Bytes max_header_bytes{16 * 1024};
  Bytes max_body_bytes{4 * 1024 * 1024};
  // A request's header must be whole by then.
  Duration header_timeout = std::chrono::seconds(3);
  // A connection without a request is closed after this.
  Duration idle_timeout = std::chrono::seconds(15);

  bool operator==(const CallerLimits&) const = default;
};

// One version of the manifest that operators write. Immutable once in force;
// shared as std::shared_ptr<const GatewayConfig>.
struct GatewayConfig {
  Revision version;
  std::vector<ServiceRoute> routes;
  std::vector<ServiceInfo> services;
  std::vector<ClientAccount> accounts;
  CallerLimits limits;

  bool operator==(const GatewayConfig&) const = default;
};

}  // namespace papaya

#endif  // INCLUDE_GATEWAY_GATEWAY_CONFIG_H_
