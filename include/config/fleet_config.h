#ifndef INCLUDE_CONFIG_FLEET_CONFIG_H_
#define INCLUDE_CONFIG_FLEET_CONFIG_H_

#include <cstdint>
#include <string>
#include <vector>

#include "include/base/ids.h"
#include "include/base/units.h"

namespace papaya {

// What an upstream is, and so which protocol it speaks.
enum class UpstreamKind : uint8_t {
  kModelEngine,   // OpenAI-style HTTP, streams, orders to load versions
  kPlainService,  // any HTTP service
};

// One upstream as the fleet configuration has it.
struct UpstreamSpec {
  UpstreamId id;
  // The VM it runs on, as the platform's VM list names it.
  VmId vm;
  // IP number and port, as `10.0.3.7:8000`.
  std::string address;
  AvailabilityZoneId zone;
  // Empty if it is unknown.
  RegionId region;
  UpstreamKind kind = UpstreamKind::kModelEngine;
  PoolId pool;
  VersionId version;
  GenerationId generation;
  // Requests that it works on at the same time; more are queued by routers.
  int slots = 1;
  // True if it refuses an order with an old fencing number.
  bool checks_fencing = false;
  // True if a 503 answer from it means that it did not begin the request.
  bool refusal_means_not_run = false;

  bool operator==(const UpstreamSpec&) const = default;
};

// The share of a pool's traffic that one version of it gets.
struct VersionShare {
  PoolId pool;
  VersionId version;
  Permille share;
  // The release note that is bringing this version in, while its traffic is
  // being judged; empty once settled, and on the versions it is judged against.
  NoteId note;

  bool operator==(const VersionShare&) const = default;
};

// One revision of the configuration that all routers follow. Immutable once
// published; shared as std::shared_ptr<const FleetConfig>.
struct FleetConfig {
  Revision revision;
  // The release note whose carrying out made this revision; empty if none.
  NoteId note;
  // Sorted by id.
  std::vector<UpstreamSpec> upstreams;
  // Sorted by pool, then version. A pool without an entry spreads its traffic
  // over all its upstreams alike.
  std::vector<VersionShare> shares;

  bool operator==(const FleetConfig&) const = default;
};

}  // namespace papaya

#endif  // INCLUDE_CONFIG_FLEET_CONFIG_H_
