#ifndef SRC_ROLLOUT_NOTE_DELTA_H_
#define SRC_ROLLOUT_NOTE_DELTA_H_

#include <set>

#include "include/base/ids.h"
#include "include/config/fleet_config.h"
#include "include/rollout/release_note.h"

namespace papaya {

// Returns the pools that `note` affects, as they are in `base` or in `target`.
std::set<PoolId> AffectedPools(const ReleaseNote& note,
                               const FleetConfig& base,
                               const FleetConfig& target);

// Returns the most common version of the upstreams of `pool`; empty if the pool
// has no upstreams.
VersionId MostCommonVersion(const FleetConfig& config, const PoolId& pool);

// Sorts upstreams by id and shares by pool and version.
void SortConfig(FleetConfig* config);

}  // namespace papaya

#endif  // SRC_ROLLOUT_NOTE_DELTA_H_
