#ifndef INCLUDE_CONFIG_FLEET_CONFIG_CHECK_H_
#define INCLUDE_CONFIG_FLEET_CONFIG_CHECK_H_

#include <cstddef>
#include <string>
#include <vector>

namespace papaya {

struct FleetConfig;

// Bounds on one revision of the configuration.
inline constexpr size_t kMaxConfigUpstreams = 10000;
inline constexpr size_t kMaxConfigShares = 2000;
inline constexpr size_t kMaxConfigNameLength = 128;
inline constexpr int kMaxUpstreamSlots = 4096;

// Every fault of `config`, one line each; empty if routers may follow it.
// Checked are: a revision above 0; upstreams and shares sorted and unique;
// names present, printable and not too long; an address with a port; slots
// from 1; the shares of each pool adding up to 1000; the bounds above.
std::vector<std::string> CheckFleetConfig(const FleetConfig& config);

}  // namespace papaya

#endif  // INCLUDE_CONFIG_FLEET_CONFIG_CHECK_H_
