#ifndef SRC_ADMISSION_UPSTREAM_STATE_H_
#define SRC_ADMISSION_UPSTREAM_STATE_H_

#include <algorithm>
#include <cstdint>
#include <memory>
#include <vector>

#include "include/base/ids.h"
#include "include/base/units.h"
#include "include/routing/straggler_detector.h"
#include "include/routing/upstream_speed.h"

namespace papaya {

// The speed of upstreams of one generation, pool and version.
struct UpstreamKindSpeed {
  int32_t number = 0;
  UpstreamSpeed speed;
};

// What a Scheduler knows of one upstream.
struct UpstreamState {
  UpstreamId id;
  // The snapshot in force has it.
  bool is_routed = false;
  bool is_plain = false;
  int slots = 1;
  std::shared_ptr<UpstreamKindSpeed> kind;

  // Own attempts under way, and their prompt tokens still to be worked
  // through.
  int running = 0;
  double prefill = 0.0;
  // Slots given away since the last report.
  int yielded_slots = 0;
  // What was last told the other routers of `running`.
  int reported_running = 0;

  // The same of other routers, by their latest reports.
  double peer_running = 0.0;
  double peer_prefill = 0.0;
  // Slots that routers without news are reckoned to fill.
  double assumed_running = 0.0;
  // Own share of its slots in the division with the other routers.
  double share = 0.0;
  // Own attempts that may run there while routers have to share its slots.
  int limit = 0;
  bool is_ejected_by_any_peer = false;
  // Those that have set it aside and not found it recovered since.
  std::vector<RouterId> ejecting_routers;
  // When one of them last found it recovered.
  TimePoint peer_recovery_time;
  // How many routers use it, and the positions of the others in the
  // UpstreamTable.
  int routers = 1;
  // This router's place in the order in which they probe it.
  int probe_turn = 0;
  std::vector<size_t> other_routers;

  // This router has seen that it is leaving; then no new work goes there.
  bool is_leaving = false;
  TimePoint leaving_since;
  // Until then it is held to be leaving because another router says so.
  TimePoint peer_leaving_until;

  // No work goes there until then, after attempts failed.
  TimePoint backoff_until;
  int failures = 0;

  UpstreamSpeed speed;
  // Follows speed.decode slowly, while it is not set aside.
  double baseline_decode = 0.0;
  StragglerState straggler;
  // Another router has set it aside, and this one has not seen it work lately.
  bool follows_peer_ejection = false;
  TimePoint peer_ejection_time;
  // When it last got work although it was set aside.
  TimePoint last_probe;

  // Requests there of all routers, as far as known.
  double TotalRunning() const {
    return running + peer_running + assumed_running;
  }
  double FreeSlots() const { return std::max(0.0, slots - TotalRunning()); }

  // As TotalRunning, by what the routers have told one another.
  double TotalReported() const {
    return reported_running + peer_running + assumed_running;
  }

  // True if one more own attempt may go there. If `is_contended`, other routers
  // wait for its slots.
  bool HasRoom(bool is_contended) const {
    const bool is_within_limit = running < limit - yielded_slots;
    if (is_plain) {
      return is_within_limit || TotalRunning() < slots;
    }
    return is_contended ? is_within_limit : TotalRunning() < slots;
  }

  bool IsEjected() const { return straggler.ejected || follows_peer_ejection; }

  // True if new work may go there, if there is room.
  bool IsOpen(TimePoint now) const {
    return is_routed && !is_leaving && now >= peer_leaving_until &&
           now >= backoff_until;
  }
};

}  // namespace papaya

#endif  // SRC_ADMISSION_UPSTREAM_STATE_H_
