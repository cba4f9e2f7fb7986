#ifndef INCLUDE_GATEWAY_UPSTREAM_RECORD_H_
#define INCLUDE_GATEWAY_UPSTREAM_RECORD_H_

#include <cstdint>
#include <string>

#include "include/base/ids.h"

namespace papaya {

// What an upstream says of itself where it registers.
struct UpstreamRecord {
  // Names one start of the upstream: an upstream that starts again under its
  // name is another one, which holds nothing of before.
  UpstreamId id;
  // The name that the upstream knows itself by.
  std::string instance;
  PoolId service;
  // IP:PORT.
  std::string address;
  AvailabilityZoneId zone;
  VersionId version;
  int slots = 1;
  // It leaves: no new work.
  bool is_draining = false;

  bool operator==(const UpstreamRecord&) const = default;
};

}  // namespace papaya

#endif  // INCLUDE_GATEWAY_UPSTREAM_RECORD_H_
