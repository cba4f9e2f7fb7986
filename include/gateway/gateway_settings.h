#ifndef INCLUDE_GATEWAY_GATEWAY_SETTINGS_H_
#define INCLUDE_GATEWAY_GATEWAY_SETTINGS_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "include/admission/account_quota.h"
#include "include/base/ids.h"
#include "include/base/units.h"
#include "include/rollout/exposure_bounds.h"

namespace papaya {

// Bounds that the platform's operators require of the routers. They may change
// while a router runs.
struct GatewayBounds {
  // Time from SIGTERM until the platform kills the process.
  Duration grace = std::chrono::seconds(8);
  // Limit on retries of all routers together, counted as arrivals at upstreams
  // beyond the first of each request. In any window of a few seconds they may
  // be at most `retry_share` of the requests, plus `retry_slack`.
  double retry_share = 0.2;
  double retry_slack = 50.0;
  // How far client accounts may exceed their quotas.
  QuotaAllowance quotas;
  // How much of a new version that may be bad is borne.
  ExposureBounds exposure;
  // In any second, a cold upstream may get `cold_over` times its warm-up rate,
  // plus `cold_slack` requests, from all routers together. Not limited if
  // `cold_over` is empty.
  std::optional<double> cold_over;
  double cold_slack = 0.0;
  // Time from the store's acknowledgement of an evacuation until it is in force
  // at all routers. Evacuations are watched for only if it is set.
  std::optional<Duration> evacuate_after;

  bool operator==(const GatewayBounds&) const = default;
};

// The validated settings of one gateway process. Addresses are IP:PORT. Nothing
// listens at an address that is empty.
struct GatewaySettings {
  RouterId router;
  RegionId region;
  AvailabilityZoneId zone;
  std::string caller_address;
  // Serves the readiness probes of the platform's load balancer.
  std::string ready_address;
  std::string peer_address;
  std::string metrics_address;
  // Peer addresses of routers to contact first; they may be stale.
  std::vector<std::string> seeds;
  std::string store_address;
  // True if the whole fleet starts for the first time.
  bool is_first_start = false;
  // Maximum number of open files and sockets of this process.
  int max_descriptors = 1024;
  // Limit of this process's memory; zero if there is none, which switches the
  // memory budget off.
  Bytes memory_limit{0};
  // Why the limit in the settings is not used; empty if it is.
  std::string memory_limit_error;
  GatewayBounds bounds;
  // The region of each availability zone, as far as it is known.
  std::map<AvailabilityZoneId, RegionId> zone_regions;
  // Optional entries with invalid values, which are left out. Each text names
  // the entry, its value and what is valid.
  std::vector<std::string> ignored;
};

}  // namespace papaya

#endif  // INCLUDE_GATEWAY_GATEWAY_SETTINGS_H_
