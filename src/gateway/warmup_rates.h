#ifndef SRC_GATEWAY_WARMUP_RATES_H_
#define SRC_GATEWAY_WARMUP_RATES_H_

#include <optional>

#include "absl/container/flat_hash_map.h"
#include "include/admission/warmup_limiter.h"
#include "include/gateway/gateway_config.h"
#include "include/gateway/gateway_settings.h"

namespace papaya {

// Returns the warm-up rates of the manifest's services.
absl::flat_hash_map<PoolId, WarmupRate> MakeWarmupRates(
    const GatewayConfig& config);

// Returns nothing if the operators require no bound.
std::optional<WarmupBounds> MakeWarmupBounds(const GatewayBounds& bounds);

WarmupLimiter::Options MakeWarmupOptions(const GatewaySettings& settings);

}  // namespace papaya

#endif  // SRC_GATEWAY_WARMUP_RATES_H_
