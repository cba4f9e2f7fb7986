#include "src/gateway/warmup_rates.h"

#include <algorithm>
#include <string>

namespace papaya {

absl::flat_hash_map<PoolId, WarmupRate> MakeWarmupRates(
    const GatewayConfig& config) {
  absl::flat_hash_map<PoolId, WarmupRate> rates;
  for (const ServiceInfo& service : config.services) {
    if (service.warmup.IsLimited()) {
      rates[service.id] = service.warmup;
    }
  }
  return rates;
}

std::optional<WarmupBounds> MakeWarmupBounds(const GatewayBounds& bounds) {
  if (!bounds.cold_over.has_value()) {
    return std::nullopt;
  }
  return WarmupBounds{.over = *bounds.cold_over, .slack = bounds.cold_slack};
}

WarmupLimiter::Options MakeWarmupOptions(const GatewaySettings& settings) {
  // The seeds may include this router.
  const bool has_peers =
      std::any_of(settings.seeds.begin(), settings.seeds.end(),
                  [&settings](const std::string& seed) {
                    return seed != settings.peer_address;
                  });
  return {.self = {.id = settings.router, .zone = settings.zone},
          .has_peers = has_peers,
          .is_first_start = settings.is_first_start};
}

}  // namespace papaya
