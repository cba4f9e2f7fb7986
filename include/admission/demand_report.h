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

// Requests of one tier that a router has in hand for one group.
struct TierDemand {
  int32_t running = 0;
  int32_t waiting = 0;

  bool operator==(const TierDemand&) const = default;
};

// What a router has in hand for one version of one pool.
struct GroupDemand {
  PoolVersion group;
  std::array<TierDemand, kTierCount> tiers{};
  // Set if the router is short of slots for requests of this tier, so that
  // some may miss their deadlines: if it is critical, the others hold back all
  // lower tiers.
  std::optional<Tier> short_tier;

  bool operator==(const GroupDemand&) const = default;
};

// What a router has under way at one upstream.
struct UpstreamUse {
  UpstreamId upstream;
  int32_t running = 0;
  // Prompt tokens sent there whose first output token is still to come.
  Tokens pending_prefill;
  // The router has set it aside as a straggler.
  bool ejected = false;
  // The router has learnt that it is leaving.
  bool leaving = false;

  bool operator==(const UpstreamUse&) const = default;
};

// What a router tells the routers that share upstreams with it, a few times a
// second. Each report replaces all earlier ones of its router; a lost one is
// made up for by the next.
struct DemandReport {
  RouterId router;
  Incarnation incarnation;
  // Grows with every report of one incarnation.
  uint64_t sequence = 0;
  // Groups with nothing in hand are left out.
  std::vector<GroupDemand> groups;
  // Upstreams with nothing to say of are left out.
  std::vector<UpstreamUse> upstreams;

  bool operator==(const DemandReport&) const = default;
};

// What `report` says of `group`; null if that has nothing in hand.
const GroupDemand* FindGroup(const DemandReport& report,
                             const PoolVersion& group);

// What of a report each other router is told.
using DemandParts = std::map<RouterId, DemandReport>;

}  // namespace papaya

#endif  // INCLUDE_ADMISSION_DEMAND_REPORT_H_
