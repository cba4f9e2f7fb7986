#ifndef INCLUDE_CONFIG_UPSTREAM_KIND_H_
#define INCLUDE_CONFIG_UPSTREAM_KIND_H_

#include <optional>
#include <string>

#include "include/config/fleet_config.h"

namespace papaya {

// The name of a kind in notes and JSON: `model_engine` or `plain_service`.
const char* UpstreamKindName(UpstreamKind kind);

// The kind called `name`; empty if there is none.
std::optional<UpstreamKind> ParseUpstreamKind(const std::string& name);

}  // namespace papaya

#endif  // INCLUDE_CONFIG_UPSTREAM_KIND_H_
