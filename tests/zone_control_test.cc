// Evacuations in a fleet whose routers read the store or are fed by others,
// under the failures of docs/design/hard-load.md.

#include "src/gateway/zone_control.h"

#include <boost/json/object.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "include/gateway/store_feed.h"
#include "platform/object_codec.h"
#include "src/gateway/gateway_metrics.h"
#include "tests/fakes/fake_platform.h"

namespace papaya {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kEvacuateAfter = milliseconds(5000);
// Of the bound, for the pause between two routing snapshots.
constexpr Duration kSnapshotPause = milliseconds(500);
constexpr Duration kTick = milliseconds(25);
constexpr char kKind[] = "zones";
const boost::json::value kSpec = boost::json::object();

PlatformBinding MakeTestBinding() {
  PlatformBinding binding;
  binding.evacuation_kind = kKind;
  binding.decode_evacuation = &platform::DecodeEvacuation;
  return binding;
}

GatewaySettings MakeSettings() {
  GatewaySettings settings;
  settings.router = RouterId("self");
  settings.zone = AvailabilityZoneId("a");
  settings.region = RegionId("north");
  settings.zone_regions = {{AvailabilityZoneId("b"), RegionId("south")}};
  settings.bounds.evacuate_after = kEvacuateAfter;
  return settings;
}

class Fleet;

class Router {
 public:
  Router(const RouterLocation& location, Fleet* fleet);

  void Tick();
  bool IsEvacuated(const std::string& zone) {
    UpstreamRecord record;
    record.zone = AvailabilityZoneId(zone);
    return zones.Mark({record}).front().is_evacuated;
  }

  const RouterLocation location;
  std::unique_ptr<FakePlatform::Client> client;
  StoreFeed feed;
  ZoneControl zones;
  // Set if the router was ready to serve without the evacuation of zone `a`.
  bool was_ready_without_a = false;

 private:
  StoreFeed::Hooks MakeFeedHooks();
  ZoneControl::Hooks MakeZoneHooks();

  Fleet* const fleet_;
};

class Fleet {
 public:
  explicit Fleet(int per_zone) : platform(&queue) {
    queue.RunUntil(TimePoint(seconds(100)));
    for (const char* zone : {"a", "b"}) {
      for (int i = 0; i < per_zone; ++i) {
        locations.push_back({.id = RouterId(absl::StrCat(zone, i)),
                             .zone = AvailabilityZoneId(zone)});
      }
    }
    Restart();
  }

  void Restart() {
    routers.clear();
    for (const RouterLocation& location : locations) {
      routers.push_back(std::make_unique<Router>(location, this));
      routers.back()->feed.SetRouters(locations);
    }
  }

  // Cuts a zone off from the store and from the other zones, or joins it again.
  void SetPartitioned(const std::string& zone, bool is_partitioned) {
    partitioned = is_partitioned ? zone : "";
    for (const std::unique_ptr<Router>& router : routers) {
      router->client->is_cut =
          is_partitioned && router->location.zone.value() == zone;
    }
  }

  void Send(const Router& from,
            const RouterId& to,
            const std::function<void(Router*)>& deliver) {
    const std::string zone = from.location.zone.value();
    queue.After(milliseconds(5), [this, zone, to, deliver] {
      for (const std::unique_ptr<Router>& router : routers) {
        const std::string& other = router->location.zone.value();
        const bool is_cut =
            zone != other && (zone == partitioned || other == partitioned);
        if (router->location.id == to && !is_cut) {
          deliver(router.get());
        }
      }
    });
  }

  void Run(Duration time) {
    const TimePoint end = queue.now() + time;
    while (queue.now() < end) {
      for (const std::unique_ptr<Router>& router : routers) {
        router->Tick();
      }
      queue.RunFor(kTick);
    }
  }

  // Returns the number of routers outside `except` that have `zone` evacuated.
  int CountEvacuated(const std::string& zone,
                     const std::string& except = "") const {
    int count = 0;
    for (const std::unique_ptr<Router>& router : routers) {
      count +=
          router->location.zone.value() != except && router->IsEvacuated(zone)
              ? 1
              : 0;
    }
    return count;
  }

  int size() const { return static_cast<int>(routers.size()); }

  EventQueue queue;
  FakePlatform platform;
  std::vector<RouterLocation> locations;
  std::string partitioned;
  std::vector<std::unique_ptr<Router>> routers;
  // Clients of routers that were restarted, whose calls are still pending.
  std::vector<std::unique_ptr<FakePlatform::Client>> old_clients;
};

Router::Router(const RouterLocation& own, Fleet* fleet)
    : location(own),
      client(fleet->platform.MakeClient()),
      feed(own, MakeFeedHooks()),
      zones(MakeSettings(),
            MakeTestBinding(),
            client.get(),
            /*first_watch_delay=*/milliseconds(1200),
            MakeZoneHooks()),
      fleet_(fleet) {}

void Router::Tick() {
  const TimePoint now = fleet_->queue.now();
  zones.OnTick(now);
  feed.OnTick(now);
  was_ready_without_a |= zones.IsListed() && !IsEvacuated("a");
}

StoreFeed::Hooks Router::MakeFeedHooks() {
  StoreFeed::Hooks hooks;
  hooks.request = [this](const RouterId& to, const FeedRequest&) {
    fleet_->Send(*this, to, [id = location.id, fleet = fleet_](Router* router) {
      router->feed.OnRequest(id, fleet->queue.now());
    });
  };
  hooks.update = [this](const RouterId& to, const FeedUpdate& update) {
    fleet_->Send(*this, to,
                 [id = location.id, fleet = fleet_, update](Router* router) {
                   const TimePoint now = fleet->queue.now();
                   router->feed.OnUpdate(id, now);
                   for (const KindFeed& kind : update.kinds) {
                     router->zones.watcher()->OnFeed(kind, now);
                   }
                 });
  };
  hooks.snapshot = [this](TimePoint now) {
    std::vector<KindFeed> feeds;
    if (zones.watcher()->IsListed()) {
      feeds.push_back(zones.watcher()->MakeFeed(now));
    }
    return feeds;
  };
  hooks.feeding_changed = [this](bool is_feeding) {
    zones.watcher()->SetFeeding(is_feeding);
  };
  return hooks;
}

ZoneControl::Hooks Router::MakeZoneHooks() {
  ZoneControl::Hooks hooks;
  hooks.changed = [] {};
  hooks.lifted = [](const AvailabilityZoneId&) {};
  hooks.read = [this](const KindFeed& read) { feed.OnRead(read); };
  hooks.now = [this] { return fleet_->queue.now(); };
  hooks.wall_time = [] { return WallTime(seconds(1'000'000)); };
  hooks.event = [](const Event&) {};
  return hooks;
}

// Small fleets read for themselves; in large ones most routers are fed.
constexpr int kSmallZone = 4;
constexpr int kLargeZone = 15;

TEST_CASE("Evacuation: two at once are in force at all routers in time",
          "[gateway][evacuation]") {
  Fleet fleet(GENERATE(kSmallZone, kLargeZone));
  fleet.Run(seconds(10));
  fleet.platform.Put("a", kSpec);
  // Within the time in which changes of other kinds would be gathered.
  fleet.Run(milliseconds(100));
  fleet.platform.Put("b", kSpec);
  fleet.Run(kEvacuateAfter - kSnapshotPause - milliseconds(100));
  CHECK(fleet.CountEvacuated("a") == fleet.size());
  CHECK(fleet.CountEvacuated("b") == fleet.size());
  fleet.platform.Delete("a");
  fleet.Run(kEvacuateAfter - kSnapshotPause);
  CHECK(fleet.CountEvacuated("a") == 0);
  CHECK(fleet.CountEvacuated("b") == fleet.size());
}

// Guards against an entry that reaches only some routers because the store
// fails after it acknowledged the write, also for a second entry that comes
// within the pause that other kinds make after a change.
TEST_CASE("Evacuation: in force though the store fails after the entries",
          "[gateway][evacuation]") {
  const int zone_size = GENERATE(kSmallZone, kLargeZone);
  for (int offset = 0; offset < 2000; offset += 190) {
    INFO(offset);
    Fleet fleet(zone_size);
    fleet.Run(seconds(10) + milliseconds(offset));
    fleet.platform.Put("a", kSpec);
    fleet.queue.RunFor(milliseconds(50));
    fleet.platform.Put("b", kSpec);
    // The time in which the store answers the open watches.
    fleet.queue.RunFor(milliseconds(20));
    fleet.platform.is_down = true;
    fleet.Run(kEvacuateAfter - kSnapshotPause - milliseconds(20));
    CHECK(fleet.CountEvacuated("a") == fleet.size());
    CHECK(fleet.CountEvacuated("b") == fleet.size());
    fleet.Run(seconds(60));
    CHECK(fleet.CountEvacuated("a") == fleet.size());
  }
}

// Guards against routers that serve before they know of an evacuation.
TEST_CASE("Evacuation: routers that restart know it before they are ready",
          "[gateway][evacuation]") {
  Fleet fleet(GENERATE(kSmallZone, kLargeZone));
  fleet.platform.Put("a", kSpec);
  fleet.Run(seconds(5));
  fleet.platform.is_down = GENERATE(false, true);
  for (std::unique_ptr<Router>& router : fleet.routers) {
    fleet.old_clients.push_back(std::move(router->client));
  }
  fleet.Restart();
  fleet.Run(seconds(3));
  fleet.platform.is_down = false;
  fleet.Run(seconds(3));
  for (const std::unique_ptr<Router>& router : fleet.routers) {
    CHECK(router->zones.IsListed());
    CHECK_FALSE(router->was_ready_without_a);
  }
}

// Guards against an entry that is lost in a zone that was partitioned, and
// against a partition that keeps the entry from the other zones.
TEST_CASE("Evacuation: entry of a partitioned zone", "[gateway][evacuation]") {
  Fleet fleet(GENERATE(kSmallZone, kLargeZone));
  fleet.Run(seconds(10));
  fleet.SetPartitioned("a", true);
  fleet.Run(seconds(1));
  fleet.platform.Put("a", kSpec);
  fleet.Run(kEvacuateAfter - kSnapshotPause);
  CHECK(fleet.CountEvacuated("a", "a") == fleet.size() / 2);
  CHECK(fleet.CountEvacuated("a", "b") == 0);
  fleet.SetPartitioned("a", false);
  fleet.Run(kEvacuateAfter - kSnapshotPause);
  CHECK(fleet.CountEvacuated("a") == fleet.size());
}

// Guards against an outage of the store that ends an evacuation, and against a
// removal that is lost because nobody could read it.
TEST_CASE("Evacuation: entry removed while the store is unavailable",
          "[gateway][evacuation]") {
  Fleet fleet(GENERATE(kSmallZone, kLargeZone));
  fleet.platform.Put("a", kSpec);
  fleet.Run(seconds(10));
  fleet.platform.is_down = true;
  fleet.Run(seconds(5));
  fleet.platform.Delete("a");
  fleet.Run(seconds(30));
  CHECK(fleet.CountEvacuated("a") == fleet.size());
  fleet.platform.is_down = false;
  fleet.Run(kEvacuateAfter - kSnapshotPause);
  CHECK(fleet.CountEvacuated("a") == 0);
}

// Guards against store calls and a delay of readiness where the settings do not
// call for evacuations.
TEST_CASE("Evacuation: watched only where the settings have the bound",
          "[gateway][evacuation]") {
  EventQueue queue;
  FakePlatform platform(&queue);
  platform.Put("a", kSpec);
  const std::unique_ptr<FakePlatform::Client> client = platform.MakeClient();
  GatewaySettings settings = MakeSettings();
  settings.bounds.evacuate_after.reset();
  ZoneControl::Hooks hooks;
  hooks.changed = [] {};
  hooks.lifted = [](const AvailabilityZoneId&) {};
  hooks.read = [](const KindFeed&) {};
  hooks.now = [&queue] { return queue.now(); };
  hooks.wall_time = [] { return WallTime(seconds(1'000'000)); };
  std::vector<EventId> events;
  hooks.event = [&events](const Event& event) { events.push_back(event.id); };
  ZoneControl zones(settings, MakeTestBinding(), client.get(), Duration(),
                    hooks);
  zones.OnTick(queue.now());
  CHECK(zones.watcher() == nullptr);
  CHECK(zones.IsListed());
  CHECK(platform.calls() == 0);

  // The bound is set while the router runs.
  settings.bounds.evacuate_after = kEvacuateAfter;
  zones.SetBounds(settings.bounds);
  CHECK(zones.IsListed());
  zones.OnTick(queue.now());
  queue.RunFor(milliseconds(100));
  CHECK(platform.calls() > 0);
  std::vector<UpstreamRecord> records(3);
  records[0].zone = AvailabilityZoneId("a");
  records[1].zone = AvailabilityZoneId("b");
  records[2].zone = AvailabilityZoneId("c");
  records = zones.Mark(std::move(records));
  CHECK(records[0].is_evacuated);
  CHECK_FALSE(records[1].is_evacuated);
  // The own zone's region is known without the map.
  CHECK(records[0].region == RegionId("north"));
  CHECK(records[1].region == RegionId("south"));
  CHECK(records[2].region.empty());

  GatewayMetrics metrics;
  zones.Export({{AvailabilityZoneId("a"), 3}, {AvailabilityZoneId("b"), 9}},
               &metrics);
  const std::string text = metrics.Export();
  CHECK(text.find("papaya_zones_evacuated 1") != std::string::npos);
  CHECK(text.find("papaya_evacuated_zone_requests{zone=\"a\"} 3") !=
        std::string::npos);
  CHECK(text.find("zone=\"b\"") == std::string::npos);

  events.clear();
  for (int i = 0; i < 5; ++i) {
    zones.OnRejected(PoolId("s"), "zones_evacuated", queue.now());
    zones.OnRejected(PoolId("s"), "deadline", queue.now());
  }
  CHECK(events == std::vector<EventId>{EventId::kNoUpstreamAllowed});
}

}  // namespace
}  // namespace papaya
