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

// 32-bit hash of a name, the same on all routers whatever configuration they
// use.
using NameHash = StrongNumber<struct NameHashTag, uint32_t>;

// A GroupDemand with a hash in place of the group's name.
struct GroupNotice {
  NameHash group;
  std::array<TierDemand, kTierCount> tiers{};
  std::optional<Tier> short_tier;

  bool operator==(const GroupNotice&) const = default;
};

// An UpstreamUse with a hash in place of the upstream's name.
struct UpstreamNotice {
  NameHash upstream;
  int32_t running = 0;
  // Rounded up to a multiple of kPrefillGranularity.
  Tokens pending_prefill;
  bool ejected = false;
  bool leaving = false;

  bool operator==(const UpstreamNotice&) const = default;
};

// Granularity of UpstreamNotice::pending_prefill.
inline constexpr Tokens kPrefillGranularity{128};

// The wire form of a DemandReport. The reporting router is known from the
// connection. Hashes take a fifth of the bytes of names and need no common
// configuration: the receiver ignores hashes that it does not know.
struct DemandNotice {
  Incarnation incarnation;
  uint64_t sequence = 0;
  std::vector<GroupNotice> groups;
  std::vector<UpstreamNotice> upstreams;

  bool operator==(const DemandNotice&) const = default;
};

// Hash the name of an upstream or a group.
NameHash HashName(const UpstreamId& upstream);
NameHash HashName(const PoolVersion& group);

// Converts `report` to its wire form.
DemandNotice MakeDemandNotice(const DemandReport& report);

}  // namespace papaya

#endif  // INCLUDE_ADMISSION_DEMAND_NOTICE_H_
