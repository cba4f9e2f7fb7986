#ifndef INCLUDE_GATEWAY_ALLOWED_REGIONS_H_
#define INCLUDE_GATEWAY_ALLOWED_REGIONS_H_

#include <memory>
#include <vector>

#include "include/base/ids.h"
#include "include/gateway/route_table.h"

namespace papaya {

// Returns the regions that a request of `account` to `route` may reach: those
// of the list of either, or those in both lists if both have one, which may be
// none. Returns null if neither has a list. `route` and `account`, which may be
// null, belong to `table`; the result keeps the table alive.
std::shared_ptr<const std::vector<RegionId>> AllowedRegions(
    const std::shared_ptr<const RouteTable>& table,
    const ServiceRoute& route,
    const ClientAccount* account);

// True if any route or account has a list of allowed regions.
bool HasRegionLimits(const GatewayConfig& config);

}  // namespace papaya

#endif  // INCLUDE_GATEWAY_ALLOWED_REGIONS_H_
