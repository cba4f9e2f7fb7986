#ifndef SRC_GATEWAY_SNAPSHOT_PACER_H_
#define SRC_GATEWAY_SNAPSHOT_PACER_H_

#include "include/base/units.h"

namespace papaya {

// Decides when a routing snapshot is built. Its cost grows with routers times
// upstreams, and registrations and routers change in bursts when a part of the
// fleet restarts, so one snapshot covers all changes of an interval. Intervals
// grow with the measured cost, which bounds the share of time that a slow
// machine spends on snapshots.
class SnapshotPacer {
 public:
  // Something that a snapshot depends on has changed.
  void OnChange() { has_change_ = true; }

  // True if a snapshot may be built at `now`.
  bool IsReady(TimePoint now) const { return now >= next_; }

  // True if something has changed since the last snapshot.
  bool has_change() const { return has_change_; }

  // A snapshot with all changes so far was built from `start` to `end`.
  void OnBuilt(TimePoint start, TimePoint end);

 private:
  bool has_change_ = false;
  TimePoint next_;
};

}  // namespace papaya

#endif  // SRC_GATEWAY_SNAPSHOT_PACER_H_
