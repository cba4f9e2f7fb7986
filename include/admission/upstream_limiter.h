#ifndef INCLUDE_ADMISSION_UPSTREAM_LIMITER_H_
#define INCLUDE_ADMISSION_UPSTREAM_LIMITER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "absl/container/flat_hash_map.h"
#include "include/base/ids.h"
#include "include/base/units.h"
#include "include/routing/routing_snapshot.h"
#include "include/telemetry/event.h"

namespace papaya {

class KnownRouters;

// Whether this router may send to an upstream that has named a limit. Shared
// with the scheduler, so that the check is one comparison.
struct LimitGate {
  bool is_limited = false;
  // The earliest time of the next request; in the past without a limit.
  TimePoint open_at;

  bool IsClosed(TimePoint now) const { return now < open_at; }
};

// Keeps the requests to upstreams in need below the limits that they name in
// their responses: requests a second from all routers together.
//
// Works like WarmupLimiter, without messages and without an owner of a limit:
// of the routers known lately, a few are the senders of a limited upstream, by
// the rendezvous hash that assigns upstreams to routers. Each sends one request
// at a time at its part of the limit. There are as many senders as the limit
// bears bursts of one request: with hundreds of routers, even shares would be
// far below one request a second, and their bursts far above the limit. Other
// routers send rare requests by which they learn that the limit has changed or
// ended.
//
// A router that does not know of the limit yet learns it from the first
// response. `now` must not decrease. Not thread-safe.
class UpstreamLimiter {
 public:
  // `routers`, which must outlive the limiter, are the routers known lately.
  UpstreamLimiter(const RouterId& self,
                  const KnownRouters* routers,
                  EventHook event);
  ~UpstreamLimiter();

  // Sets the upstreams that this router uses.
  void SetUpstreams(const RoutingSnapshot& snapshot, TimePoint now);

  // A response of the upstream named `per_second`, or no limit.
  void OnResponse(const UpstreamId& id,
                  std::optional<double> per_second,
                  TimePoint now);
  // A request was sent to the upstream.
  void OnSent(const UpstreamId& id, TimePoint now);

  // Call at least once a second.
  void OnTick(TimePoint now);

  // Returns null for upstreams that this router does not use.
  std::shared_ptr<const LimitGate> GateOf(const UpstreamId& id) const;

  // Number of upstreams with a limit.
  size_t limited_upstreams() const { return limited_; }

 private:
  struct Entry {
    UpstreamSpec spec;
    std::shared_ptr<LimitGate> gate = std::make_shared<LimitGate>();
    std::optional<double> per_second;
    TimePoint named_at;
    TimePoint last_sent;
    // Set while the upstream is not in the snapshot.
    std::optional<TimePoint> unused_since;
    // The version of the known routers for which `gate` was set.
    uint64_t routers_version = 0;
  };

  // Sets when the next request may be sent. `from` is the last one, or the time
  // at which the limit came into force.
  void Refresh(Entry* entry, TimePoint from, TimePoint now);
  void EndLimit(Entry* entry);
  // The time between two requests of this router.
  Duration IntervalOf(const Entry& entry, TimePoint now) const;

  const RouterId self_;
  const KnownRouters* const routers_;
  const EventHook event_;
  absl::flat_hash_map<UpstreamId, Entry> entries_;
  size_t limited_ = 0;
};

}  // namespace papaya

#endif  // INCLUDE_ADMISSION_UPSTREAM_LIMITER_H_
