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

// The slots of routers[self] when `slots` are divided among `routers`: upper
// tiers first, within a tier in proportion to demand, what is left over
// evenly. Routers that were not heard are left an even share. The shares of
// all sum to `slots`; all routers that know the same come to the same result.
double DivideSlots(double slots,
                   const std::vector<RouterDemand>& routers,
                   size_t self);

}  // namespace papaya

#endif  // SRC_ADMISSION_SLOT_DIVISION_H_
