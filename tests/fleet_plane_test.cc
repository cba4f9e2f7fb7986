#include "src/daemon/fleet_plane.h"

#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"
#include "include/config/fleet_config_json.h"
#include "tests/fakes/fake_object_store.h"

namespace papaya {
namespace {

struct FleetPlaneFixture {
  explicit FleetPlaneFixture(uint64_t seed = 1)
      : plane(Settings(),
              Incarnation(5),
              "10.0.0.1:1",
              &store,
              Hooks(),
              seed,
              backend.now) {}

  FleetPlane::Hooks Hooks() {
    FleetPlane::Hooks hooks;
    hooks.send = [](const PeerAddress&, const PeerMessage&) {};
    hooks.publish = [](const std::shared_ptr<const RoutingSnapshot>&) {};
    hooks.in_force = [](const std::shared_ptr<const FleetConfig>&) {};
    hooks.incarnation_changed = [this](Incarnation now) { told = now; };
    hooks.event = [](const Event&) {};
    return hooks;
  }

  RouterSettings Settings() {
    RouterSettings settings;
    settings.router = RouterId("r1");
    return settings;
  }

  // Writes `config` to the store and lets the plane take it up.
  void PutInForce(const FleetConfig& config) {
    StoredObject& object = backend.objects["/config"];
    object.key = "/config";
    object.version = ObjectVersion(config.revision.value());
    object.value = FleetConfigToJson(config);
    const TimePoint limit = backend.now + std::chrono::minutes(2);
    while (plane.config() == nullptr ||
           plane.config()->revision != config.revision) {
      REQUIRE(backend.now < limit);
      backend.RunUntil(backend.now + std::chrono::milliseconds(100));
      plane.OnTick(backend.now);
    }
  }

  FakeObjectStoreBackend backend{1};
  FakeObjectStore store{&backend};
  Incarnation told;
  FleetPlane plane;
};

TEST_CASE(
    "FleetPlane: tells when the fleet knew this router with a later start",
    "[daemon]") {
  FleetPlaneFixture fixture;
  FleetPlane& plane = fixture.plane;
  plane.OnTick(fixture.backend.now);
  MemberNews news;
  news.stamps = {
      {.key = MemberKey(RouterId("r1")), .incarnation = Incarnation(9)}};
  plane.OnMessage(RouterId("r2"), MemberMessage(news),
                  fixture.backend.now + std::chrono::seconds(2));
  CHECK(plane.incarnation() > Incarnation(9));
  CHECK(fixture.told == plane.incarnation());
  // Another process that heard the same goes on under another one.
  FleetPlaneFixture other(2);
  other.plane.OnTick(other.backend.now);
  other.plane.OnMessage(RouterId("r2"), MemberMessage(news),
                        other.backend.now + std::chrono::seconds(2));
  CHECK(other.plane.incarnation() != plane.incarnation());
}

TEST_CASE("FleetPlane: heeds the VM list for upstreams that it learns of later",
          "[daemon]") {
  FleetPlaneFixture fixture;
  FleetPlane& plane = fixture.plane;
  const std::set<VmId> leaving = {VmId("vm-old"), VmId("vm-new")};
  plane.OnVmList(leaving, {}, fixture.backend.now);
  FleetConfig config;
  for (const char* name : {"old", "new"}) {
    config.revision = config.revision.Next();
    UpstreamSpec spec;
    spec.id = UpstreamId(name);
    spec.vm = VmId(absl::StrCat("vm-", name));
    spec.address = "10.0.0.2:1";
    spec.zone = AvailabilityZoneId("zone-a");
    spec.pool = PoolId("m");
    spec.version = VersionId("v1");
    spec.generation = GenerationId("g1");
    spec.slots = 1;
    config.upstreams.push_back(spec);
    fixture.PutInForce(config);
    plane.OnVmList(leaving, {}, fixture.backend.now);
    CHECK(plane.facts().IsLeaving(spec.id));
  }
}

}  // namespace
}  // namespace papaya
