#ifndef SRC_ADMISSION_SLOT_DIVISION_H_
#define SRC_ADMISSION_SLOT_DIVISION_H_

#include <array>
#include <cstddef>
#include <vector>

#include "include/base/tier.h"

namespace papaya {

// Demand of one router for the slots that are divided.
struct RouterDemand {
  // False if no report of the router arrived lately.
  bool is_known = false;
  // Running and waiting requests by tier.
  std::array<double, kTierCount> tiers{};
};

// Slots by tier; fractional.
using TierSlots = std::array<double, kTierCount>;

// Divides `slots` among `routers` and returns the share of each. Higher tiers
// are served first; within a tier the slots go in proportion to demand.
// Remaining slots are spread evenly and count for the lowest tier. Routers
// without a recent report keep an even share. The shares sum to `slots`, and
// all routers with the same information compute the same result.
std::vector<TierSlots> DivideSlots(double slots,
                                   const std::vector<RouterDemand>& routers);

}  // namespace papaya

#endif  // SRC_ADMISSION_SLOT_DIVISION_H_
