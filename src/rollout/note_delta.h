#ifndef SRC_ROLLOUT_NOTE_DELTA_H_
#define SRC_ROLLOUT_NOTE_DELTA_H_

#include <set>

#include "include/base/ids.h"
#include "include/config/fleet_config.h"
#include "include/rollout/release_note.h"

namespace papaya {

// Pools that `note` changes, in `base` or in `target`.
std::set<PoolId> AffectedPools(const ReleaseNote& note,
                               const FleetConfig& base,
                               const FleetConfig& target);

// The version that most upstreams of `pool` have; empty if it has none.
VersionId MostCommonVersion(const FleetConfig& config, const PoolId& pool);

// Puts upstreams and shares into their order.
void SortConfig(FleetConfig* config);

}  // namespace papaya

#endif  // SRC_ROLLOUT_NOTE_DELTA_H_
