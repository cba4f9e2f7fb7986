#ifndef INCLUDE_CONFIG_CONFIG_DELTA_H_
#define INCLUDE_CONFIG_CONFIG_DELTA_H_

#include <cstdint>
#include <vector>

#include "absl/status/statusor.h"
#include "include/config/config_messages.h"

namespace papaya {

// A hash of all of `config` that every router agrees on.
uint64_t HashConfig(const FleetConfig& config);

// What leads from `base` to `result`. Both must have passed CheckFleetConfig.
ConfigDelta DiffConfigs(const FleetConfig& base, const FleetConfig& result);

// `base` with `delta` applied. Fails with kFailedPrecondition if `base` is not
// exactly the revision that the delta was made from, with kDataLoss if the
// result is not the one that it was made for. `base_hash` is HashConfig(base).
absl::StatusOr<FleetConfig> ApplyDelta(const FleetConfig& base,
                                       uint64_t base_hash,
                                       const ConfigDelta& delta);

// `base` with all of `deltas` applied, one after the other. Fails as ApplyDelta
// does, at the first that does not fit.
absl::StatusOr<FleetConfig> ApplyDeltas(const FleetConfig& base,
                                        uint64_t base_hash,
                                        const std::vector<ConfigDelta>& deltas);

}  // namespace papaya

#endif  // INCLUDE_CONFIG_CONFIG_DELTA_H_
