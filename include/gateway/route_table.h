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

// Finds routes, services and accounts of one GatewayConfig. Immutable; shared
// as std::shared_ptr<const RouteTable>, so that a request keeps the version
// that it arrived under.
class RouteTable {
 public:
  explicit RouteTable(std::shared_ptr<const GatewayConfig> config);

  const GatewayConfig& config() const { return *config_; }

  // The route of that host with the longest prefix of `target`'s path; null if
  // there is none. `host` is a Host header's value.
  const ServiceRoute* FindRoute(const std::string& host,
                                const std::string& target) const;

  // The account that holds `key`; null if none does.
  const ClientAccount* FindAccount(const std::string& key) const;

  // How a request goes before others: by its account's priority where it has
  // one, and among equals by its route's. Ranks are spread over the tiers below
  // the highest, which would take work back from upstreams.
  Tier TierOf(const ServiceRoute& route, const ClientAccount* account) const;

  // Null if the manifest has no service of that name.
  const ServiceInfo* FindService(const PoolId& service) const;

 private:
  using RoutesByPrefix = absl::flat_hash_map<std::string, const ServiceRoute*>;

  std::shared_ptr<const GatewayConfig> config_;
  absl::flat_hash_map<std::string, RoutesByPrefix> routes_;
  absl::flat_hash_map<std::string, const ClientAccount*> accounts_;
  absl::flat_hash_map<PoolId, const ServiceInfo*> services_;
  // All pairs of an account's and a route's priority, in order.
  std::vector<std::pair<int, int>> ranks_;
};

// The service of `route` that a request with that hash goes to; all routers
// choose alike.
const PoolId& ChooseService(const ServiceRoute& route, uint64_t hash);

}  // namespace papaya

#endif  // INCLUDE_GATEWAY_ROUTE_TABLE_H_
