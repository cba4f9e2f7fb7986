#include "src/membership/view_keeper.h"

#include <algorithm>
#include <utility>

#include "src/membership/member_table.h"

namespace papaya {

namespace {

// From one choice of neighbours to the next, when routers come and go at once.
constexpr Duration kOverlayPeriod = std::chrono::milliseconds(400);

RouterView ToView(const MemberRecord& record) {
  return {.id = record.id,
          .incarnation = record.incarnation,
          .state = record.state,
          .address = record.address,
          .region = record.region,
          .zone = record.zone};
}

std::vector<RouterView> ListRunning(const MemberTable& table) {
  std::vector<RouterView> routers;
  routers.reserve(table.members().size());
  for (const auto& [id, member] : table.members()) {
    if (IsRunning(member.record)) {
      routers.push_back(ToView(member.record));
    }
  }
  return routers;
}

bool HaveSameRouters(const std::vector<RouterView>& a,
                     const std::vector<RouterView>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const RouterView& x, const RouterView& y) {
                      return x.id == y.id && x.zone == y.zone &&
                             x.region == y.region;
                    });
}

}  // namespace

ViewKeeper::ViewKeeper(const RouterId& self, const OverlayShape& shape)
    : self_(self), shape_(shape) {}

bool ViewKeeper::Refresh(const MemberTable& table, TimePoint now) {
  const bool is_overlay_due = is_overlay_stale_ && now >= next_overlay_;
  if (!is_stale_ && !is_overlay_due) {
    return false;
  }
  is_stale_ = false;
  FleetView view{.self = self_,
                 .routers = ListRunning(table),
                 .neighbours = view_.neighbours};
  is_overlay_stale_ |= !HaveSameRouters(view.routers, view_.routers);
  if (is_overlay_stale_ && now >= next_overlay_) {
    is_overlay_stale_ = false;
    next_overlay_ = now + kOverlayPeriod;
    Overlay overlay = MakeOverlay(self_, view.routers, shape_);
    targets_ = std::move(overlay.targets);
    view.neighbours = std::move(overlay.neighbours);
  } else {
    std::erase_if(view.neighbours, [&view](const RouterId& neighbour) {
      return FindRouter(view, neighbour) == nullptr;
    });
  }
  if (view == view_) {
    return false;
  }
  view_ = std::move(view);
  return true;
}

}  // namespace papaya
