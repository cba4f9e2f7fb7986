#include "include/gateway/allowed_regions.h"

#include <algorithm>
#include <iterator>

namespace papaya {

std::shared_ptr<const std::vector<RegionId>> AllowedRegions(
    const std::shared_ptr<const RouteTable>& table,
    const ServiceRoute& route,
    const ClientAccount* account) {
  const std::vector<RegionId>& of_route = route.allowed_regions;
  const bool has_account_list =
      account != nullptr && !account->allowed_regions.empty();
  if (!has_account_list) {
    return of_route.empty()
               ? nullptr
               : std::shared_ptr<const std::vector<RegionId>>(table, &of_route);
  }
  const std::vector<RegionId>& of_account = account->allowed_regions;
  if (of_route.empty()) {
    return {table, &of_account};
  }
  auto both = std::make_shared<std::vector<RegionId>>();
  std::copy_if(of_route.begin(), of_route.end(), std::back_inserter(*both),
               [&of_account](const RegionId& region) {
                 return std::find(of_account.begin(), of_account.end(),
                                  region) != of_account.end();
               });
  return both;
}

bool HasRegionLimits(const GatewayConfig& config) {
  const auto has_list = [](const auto& item) {
    return !item.allowed_regions.empty();
  };
  return std::any_of(config.routes.begin(), config.routes.end(), has_list) ||
         std::any_of(config.accounts.begin(), config.accounts.end(), has_list);
}

}  // namespace papaya
