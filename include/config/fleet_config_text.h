#ifndef INCLUDE_CONFIG_FLEET_CONFIG_TEXT_H_
#define INCLUDE_CONFIG_FLEET_CONFIG_TEXT_H_

#include <optional>
#include <string>

#include "absl/status/statusor.h"
#include "include/config/fleet_config.h"

namespace papaya {

// The value of the configuration object in the Object API: compact JSON.
std::string FormatFleetConfig(const FleetConfig& config);

// Reads FormatFleetConfig's text. Fails with kInvalidArgument if it is broken.
absl::StatusOr<FleetConfig> ParseFleetConfig(const std::string& text);

// The name of a kind in notes and JSON: `model_engine` or `plain_service`.
const char* UpstreamKindName(UpstreamKind kind);

// The kind called `name`; empty if there is none.
std::optional<UpstreamKind> ParseUpstreamKind(const std::string& name);

}  // namespace papaya

#endif  // INCLUDE_CONFIG_FLEET_CONFIG_TEXT_H_
