#include "src/daemon/fleet_plane.h"

#include <catch2/catch.hpp>

#include "tests/fakes/fake_object_store.h"

namespace papaya {
namespace {

TEST_CASE(
    "FleetPlane: tells when the fleet knew this router with a later start",
    "[daemon]") {
  FakeObjectStoreBackend backend(1);
  FakeObjectStore store(&backend);
  RouterSettings settings;
  settings.router = RouterId("r1");
  Incarnation told;
  FleetPlane::Hooks hooks;
  hooks.send = [](const PeerAddress&, const PeerMessage&) {};
  hooks.publish = [](const std::shared_ptr<const RoutingSnapshot>&) {};
  hooks.incarnation_changed = [&told](Incarnation now) { told = now; };
  hooks.event = [](const Event&) {};
  FleetPlane plane(settings, Incarnation(5), "10.0.0.1:1", &store, hooks, 1,
                   backend.now);
  plane.OnTick(backend.now);
  MemberNews news;
  news.stamps = {
      {.key = MemberKey(settings.router), .incarnation = Incarnation(9)}};
  plane.OnMessage(RouterId("r2"), MemberMessage(news),
                  backend.now + std::chrono::seconds(2));
  CHECK(plane.incarnation() > Incarnation(9));
  CHECK(told == plane.incarnation());
}

}  // namespace
}  // namespace papaya
