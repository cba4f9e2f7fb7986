#ifndef INCLUDE_GATEWAY_GATEWAY_CONFIG_H_
#define INCLUDE_GATEWAY_GATEWAY_CONFIG_H_

#include <optional>
#include <string>
#include <vector>

#include "include/admission/warmup_limiter.h"
#include "include/base/ids.h"
#include "include/base/units.h"
#include "include/gateway/service_route.h"

namespace papaya {

// A client account with its API keys and its quota, which covers all routers.
struct ClientAccount {
  AccountId id;
  std::vector<std::string> api_keys;
  // Takes precedence over the priorities of routes; 0 is the highest. Accounts
  // without a priority count as 0.
  std::optional<int> priority;
  // Quota: `rate` per second with bursts of up to `burst`, in tokens if
  // `counts_tokens`, otherwise in requests. Unlimited if `rate` is 0.
  double rate = 0.0;
  double burst = 0.0;
  bool counts_tokens = false;
  // The cost of a request without token counts, for quotas in tokens.
  Tokens plain_tokens{1};
  // The regions whose upstreams may get its requests; empty if all may.
  std::vector<RegionId> allowed_regions;

  bool operator==(const ClientAccount&) const = default;
};

// A service. All upstreams that register under its name are interchangeable.
struct ServiceInfo {
  PoolId id;
  bool is_engine = false;
  // Output tokens per event of a stream.
  Tokens tokens_per_event{1};
  // How its upstreams warm up after a start.
  WarmupRate warmup;

  bool operator==(const ServiceInfo&) const = default;
};

// Limits on callers' requests and connections.
struct CallerLimits {
  Bytes max_header_bytes{16 * 1024};
  Bytes max_body_bytes{4 * 1024 * 1024};
  // Time within which a request's header must be complete.
  Duration header_timeout = std::chrono::seconds(3);
  // Idle connections are closed after this time.
  Duration idle_timeout = std::chrono::seconds(15);

  bool operator==(const CallerLimits&) const = default;
};

// One version of the operators' manifest. Immutable once in force; shared as
// std::shared_ptr<const GatewayConfig>.
struct GatewayConfig {
  Revision version;
  std::vector<ServiceRoute> routes;
  std::vector<ServiceInfo> services;
  std::vector<ClientAccount> accounts;
  // Requests need the key of an account though there may be none.
  bool needs_keys = false;
  CallerLimits limits;

  // True if requests on routes that are not anonymous need a key.
  bool NeedsKeys() const { return needs_keys || !accounts.empty(); }

  bool operator==(const GatewayConfig&) const = default;
};

}  // namespace papaya

#endif  // INCLUDE_GATEWAY_GATEWAY_CONFIG_H_
