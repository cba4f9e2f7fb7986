#include "src/routing/router_subset.h"

#include <algorithm>
#include <string>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

namespace papaya {
namespace {

AvailabilityZoneId ZoneOf(int number) {
  return AvailabilityZoneId("z" + std::to_string(number));
}

TEST_CASE("RouterSubset: a router knows whether it is one of an upstream's",
          "[routing]") {
  rc::prop("agrees with the list of all", [] {
    const int fleet = *rc::gen::inRange(0, 40);
    const int zones = *rc::gen::inRange(1, 6);
    const size_t count = *rc::gen::inRange<size_t>(1, 12);
    std::vector<RouterLocation> routers;
    routers.reserve(static_cast<size_t>(fleet));
    for (int i = 0; i < fleet; ++i) {
      routers.push_back({.id = RouterId("r" + std::to_string(i)),
                         .zone = ZoneOf(*rc::gen::inRange(0, zones))});
    }
    // This router may be missing from the list.
    const RouterLocation self =
        fleet > 0 && *rc::gen::arbitrary<bool>()
            ? routers[*rc::gen::inRange<size_t>(0, routers.size())]
            : RouterLocation{.id = RouterId("self"), .zone = ZoneOf(0)};
    const ZonePreference preference =
        *rc::gen::element(ZonePreference::kOwnZone, ZonePreference::kNone);
    const RouterSubset subset(routers, self, preference);
    for (int i = 0; i < 20; ++i) {
      UpstreamSpec upstream;
      upstream.id = UpstreamId("u" + std::to_string(i));
      upstream.zone = ZoneOf(*rc::gen::inRange(0, zones + 1));
      const std::vector<RouterId> chosen = subset.RoutersOf(upstream, count);
      RC_ASSERT(subset.IsSelfAmong(upstream, count) ==
                std::binary_search(chosen.begin(), chosen.end(), self.id));
    }
  });
}

}  // namespace
}  // namespace papaya
