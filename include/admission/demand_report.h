#ifndef INCLUDE_ADMISSION_DEMAND_REPORT_H_
#define INCLUDE_ADMISSION_DEMAND_REPORT_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "include/base/ids.h"
#include "include/base/tier.h"
#include "include/base/units.h"
#include "include/routing/routing_snapshot.h"

namespace papaya {

// Running and waiting requests of one tier that a router holds for one group.
struct TierDemand {
  int32_t running = 0;
  int32_t waiting = 0;

  bool operator==(const TierDemand&) const = default;
};

// Demand of a router for one group, which is one version of one pool.
struct GroupDemand {
  PoolVersion group;
  std::array<TierDemand, kTierCount> tiers{};
  // The highest tier whose requests lack slots at the router, so that some may
  // miss their deadlines. If it is critical, the other routers hold back all
  // lower tiers.
  std::optional<Tier> short_tier;

  bool operator==(const GroupDemand&) const = default;
};

// Work of a router in progress at one upstream.
struct UpstreamUse {
  UpstreamId upstream;
  int32_t running = 0;
  // Prompt tokens of attempts there that have no output token yet.
  Tokens pending_prefill;
  // The router has ejected the upstream as a straggler.
  bool ejected = false;
  // The router has seen that the upstream is leaving.
  bool leaving = false;

  bool operator==(const UpstreamUse&) const = default;
};

// The demand that a router reports, a few times a second, to the routers that
// share upstreams with it. Each report replaces all earlier ones of its router,
// so a lost report is made up for by the next one.
struct DemandReport {
  RouterId router;
  Incarnation incarnation;
  // Grows with each report of one incarnation.
  uint64_t sequence = 0;
  // Groups without requests are left out.
  std::vector<GroupDemand> groups;
  // Upstreams without work or flags are left out.
  std::vector<UpstreamUse> upstreams;

  bool operator==(const DemandReport&) const = default;
};

// Returns the demand for `group` in `report`; null if there is none.
const GroupDemand* FindGroup(const DemandReport& report,
                             const PoolVersion& group);

// The part of a report that is sent to each router.
using DemandParts = std::map<RouterId, DemandReport>;

}  // namespace papaya

#endif  // INCLUDE_ADMISSION_DEMAND_REPORT_H_
