#ifndef INCLUDE_GATEWAY_SERVICE_ROUTE_H_
#define INCLUDE_GATEWAY_SERVICE_ROUTE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "include/base/ids.h"
#include "include/base/units.h"

namespace papaya {

// The form of a route's responses, and whether its requests may run twice.
enum class RequestKind : uint8_t {
  kIdempotent,     // one response; may run more than once
  kNonIdempotent,  // one response; must not run twice
  kStream,         // a stream of events; must not run twice unless resumable
};

// A service and its share of a route's requests, in proportion to `weight`.
struct ServiceShare {
  PoolId service;
  int weight = 1;

  bool operator==(const ServiceShare&) const = default;
};

// A route of the manifest: which requests it matches and how they are served.
struct ServiceRoute {
  RouteId id;
  // Lower case, without a port.
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  RequestKind kind = RequestKind::kNonIdempotent;
  // A broken stream may be resumed at another upstream after its last event.
  bool is_resumable = false;
  // At least one.
  std::vector<ServiceShare> services;
  // Maximum time from the arrival of a request to the end of its response.
  Duration timeout = std::chrono::seconds(60);
  // Objective for the time until the response, or the first event of a stream.
  Duration latency_objective = std::chrono::seconds(1);
  // Objective for the time between the events of a stream; zero if there is
  // none.
  Duration gap_objective{};
  // Callers disconnect from a stream that sends no event for this long, also
  // before the first event; zero if they don't.
  Duration caller_silence_timeout{};
  // Maximum number of upstreams that one request may run on.
  int max_attempts = 1;
  // 0 is the highest.
  int priority = 0;
  // The regions whose upstreams may get its requests; empty if all may.
  std::vector<RegionId> allowed_regions;
  // Requests need no API key.
  bool is_anonymous = false;

  // True if a request may be sent again even though it may have run already.
  bool MayRepeat() const {
    return kind == RequestKind::kIdempotent ||
           (kind == RequestKind::kStream && is_resumable);
  }

  bool operator==(const ServiceRoute&) const = default;
};

}  // namespace papaya

#endif  // INCLUDE_GATEWAY_SERVICE_ROUTE_H_
