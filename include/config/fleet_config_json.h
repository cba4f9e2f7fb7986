#ifndef INCLUDE_CONFIG_FLEET_CONFIG_JSON_H_
#define INCLUDE_CONFIG_FLEET_CONFIG_JSON_H_

#include <cstddef>
#include <string>

#include "absl/status/statusor.h"

namespace papaya {

struct FleetConfig;

// The longest text that ParseFleetConfigJson reads: the largest value that the
// platform's Object API holds.
inline constexpr size_t kMaxFleetConfigJsonBytes = 1000000;

// `config` as the JSON text kept in the Object API. Upstreams that differ only
// in id, VM and address share one group, so that thousands of them fit:
//
//   {"format": 1, "revision": 7, "note": "spring",
//    "groups": [{"kind": "model_engine", "pool": "plans", "version": "v2",
//                "generation": "g3", "zone": "sk-west-a", "slots": 8,
//                "checks_fencing": true, "refusal_means_not_run": false,
//                "upstreams": [["u1", "vm-1", "10.0.3.7:8000"]]}],
//    "shares": [{"pool": "plans", "version": "v2", "permille": 1000}]}
//
// Equal configurations give equal texts.
std::string FleetConfigToJson(const FleetConfig& config);

// Reads such a text; upstreams and shares may stand in any order. Fails with
// kInvalidArgument and one line a fault: broken JSON, unknown or missing keys,
// values of the wrong type, and all that CheckFleetConfig finds.
absl::StatusOr<FleetConfig> ParseFleetConfigJson(const std::string& text);

}  // namespace papaya

#endif  // INCLUDE_CONFIG_FLEET_CONFIG_JSON_H_
