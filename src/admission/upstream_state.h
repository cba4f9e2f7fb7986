#ifndef SRC_ADMISSION_UPSTREAM_STATE_H_
#define SRC_ADMISSION_UPSTREAM_STATE_H_

#include <algorithm>
#include <cstdint>
#include <memory>
#include <vector>

#include "include/admission/upstream_limiter.h"
#include "include/admission/warmup_limiter.h"
#include "include/base/ids.h"
#include "include/base/units.h"
#include "include/routing/straggler_detector.h"
#include "include/routing/upstream_speed.h"

namespace papaya {

// Speed observed on all upstreams of one kind, that is, of one generation, pool
// and version.
struct UpstreamKindSpeed {
  int32_t number = 0;
  UpstreamSpeed speed;
};

// State of one upstream in a Scheduler.
struct UpstreamState {
  UpstreamId id;
  // True if the current snapshot has it.
  bool is_routed = false;
  // The current snapshot expects it to get work again later, so its state is
  // kept.
  bool is_returning = false;
  bool is_plain = false;
  int slots = 1;
  std::shared_ptr<UpstreamKindSpeed> kind;

  // Own attempts in progress, and their prompt tokens that are not prefilled
  // yet.
  int running = 0;
  double prefill = 0.0;
  // Slots yielded to other routers since the last report.
  int yielded_slots = 0;
  // Value of `running` in the last report sent.
  int reported_running = 0;

  // Attempts and prompt tokens of other routers, from their latest reports.
  double peer_running = 0.0;
  double peer_prefill = 0.0;
  // Slots assumed to be used by routers without a recent report.
  double assumed_running = 0.0;
  // This router's share of the slots in the division among routers.
  double share = 0.0;
  // Own attempts that may run there while routers compete for its slots.
  int limit = 0;
  bool is_ejected_by_any_peer = false;
  // Routers that have ejected it and not found it recovered since.
  std::vector<RouterId> ejecting_routers;
  // Time when another router last found it recovered.
  TimePoint peer_recovery_time;
  // Number of routers that use it, this one included.
  int routers = 1;
  // Position of this router in the order of probes.
  int probe_turn = 0;
  // The other routers that use it, as indexes in the UpstreamTable's list.
  std::vector<size_t> other_routers;

  // This router has seen that it is leaving, so it gets no new work.
  bool is_leaving = false;
  TimePoint leaving_since;
  // Another router has reported that it is leaving; it gets no new work until
  // this time.
  TimePoint peer_leaving_until;

  // It gets no work before this time, because attempts have failed.
  TimePoint backoff_until;
  int failures = 0;
  // It gets no work before this time, because it asked this router to wait.
  TimePoint closed_until;
  // Limits the requests while it is cold. Never null.
  std::shared_ptr<ColdGate> gate = std::make_shared<ColdGate>();
  // Limits the requests if it has named a limit; may be null.
  std::shared_ptr<const LimitGate> limit_gate;

  // Time of the first snapshot without it; the epoch while it is routed.
  TimePoint unrouted_since;

  UpstreamSpeed speed;
  // Long-term mean of the time per output token, not updated while ejected.
  double baseline_decode = 0.0;
  StragglerState straggler;
  // Another router has ejected it, and this router has no recent observation of
  // its own.
  bool follows_peer_ejection = false;
  TimePoint peer_ejection_time;
  // Time of the last probe while ejected.
  TimePoint last_probe;

  // At the end, so that the fields that every decision reads stay together.
  RegionId region;

  bool HasLimit() const {
    return limit_gate != nullptr && limit_gate->is_limited;
  }
  // True if this router may not send there yet, because of a limit.
  bool IsLimited(TimePoint now) const {
    return limit_gate != nullptr && limit_gate->IsClosed(now);
  }
  // True if this router may not send there yet, because it is cold or limited.
  bool IsClosed(TimePoint now) const {
    return gate->IsClosed(now) || IsLimited(now);
  }

  // Requests of all routers there, as far as known.
  double TotalRunning() const {
    return running + peer_running + assumed_running;
  }
  double FreeSlots() const { return std::max(0.0, slots - TotalRunning()); }

  // Like TotalRunning, but with the value of `running` that this router last
  // reported.
  double TotalReported() const {
    return reported_running + peer_running + assumed_running;
  }

  // True if one more own attempt may run there. `is_contended` means that other
  // routers wait for its slots.
  bool HasRoom(bool is_contended) const {
    const bool is_within_limit = running < limit - yielded_slots;
    if (is_plain) {
      return is_within_limit || TotalRunning() < slots;
    }
    // The gate is this router's part of an upstream that has named a limit.
    return is_contended && !HasLimit() ? is_within_limit
                                       : TotalRunning() < slots;
  }

  bool IsEjected() const { return straggler.ejected || follows_peer_ejection; }

  // True if it accepts new work when it has a free slot.
  bool IsOpen(TimePoint now) const {
    return is_routed && !is_leaving && now >= peer_leaving_until &&
           now >= backoff_until && now >= closed_until;
  }
};

}  // namespace papaya

#endif  // SRC_ADMISSION_UPSTREAM_STATE_H_
