#include "src/admission/slot_division.h"

namespace papaya {

namespace {

// Grants each known router its demand in `tier`; if `left` is too small, all
// are scaled down in proportion. Returns the slots that remain.
double Grant(const std::vector<RouterDemand>& routers,
             Tier tier,
             double left,
             std::vector<TierSlots>* shares) {
  double demand = 0.0;
  for (const RouterDemand& router : routers) {
    demand += router.is_known ? router.tiers[TierIndex(tier)] : 0.0;
  }
  if (demand <= 0.0) {
    return left;
  }
  const double fraction = demand > left ? left / demand : 1.0;
  for (size_t i = 0; i < routers.size(); ++i) {
    if (routers[i].is_known) {
      (*shares)[i][TierIndex(tier)] =
          fraction * routers[i].tiers[TierIndex(tier)];
    }
  }
  return left - fraction * demand;
}

}  // namespace

std::vector<TierSlots> DivideSlots(double slots,
                                   const std::vector<RouterDemand>& routers) {
  std::vector<TierSlots> shares(routers.size(), TierSlots{});
  if (routers.empty()) {
    return shares;
  }
  const double even_share = slots / static_cast<double>(routers.size());
  double left = slots;
  double known = 0.0;
  for (size_t i = 0; i < routers.size(); ++i) {
    if (routers[i].is_known) {
      known += 1.0;
    } else {
      shares[i].back() = even_share;
      left -= even_share;
    }
  }
  for (Tier tier : kAllTiers) {
    left = Grant(routers, tier, left, &shares);
  }
  for (size_t i = 0; i < routers.size(); ++i) {
    shares[i].back() += routers[i].is_known ? left / known : 0.0;
  }
  return shares;
}

}  // namespace papaya
