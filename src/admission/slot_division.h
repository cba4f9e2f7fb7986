#ifndef SRC_ADMISSION_SLOT_DIVISION_H_
#define SRC_ADMISSION_SLOT_DIVISION_H_

#include <array>
#include <cstddef>
#include <vector>

#include "include/base/tier.h"

namespace papaya {

// What one router needs of the slots that are divided.
struct RouterDemand {
  // False if it has not been heard lately.
  bool is_known = false;
  // Requests in hand by tier, running and waiting.
  std::array<double, kTierCount> tiers{};
};

// Slots by tier; fractions are kept.
using TierSlots = std::array<double, kTierCount>;

// The slots of each router when `slots` are divided among `routers`: upper
// tiers first, within a tier in proportion to demand. What is left over counts
// for the lowest tier and is spread evenly. Routers that were not heard are
// left an even share. The shares sum to `slots`; all routers that know the same
// come to the same result.
std::vector<TierSlots> DivideSlots(double slots,
                                   const std::vector<RouterDemand>& routers);

}  // namespace papaya

#endif  // SRC_ADMISSION_SLOT_DIVISION_H_
