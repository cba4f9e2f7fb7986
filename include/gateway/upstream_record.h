#ifndef INCLUDE_GATEWAY_UPSTREAM_RECORD_H_
#define INCLUDE_GATEWAY_UPSTREAM_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>

#include "include/base/ids.h"
#include "include/base/units.h"

namespace papaya {

// The registration of an upstream.
struct UpstreamRecord {
  // Identifies one start of the upstream. After a restart the upstream has
  // another id because it has lost its earlier state.
  UpstreamId id;
  // The name under which the upstream registered; it checks it against the
  // instance that routers expect.
  std::string instance;
  PoolId service;
  // IP:PORT.
  std::string address;
  AvailabilityZoneId zone;
  VersionId version;
  int slots = 1;
  // The upstream is leaving and gets no new requests.
  bool is_draining = false;
  // The region of `zone`; empty if it is unknown.
  RegionId region;
  // The zone is evacuated: the upstream gets no new requests for now.
  bool is_evacuated = false;

  bool MayGetWork() const { return !is_draining && !is_evacuated; }

  // Set by the decoder only: UpstreamDirectory takes them out before it
  // compares and keeps a record, because the time left changes with each
  // heartbeat. How much longer the upstream stays cold, if it says so.
  std::optional<Duration> warmup_left;
  // Why the time left can't be used; empty if it can.
  std::string warmup_error;

  bool operator==(const UpstreamRecord&) const = default;
};

}  // namespace papaya

#endif  // INCLUDE_GATEWAY_UPSTREAM_RECORD_H_
