#include "src/daemon/fleet_controller.h"

#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"
#include "include/config/fleet_config_json.h"
#include "tests/fakes/fake_object_store.h"

namespace papaya {
namespace {

struct FleetControllerFixture {
  explicit FleetControllerFixture(uint64_t seed = 1)
      : controller(Settings(),
                   Incarnation(5),
                   "10.0.0.1:1",
                   &store,
                   Hooks(),
                   seed,
                   backend.now) {}

  FleetController::Hooks Hooks() {
    FleetController::Hooks hooks;
    hooks.send = [](const PeerAddress&, const PeerMessage&) {};
    hooks.publish = [](const std::shared_ptr<const RoutingSnapshot>&) {};
    hooks.in_force = [](const std::shared_ptr<const FleetConfig>&) {};
    hooks.incarnation_changed = [this](Incarnation now) {
      reported_incarnation = now;
    };
    hooks.event = [](const Event&) {};
    return hooks;
  }

  RouterSettings Settings() {
    RouterSettings settings;
    settings.router = RouterId("r1");
    return settings;
  }

  // Writes `config` to the store and waits until the controller has put it in
  // force.
  void PutInForce(const FleetConfig& config) {
    StoredObject& object = backend.objects["/config"];
    object.key = "/config";
    object.version = ObjectVersion(config.revision.value());
    object.value = FleetConfigToJson(config);
    const TimePoint limit = backend.now + std::chrono::minutes(2);
    while (controller.config() == nullptr ||
           controller.config()->revision != config.revision) {
      REQUIRE(backend.now < limit);
      backend.RunUntil(backend.now + std::chrono::milliseconds(100));
      controller.OnTick(backend.now);
    }
  }

  FakeObjectStoreBackend backend{1};
  FakeObjectStore store{&backend};
  Incarnation reported_incarnation;
  FleetController controller;
};

TEST_CASE(
    "FleetController: reports its new incarnation after another router "
    "reported a later one",
    "[daemon]") {
  FleetControllerFixture fixture;
  FleetController& controller = fixture.controller;
  controller.OnTick(fixture.backend.now);
  MemberNews news;
  news.stamps = {
      {.key = MemberKey(RouterId("r1")), .incarnation = Incarnation(9)}};
  controller.OnMessage(RouterId("r2"), MemberMessage(news),
                       fixture.backend.now + std::chrono::seconds(2));
  CHECK(controller.incarnation() > Incarnation(9));
  CHECK(fixture.reported_incarnation == controller.incarnation());
  // A second process that received the same update must choose a different
  // incarnation.
  FleetControllerFixture other(2);
  other.controller.OnTick(other.backend.now);
  other.controller.OnMessage(RouterId("r2"), MemberMessage(news),
                             other.backend.now + std::chrono::seconds(2));
  CHECK(other.controller.incarnation() != controller.incarnation());
}

TEST_CASE(
    "FleetController: applies the VM list to upstreams that are configured "
    "later",
    "[daemon]") {
  FleetControllerFixture fixture;
  FleetController& controller = fixture.controller;
  const std::set<VmId> leaving = {VmId("vm-old"), VmId("vm-new")};
  controller.OnVmList(leaving, {}, fixture.backend.now);
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
    controller.OnVmList(leaving, {}, fixture.backend.now);
    CHECK(controller.facts().IsLeaving(spec.id));
  }
}

}  // namespace
}  // namespace papaya
