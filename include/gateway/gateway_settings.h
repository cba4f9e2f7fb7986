#ifndef INCLUDE_GATEWAY_GATEWAY_SETTINGS_H_
#define INCLUDE_GATEWAY_GATEWAY_SETTINGS_H_

#include <string>
#include <vector>

#include "include/admission/account_quota.h"
#include "include/base/ids.h"
#include "include/base/units.h"

namespace papaya {

// The promises to keep towards the platform's operators, which may change while
// a router runs.
struct GatewayBounds {
  // Time that a process has from SIGTERM to its end.
  Duration grace = std::chrono::seconds(8);
  // Arrivals beyond the first of each request, of all routers, in any span of
  // some seconds: at most `retry_share` of the requests, and `retry_slack`.
  double retry_share = 0.2;
  double retry_slack = 50.0;
  // What quotas of client accounts are held to.
  QuotaAllowance quotas;

  bool operator==(const GatewayBounds&) const = default;
};

// The settings of one gateway process, checked. Addresses are IP:PORT; an empty
// one is not served.
struct GatewaySettings {
  RouterId router;
  RegionId region;
  AvailabilityZoneId zone;
  std::string caller_address;
  // Where the platform asks whether this router may get callers.
  std::string ready_address;
  std::string peer_address;
  std::string metrics_address;
  // Peer addresses of routers to meet first; they may be stale.
  std::vector<std::string> seeds;
  std::string store_address;
  // The whole fleet starts for the first time.
  bool is_first_start = false;
  // Open files and sockets of this process at most.
  int max_descriptors = 1024;
  GatewayBounds bounds;
};

}  // namespace papaya

#endif  // INCLUDE_GATEWAY_GATEWAY_SETTINGS_H_
