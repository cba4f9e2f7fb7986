#ifndef INCLUDE_SETTINGS_ROUTER_SETTINGS_H_
#define INCLUDE_SETTINGS_ROUTER_SETTINGS_H_

#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "include/base/ids.h"
#include "include/base/tier.h"
#include "include/base/units.h"

namespace papaya {

// A client account: `[account NAME]`.
struct AccountSettings {
  AccountId id;
  // SHA-256 of its bearer token, 64 lower-case hex digits.
  std::string token_sha256;
  // Weight in the fair division between accounts of one tier.
  int weight = 1;
  // Routes it may use; empty allows all.
  std::vector<RouteId> routes;
};

// What callers may ask for: `[route NAME]`. A request takes the first route,
// in file order, that its method, path, model and `papaya-route` header match.
struct RouteSettings {
  RouteId id;
  // An HTTP method, or `ANY` for all of them.
  std::string method = "POST";
  // Matches the request's path whole, or up to a final `*`.
  std::string path;
  // True if only a request with `papaya-route: NAME` takes this route.
  bool by_header = false;
  // The pool that serves it. Empty on chat routes: the request's `model` names
  // the pool.
  PoolId pool;
  Tier tier = Tier::kStandard;
  bool idempotent = true;
  // Time from arrival by which work must have begun; 30 s if not set, which
  // only idempotent routes may leave out.
  Duration deadline{};
  // Time that one attempt may take in all, from dispatch to the last byte; 60 s
  // if not set.
  Duration attempt_timeout{};
};

// Bounds on what one router holds. Each has a defined answer when reached.
struct LimitSettings {
  int max_connections = 4096;
  Bytes max_header_bytes{16 * 1024};
  Bytes max_body_bytes{4 * 1024 * 1024};
  // A caller must have sent its request whole within this time.
  Duration request_read_timeout = std::chrono::seconds(10);
  int max_queued_requests = 4096;
  Bytes max_queued_bytes{64 * 1024 * 1024};
  int max_tickets = 100000;
  int max_claims = 20000;
};

// How release notes are carried out. The same on all routers of a fleet.
struct RolloutSettings {
  // A note that brings in a new version is refused if it leaves less time.
  Duration shortest_move = std::chrono::minutes(10);
  // Loading one version from the weight store takes about this long.
  Duration load_time = std::chrono::seconds(60);
  // Loads that the weight store serves at the same time.
  int concurrent_loads = 4;
  // Requests of the old version that were under way get this long before it is
  // unloaded.
  Duration drain_time = std::chrono::seconds(30);
};

// The settings of one router process, checked.
struct RouterSettings {
  FleetId fleet;
  RouterId router;
  RegionId region;
  AvailabilityZoneId zone;
  // Addresses are IP:PORT; port 0 takes a free one.
  std::string caller_address;
  std::string peer_address;
  std::string operator_address;
  // Peer addresses of routers to meet first.
  std::vector<std::string> seeds;
  // Proven by both ends of every connection between routers.
  std::string fleet_secret;
  // SHA-256 of the operators' token, 64 lower-case hex digits.
  std::string operator_token_sha256;
  // Address of the platform's Object API, and the prefix of our keys in it.
  std::string store_address;
  std::string store_prefix;
  int traffic_threads = 1;
  // Directory with the state charts.
  std::string chart_directory;
  // The file that spans are appended to; empty writes none.
  std::string span_file;
  std::vector<AccountSettings> accounts;
  std::vector<RouteSettings> routes;
  LimitSettings limits;
  RolloutSettings rollout;
};

// Reads settings from INI `text`; `file` names it in faults. Fails with
// kInvalidArgument and one line for each fault found, as
// `file:line: [section] key: found ..., expected ...`. Unknown sections and
// keys are faults.
absl::StatusOr<RouterSettings> ParseRouterSettings(const std::string& text,
                                                   const std::string& file);

// The same for the file at `path`.
absl::StatusOr<RouterSettings> LoadRouterSettings(const std::string& path);

}  // namespace papaya

#endif  // INCLUDE_SETTINGS_ROUTER_SETTINGS_H_
