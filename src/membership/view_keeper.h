#ifndef SRC_MEMBERSHIP_VIEW_KEEPER_H_
#define SRC_MEMBERSHIP_VIEW_KEEPER_H_

#include <vector>

#include "include/base/ids.h"
#include "include/base/units.h"
#include "include/config/fleet_view.h"
#include "include/membership/overlay.h"

namespace papaya {

class MemberTable;

// Makes the FleetView and the overlay from the table of members. The overlay
// is chosen anew only when routers came or went, and not too often.
class ViewKeeper {
 public:
  ViewKeeper(const RouterId& self, const OverlayShape& shape);

  // The table has changed.
  void MarkStale() { is_stale_ = true; }

  // Brings view and targets up to date. True if the view has changed.
  bool Refresh(const MemberTable& table, TimePoint now);

  const FleetView& view() const { return view_; }
  // Routers that this one probes.
  const std::vector<RouterId>& targets() const { return targets_; }

 private:
  const RouterId self_;
  const OverlayShape shape_;
  FleetView view_;
  std::vector<RouterId> targets_;
  bool is_stale_ = true;
  bool is_overlay_stale_ = false;
  TimePoint next_overlay_;
};

}  // namespace papaya

#endif  // SRC_MEMBERSHIP_VIEW_KEEPER_H_
