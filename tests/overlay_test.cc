#include "include/membership/overlay.h"

#include <algorithm>
#include <map>
#include <set>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "absl/strings/str_format.h"
#include "include/base/random.h"
#include "include/config/fleet_view.h"

namespace papaya {
namespace {

std::vector<RouterView> MakeRouters(size_t count, int zones, int regions) {
  std::vector<RouterView> routers(count);
  for (size_t i = 0; i < count; ++i) {
    const int zone = static_cast<int>(i) % zones;
    routers[i].id = RouterId(absl::StrFormat("router-%03d", i));
    routers[i].zone = AvailabilityZoneId(absl::StrFormat("zone-%d", zone));
    routers[i].region = RegionId(absl::StrFormat("r-%d", zone % regions));
  }
  return routers;
}

std::map<RouterId, Overlay> MakeAll(const std::vector<RouterView>& routers) {
  std::map<RouterId, Overlay> overlays;
  for (const RouterView& router : routers) {
    overlays[router.id] = MakeOverlay(router.id, routers, OverlayShape());
  }
  return overlays;
}

size_t CountReached(const std::map<RouterId, Overlay>& overlays) {
  std::set<RouterId> reached;
  std::vector<RouterId> open = {overlays.begin()->first};
  while (!open.empty()) {
    const RouterId next = open.back();
    open.pop_back();
    if (reached.insert(next).second) {
      const std::vector<RouterId>& more = overlays.at(next).neighbours;
      open.insert(open.end(), more.begin(), more.end());
    }
  }
  return reached.size();
}

TEST_CASE("Overlay: all routers agree on it", "[membership]") {
  rc::prop("watched, mutual, connected", [](uint64_t seed) {
    Random random(seed);
    const int zones = 1 + static_cast<int>(random.Below(12));
    const int regions = 1 + static_cast<int>(random.Below(5));
    const size_t count = 2 + random.Below(60);
    const std::vector<RouterView> routers =
        MakeRouters(count, zones, std::min(zones, regions));
    const std::map<RouterId, Overlay> overlays = MakeAll(routers);
    std::map<RouterId, size_t> watchers;
    for (const auto& [id, overlay] : overlays) {
      for (const RouterId& target : overlay.targets) {
        ++watchers[target];
      }
      for (const RouterId& other : overlay.neighbours) {
        const std::vector<RouterId>& back = overlays.at(other).neighbours;
        RC_ASSERT(other != id);
        RC_ASSERT(std::binary_search(back.begin(), back.end(), id));
      }
    }
    for (const RouterView& router : routers) {
      RC_ASSERT(watchers[router.id] == std::min<size_t>(5, count - 1));
    }
    RC_ASSERT(CountReached(overlays) == count);
  });
}

TEST_CASE("Overlay: links reach beyond the zone and the region",
          "[membership]") {
  const std::vector<RouterView> routers = MakeRouters(390, 12, 5);
  for (const auto& [id, overlay] : MakeAll(routers)) {
    const RouterView& self = routers[static_cast<size_t>(
        std::stoi(id.value().substr(id.value().size() - 3)))];
    std::set<RegionId> regions;
    std::set<AvailabilityZoneId> zones;
    for (const RouterView& router : routers) {
      if (std::binary_search(overlay.neighbours.begin(),
                             overlay.neighbours.end(), router.id)) {
        regions.insert(router.region);
        zones.insert(router.zone);
      }
    }
    CHECK(zones.contains(self.zone));
    CHECK(zones.size() >= 3);
    CHECK(regions.size() >= 2);
    CHECK(overlay.neighbours.size() < 30);
  }
}

TEST_CASE("Overlay: one router's end moves few links", "[membership]") {
  std::vector<RouterView> routers = MakeRouters(390, 12, 5);
  const std::map<RouterId, Overlay> before = MakeAll(routers);
  const RouterId gone = routers[100].id;
  routers.erase(routers.begin() + 100);
  size_t changed = 0;
  for (const auto& [id, overlay] : MakeAll(routers)) {
    changed += overlay != before.at(id) ? 1 : 0;
  }
  CHECK(changed <= 4 * before.at(gone).neighbours.size());
}

}  // namespace
}  // namespace papaya
