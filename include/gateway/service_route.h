#ifndef INCLUDE_GATEWAY_SERVICE_ROUTE_H_
#define INCLUDE_GATEWAY_SERVICE_ROUTE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "include/base/ids.h"
#include "include/base/units.h"

namespace papaya {

// What an upstream's answer to a request looks like, and what may be repeated.
enum class RequestKind : uint8_t {
  kIdempotent,     // one answer; may run more than once
  kNonIdempotent,  // one answer; must not run twice
  kStream,         // a stream of events; must not run twice unless resumable
};

// The part of a route's requests that one service gets.
struct ServiceShare {
  PoolId service;
  int weight = 1;

  bool operator==(const ServiceShare&) const = default;
};

// One route of the manifest: which requests it takes and how they are served.
struct ServiceRoute {
  RouteId id;
  // Lower case, without a port.
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  RequestKind kind = RequestKind::kNonIdempotent;
  // A stream may go on at another upstream after its last event.
  bool is_resumable = false;
  // At least one.
  std::vector<ServiceShare> services;
  // The longest time from the arrival of a request to the end of its answer.
  Duration timeout = std::chrono::seconds(60);
  // An answer, or the first event of a stream, that comes later is late.
  Duration latency_objective = std::chrono::seconds(1);
  // A stream whose events are further apart is late; zero if there is no bound.
  Duration gap_objective{};
  // Callers give up a stream after so long without an event, also before the
  // first one; zero if they don't.
  Duration caller_silence_timeout{};
  // Upstreams at which one request may run.
  int max_attempts = 1;
  // 0 goes first.
  int priority = 0;
  // Needs no API key.
  bool is_anonymous = false;

  // True if a request that may have run may be sent again.
  bool MayRepeat() const {
    return kind == RequestKind::kIdempotent ||
           (kind == RequestKind::kStream && is_resumable);
  }

  bool operator==(const ServiceRoute&) const = default;
};

}  // namespace papaya

#endif  // INCLUDE_GATEWAY_SERVICE_ROUTE_H_
