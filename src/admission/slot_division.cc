#include "src/admission/slot_division.h"

#include <cassert>

namespace papaya {

double DivideSlots(double slots,
                   const std::vector<RouterDemand>& routers,
                   size_t self) {
  assert(self < routers.size() && routers[self].is_known);
  const double even_share = slots / static_cast<double>(routers.size());
  double left = slots;
  double known = 0.0;
  for (const RouterDemand& router : routers) {
    left -= router.is_known ? 0.0 : even_share;
    known += router.is_known ? 1.0 : 0.0;
  }
  double own = 0.0;
  for (Tier tier : kAllTiers) {
    double demand = 0.0;
    for (const RouterDemand& router : routers) {
      demand += router.is_known ? router.tiers[TierIndex(tier)] : 0.0;
    }
    const double own_demand = routers[self].tiers[TierIndex(tier)];
    if (demand > left) {
      return own + left * (own_demand / demand);
    }
    own += own_demand;
    left -= demand;
  }
  return own + left / known;
}

}  // namespace papaya
