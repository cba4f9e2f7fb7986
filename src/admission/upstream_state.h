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
  int given_away = 0;
  // What was last told the other routers of `running`.
  int reported_running = 0;

  // The same of other routers, by their latest reports.
  double peer_running = 0.0;
  double peer_prefill = 0.0;
  // Slots that routers without news are reckoned to fill.
  double silent_running = 0.0;
  // Own share of its slots in the division with the other routers.
  double share = 0.0;
  // Own attempts that may run there while routers have to share its slots.
  int limit = 0;
  bool suspected_by_peer = false;
  // Those that have set it aside and not found it recovered since.
  std::vector<RouterId> suspecting_routers;
  // When one of them last found it recovered.
  TimePoint cleared_by_peer;
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
  TimePoint closed_until;
  int failures = 0;

  UpstreamSpeed speed;
  // Follows speed.decode slowly, while it is not set aside.
  double usual_decode = 0.0;
  StragglerState straggler;
  // Another router has set it aside, and this one has not seen it work lately.
  bool is_set_aside_by_peer = false;
  TimePoint set_aside_by_peer_since;
  // When it last got work although it was set aside.
  TimePoint last_probe;

  // Requests there of all routers, as far as known.
  double TotalRunning() const {
    return running + peer_running + silent_running;
  }
  double FreeSlots() const { return std::max(0.0, slots - TotalRunning()); }

  // As TotalRunning, by what the routers have told one another.
  double TotalReported() const {
    return reported_running + peer_running + silent_running;
  }

  // True if one more own attempt may go there. If `is_contended`, other routers
  // wait for its slots.
  bool HasRoom(bool is_contended) const {
    const bool is_within_limit = running < limit - given_away;
    if (is_plain) {
      return is_within_limit || TotalRunning() < slots;
    }
    return is_contended ? is_within_limit : TotalRunning() < slots;
  }

  bool IsSetAside() const { return straggler.ejected || is_set_aside_by_peer; }

  // True if new work may go there, if there is room.
  bool IsOpen(TimePoint now) const {
    return is_routed && !is_leaving && now >= peer_leaving_until &&
           now >= closed_until;
  }
};

}  // namespace papaya

#endif  // SRC_ADMISSION_UPSTREAM_STATE_H_
