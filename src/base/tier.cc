#include "include/base/tier.h"

namespace papaya {

namespace {

constexpr std::array<const char*, kTierCount> kTierNames = {
    "critical", "interactive", "standard", "batch"};

}  // namespace

const char* TierName(Tier tier) {
  return kTierNames[TierIndex(tier)];
}

std::optional<Tier> ParseTier(const std::string& name) {
  for (Tier tier : kAllTiers) {
    if (name == TierName(tier)) {
      return tier;
    }
  }
  return std::nullopt;
}

}  // namespace papaya
