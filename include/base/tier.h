#ifndef INCLUDE_BASE_TIER_H_
#define INCLUDE_BASE_TIER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace papaya {

// How important a request is; a smaller value goes first.
enum class Tier : uint8_t {
  kCritical = 0,     // bookings and bids
  kInteractive = 1,  // chat that a person waits for
  kStandard = 2,     // plans and reports
  kBatch = 3,        // sorting and tagging
};

inline constexpr size_t kTierCount = 4;

inline constexpr std::array<Tier, kTierCount> kAllTiers = {
    Tier::kCritical, Tier::kInteractive, Tier::kStandard, Tier::kBatch};

// `tier` as an index below kTierCount.
constexpr size_t TierIndex(Tier tier) {
  return static_cast<size_t>(tier);
}

// The name used in settings, metrics and logs, as `critical`.
const char* TierName(Tier tier);

// The tier called `name`; empty if there is none.
std::optional<Tier> ParseTier(const std::string& name);

}  // namespace papaya

#endif  // INCLUDE_BASE_TIER_H_
