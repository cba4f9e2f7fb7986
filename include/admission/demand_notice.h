#ifndef INCLUDE_ADMISSION_DEMAND_NOTICE_H_
#define INCLUDE_ADMISSION_DEMAND_NOTICE_H_

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

#include "include/admission/demand_report.h"
#include "include/base/ids.h"
#include "include/base/strong_number.h"
#include "include/base/tier.h"
#include "include/base/units.h"

namespace papaya {

// A name in 32 bits, the same in all routers whatever configuration they hold.
using NameHash = StrongNumber<struct NameHashTag, uint32_t>;

// A GroupDemand with its group's name as a hash.
struct GroupNotice {
  NameHash group;
  std::array<TierDemand, kTierCount> tiers{};
  std::optional<Tier> short_tier;

  bool operator==(const GroupNotice&) const = default;
};

// An UpstreamUse with its upstream's name as a hash.
struct UpstreamNotice {
  NameHash upstream;
  int32_t running = 0;
  // Rounded up to a multiple of kPrefillGranularity.
  Tokens pending_prefill;
  bool ejected = false;
  bool leaving = false;

  bool operator==(const UpstreamNotice&) const = default;
};

// The step of UpstreamNotice::pending_prefill.
inline constexpr Tokens kPrefillGranularity{128};

// A DemandReport as it goes over the wire, from the router that it comes over
// the connection of. Hashes take a fifth of the names' bytes, and need no
// agreement on a configuration: what the receiver does not know is passed over.
struct DemandNotice {
  Incarnation incarnation;
  uint64_t sequence = 0;
  std::vector<GroupNotice> groups;
  std::vector<UpstreamNotice> upstreams;

  bool operator==(const DemandNotice&) const = default;
};

// The hashes of names.
NameHash HashName(const UpstreamId& upstream);
NameHash HashName(const PoolVersion& group);

// `report` in the form for the wire.
DemandNotice MakeDemandNotice(const DemandReport& report);

}  // namespace papaya

#endif  // INCLUDE_ADMISSION_DEMAND_NOTICE_H_
