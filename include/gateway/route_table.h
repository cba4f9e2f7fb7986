#ifndef INCLUDE_GATEWAY_ROUTE_TABLE_H_
#define INCLUDE_GATEWAY_ROUTE_TABLE_H_

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "include/base/tier.h"
#include "include/gateway/gateway_config.h"

namespace papaya {

// Indexes the routes, services and accounts of one GatewayConfig. Immutable;
// shared as std::shared_ptr<const RouteTable> so that a request keeps the
// version that was in force when it arrived.
class RouteTable {
 public:
  explicit RouteTable(std::shared_ptr<const GatewayConfig> config);

  const GatewayConfig& config() const { return *config_; }

  // Returns the route of `host` with the longest matching prefix of `target`'s
  // path, or null if none matches. `host` is the value of a Host header.
  const ServiceRoute* FindRoute(const std::string& host,
                                const std::string& target) const;

  // Returns the account with the API key `key`, or null if there is none.
  const ClientAccount* FindAccount(const std::string& key) const;

  // Returns the tier of a request. Requests are ranked by the priority of their
  // account, then by that of their route. The ranks are spread evenly over the
  // tiers below the highest. That one is not used because it preempts requests
  // that already run on upstreams.
  Tier TierOf(const ServiceRoute& route, const ClientAccount* account) const;

  // Returns null if the manifest has no service of that name.
  const ServiceInfo* FindService(const PoolId& service) const;

 private:
  using RoutesByPrefix = absl::flat_hash_map<std::string, const ServiceRoute*>;

  std::shared_ptr<const GatewayConfig> config_;
  absl::flat_hash_map<std::string, RoutesByPrefix> routes_;
  absl::flat_hash_map<std::string, const ClientAccount*> accounts_;
  absl::flat_hash_map<PoolId, const ServiceInfo*> services_;
  // All distinct pairs of an account's and a route's priority, sorted.
  std::vector<std::pair<int, int>> ranks_;
};

// Returns the service of `route` for a request with `hash`, by weight. All
// routers return the same service for the same hash.
const PoolId& ChooseService(const ServiceRoute& route, uint64_t hash);

}  // namespace papaya

#endif  // INCLUDE_GATEWAY_ROUTE_TABLE_H_
