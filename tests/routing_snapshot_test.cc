#include "include/routing/routing_snapshot.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "include/base/random.h"

namespace papaya {
namespace {

const PoolId kPool("assistant");

UpstreamSpec MakeUpstream(int number, const std::string& version) {
  UpstreamSpec spec;
  spec.id = UpstreamId("u" + std::to_string(number));
  spec.zone = AvailabilityZoneId("z" + std::to_string(number % 3));
  spec.pool = kPool;
  spec.version = VersionId(version);
  spec.slots = 8;
  return spec;
}

RouterLocation MakeRouter(int number) {
  return {RouterId("r" + std::to_string(number)),
          AvailabilityZoneId("z" + std::to_string(number % 3))};
}

RoutingInput MakeInput(int upstreams, int routers) {
  auto config = std::make_shared<FleetConfig>();
  for (int i = 0; i < upstreams; ++i) {
    config->upstreams.push_back(MakeUpstream(i, i % 4 == 0 ? "v2" : "v1"));
  }
  config->shares = {{kPool, VersionId("v1"), Permille(900)},
                    {kPool, VersionId("v2"), Permille(100)}};
  RoutingInput input;
  input.config = config;
  input.self = MakeRouter(0);
  for (int i = 0; i < routers; ++i) {
    input.routers.push_back(MakeRouter(i));
  }
  return input;
}

std::string VersionOf(const RoutingSnapshot& snapshot, uint64_t share_hash) {
  const auto pool = snapshot.FindPool(kPool);
  const auto group = snapshot.ChooseGroup(*pool, share_hash);
  return group ? snapshot.group(*group).name.version.value() : "";
}

}  // namespace

TEST_CASE("requests are spread over versions by their configured shares",
          "[routing]") {
  const auto snapshot = RoutingSnapshot::Build(MakeInput(12, 7));
  Random random(1);
  std::map<std::string, int> count;
  for (int i = 0; i < 20000; ++i) {
    ++count[VersionOf(*snapshot, random.Next64())];
  }
  CHECK(count["v1"] == Approx(18000).margin(250));
  CHECK(count["v2"] == Approx(2000).margin(250));
}

TEST_CASE("requests of a stopped version go to the other versions",
          "[routing]") {
  RoutingInput input = MakeInput(12, 7);
  input.stopped = {{kPool, VersionId("v2")}};
  const auto snapshot = RoutingSnapshot::Build(input);
  Random random(2);
  for (int i = 0; i < 1000; ++i) {
    REQUIRE(VersionOf(*snapshot, random.Next64()) == "v1");
  }
  input.stopped.push_back({kPool, VersionId("v1")});
  const auto none = RoutingSnapshot::Build(input);
  CHECK(VersionOf(*none, 5).empty());
  CHECK_FALSE(none->LargestGroup(*none->FindPool(kPool)).has_value());
}

TEST_CASE("leaving upstreams belong to no group", "[routing]") {
  rc::prop("for any set of leaving upstreams", []() {
    RoutingInput input = MakeInput(12, 7);
    const std::set<int> leaving =
        *rc::gen::container<std::set<int>>(rc::gen::inRange(0, 12));
    for (int i : leaving) {
      input.leaving.push_back(input.config->upstreams[i].id);
    }
    const auto snapshot = RoutingSnapshot::Build(input);
    RC_ASSERT(snapshot->upstreams().size() == 12 - leaving.size());
    for (const UpstreamId& id : input.leaving) {
      RC_ASSERT(!snapshot->FindUpstream(id).has_value());
    }
    for (const VersionGroup& group : snapshot->groups()) {
      RC_ASSERT(group.usable == !group.upstreams.empty());
    }
  });
}

TEST_CASE("all routers choose the same version for a request", "[routing]") {
  rc::prop("with and without a stopped version", [](uint64_t share_hash) {
    RoutingInput input = MakeInput(12, 7);
    if (*rc::gen::arbitrary<bool>()) {
      input.stopped = {{kPool, VersionId("v1")}};
    }
    const auto first = RoutingSnapshot::Build(input);
    input.self = MakeRouter(3);
    const auto other = RoutingSnapshot::Build(input);
    RC_ASSERT(VersionOf(*first, share_hash) == VersionOf(*other, share_hash));
  });
}

TEST_CASE("a large fleet is divided into small stable subsets", "[routing]") {
  constexpr int kUpstreams = 900;
  constexpr int kRouters = 96;
  const RoutingInput input = MakeInput(kUpstreams, kRouters);
  const auto before = RoutingSnapshot::Build(input);
  const size_t mean =
      kUpstreams * RoutingSnapshot::kRoutersPerUpstream / kRouters;
  CHECK(before->upstreams().size() < 2 * mean);
  CHECK(before->upstreams().size() > mean / 2);
  size_t own_zone = 0;
  for (const RoutedUpstream& upstream : before->upstreams()) {
    own_zone += upstream.spec.zone == input.self.zone ? 1 : 0;
    CHECK(std::is_sorted(upstream.routers.begin(), upstream.routers.end()));
    CHECK(std::count(upstream.routers.begin(), upstream.routers.end(),
                     input.self.id) == 1);
  }
  CHECK(own_zone == before->upstreams().size());

  // Without a preference, upstreams of three zones alike.
  RoutingInput mixed = input;
  mixed.zone_preference = ZonePreference::kNone;
  const auto all_zones = RoutingSnapshot::Build(mixed);
  size_t other_zones = 0;
  for (const RoutedUpstream& upstream : all_zones->upstreams()) {
    other_zones += upstream.spec.zone == input.self.zone ? 0 : 1;
  }
  CHECK(2 * other_zones > all_zones->upstreams().size());
  CHECK(all_zones->upstreams().size() < 2 * mean);

  RoutingInput fewer = input;
  fewer.routers.erase(fewer.routers.begin() + 30);
  const auto after = RoutingSnapshot::Build(fewer);
  size_t kept = 0;
  for (const RoutedUpstream& upstream : before->upstreams()) {
    kept += after->FindUpstream(upstream.spec.id).has_value() ? 1 : 0;
  }
  CHECK(kept == before->upstreams().size());
  CHECK(after->upstreams().size() <= before->upstreams().size() + mean / 4);
}

TEST_CASE("every router has some upstreams of every version", "[routing]") {
  RoutingInput input = MakeInput(40, 200);
  auto config = std::make_shared<FleetConfig>(*input.config);
  for (UpstreamSpec& spec : config->upstreams) {
    spec.version = VersionId(spec.id == UpstreamId("u1") ? "v2" : "v1");
  }
  input.config = config;
  for (int router = 0; router < 200; ++router) {
    input.self = MakeRouter(router);
    const auto snapshot = RoutingSnapshot::Build(input);
    for (const VersionGroup& group : snapshot->groups()) {
      const bool is_new = group.name.version == VersionId("v2");
      REQUIRE(group.upstreams.size() >= (is_new ? 1U : 3U));
    }
  }
}

}  // namespace papaya
