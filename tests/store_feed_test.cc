#include "include/gateway/store_feed.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "include/base/random.h"
#include "include/gateway/object_watcher.h"
#include "src/gateway/object_text.h"
#include "tests/fakes/fake_platform.h"

namespace papaya {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kKind[] = "upstreams";
constexpr Duration kTick = milliseconds(25);

class FeedFleet;

// A router with one watcher, and what it has applied.
class FeedRouter {
 public:
  FeedRouter(const RouterLocation& location, FeedFleet* fleet);

  void Tick();
  void SetRouters(const std::vector<RouterLocation>& routers) {
    feed.SetRouters(routers);
  }
  void OnUpdate(const RouterId& from, const FeedUpdate& update);

  const RouterId id;
  // Stopped as a whole, like a suspended machine.
  bool is_frozen = false;
  // Versions of the objects by name.
  std::map<std::string, uint64_t> objects;
  // Versions of objects that were deleted here; none may come back.
  std::map<std::string, uint64_t> deleted;
  bool went_back = false;
  int recoveries = 0;
  std::unique_ptr<FakePlatform::Client> client;
  std::unique_ptr<ObjectWatcher> watcher;
  StoreFeed feed;

 private:
  ObjectWatcher::Hooks MakeWatcherHooks();
  StoreFeed::Hooks MakeFeedHooks();
  void Apply(const PlatformObject& object);

  FeedFleet* const fleet_;
};

// Routers of one zone with a store. Messages between routers are late, and may
// be lost.
class FeedFleet {
 public:
  explicit FeedFleet(int count) : platform(&queue), random(1) {
    queue.RunUntil(TimePoint(seconds(100)));
    std::vector<RouterLocation> locations;
    locations.reserve(static_cast<size_t>(count));
    for (int i = 0; i < count; ++i) {
      locations.push_back({.id = RouterId(absl::StrCat("r", i)),
                           .zone = AvailabilityZoneId("z")});
    }
    for (const RouterLocation& location : locations) {
      routers.push_back(std::make_unique<FeedRouter>(location, this));
      routers.back()->SetRouters(locations);
    }
  }

  void Send(const RouterId& to, std::function<void(FeedRouter*)> deliver) {
    if (random.Chance(loss)) {
      return;
    }
    queue.After(milliseconds(1) + random.Jitter(milliseconds(10), 0.9),
                [this, to, deliver = std::move(deliver)] {
                  for (const std::unique_ptr<FeedRouter>& router : routers) {
                    if (router->id == to && !router->is_frozen) {
                      deliver(router.get());
                    }
                  }
                });
  }

  void Run(Duration time) {
    const TimePoint end = queue.now() + time;
    while (queue.now() < end) {
      for (const std::unique_ptr<FeedRouter>& router : routers) {
        if (!router->is_frozen) {
          router->Tick();
        }
      }
      queue.RunFor(kTick);
    }
  }

  std::vector<FeedRouter*> Readers() {
    std::vector<FeedRouter*> readers;
    for (const std::unique_ptr<FeedRouter>& router : routers) {
      if (!router->feed.IsFollower()) {
        readers.push_back(router.get());
      }
    }
    return readers;
  }

  // True if the router knows what the store holds.
  bool IsCurrent(const FeedRouter& router) const {
    return router.objects == platform.objects();
  }

  int CountCurrent() const {
    int current = 0;
    for (const std::unique_ptr<FeedRouter>& router : routers) {
      current += IsCurrent(*router) ? 1 : 0;
    }
    return current;
  }

  EventQueue queue;
  FakePlatform platform;
  Random random;
  double loss = 0.0;
  std::vector<std::unique_ptr<FeedRouter>> routers;
};

FeedRouter::FeedRouter(const RouterLocation& location, FeedFleet* fleet)
    : id(location.id),
      client(fleet->platform.MakeClient()),
      watcher(
          std::make_unique<ObjectWatcher>(client.get(),
                                          ObjectWatcher::Options{.kind = kKind},
                                          MakeWatcherHooks())),
      feed(location, MakeFeedHooks()),
      fleet_(fleet) {}

void FeedRouter::Tick() {
  const TimePoint now = fleet_->queue.now();
  watcher->OnTick(now);
  feed.OnTick(now);
}

void FeedRouter::OnUpdate(const RouterId& from, const FeedUpdate& update) {
  const TimePoint now = fleet_->queue.now();
  feed.OnUpdate(from, now);
  for (const KindFeed& kind : update.kinds) {
    watcher->OnFeed(kind, now);
  }
}

void FeedRouter::Apply(const PlatformObject& object) {
  const uint64_t version = object.version.value();
  const auto known = objects.find(object.name);
  const auto gone = deleted.find(object.name);
  went_back |= known != objects.end() && version < known->second;
  went_back |=
      !object.is_deleted && gone != deleted.end() && version <= gone->second;
  if (object.is_deleted) {
    deleted[object.name] = version;
    objects.erase(object.name);
  } else {
    objects[object.name] = version;
  }
}

ObjectWatcher::Hooks FeedRouter::MakeWatcherHooks() {
  ObjectWatcher::Hooks hooks;
  hooks.replaced = [this](const std::vector<PlatformObject>& listed) {
    objects.clear();
    for (const PlatformObject& object : listed) {
      Apply(object);
    }
  };
  hooks.changed = [this](const PlatformObject& object) { Apply(object); };
  hooks.store_recovered = [this] { ++recoveries; };
  hooks.read = [this](const KindFeed& read) { feed.OnRead(read); };
  hooks.now = [this] { return fleet_->queue.now(); };
  hooks.event = [](const Event&) {};
  return hooks;
}

StoreFeed::Hooks FeedRouter::MakeFeedHooks() {
  StoreFeed::Hooks hooks;
  hooks.request = [this](const RouterId& to, const FeedRequest&) {
    fleet_->Send(to, [this](FeedRouter* router) {
      router->feed.OnRequest(id, fleet_->queue.now());
    });
  };
  hooks.update = [this](const RouterId& to, const FeedUpdate& update) {
    fleet_->Send(to, [this, update](FeedRouter* router) {
      router->OnUpdate(id, update);
    });
  };
  hooks.snapshot = [this](TimePoint now) {
    return std::vector<KindFeed>{watcher->MakeFeed(now)};
  };
  hooks.feeding_changed = [this](bool is_feeding) {
    watcher->SetFeeding(is_feeding);
  };
  return hooks;
}

TEST_CASE("StoreFeed: in a small fleet each router reads for itself",
          "[gateway]") {
  FeedFleet fleet(static_cast<int>(StoreFeed::kMinFleet) - 1);
  CHECK(fleet.Readers().size() == fleet.routers.size());
}

TEST_CASE("StoreFeed: two routers of a zone read for all", "[gateway]") {
  FeedFleet fleet(60);
  CHECK(fleet.Readers().size() == StoreFeed::kReadersPerZone);
  fleet.platform.Put("a");
  fleet.Run(seconds(5));
  CHECK(fleet.CountCurrent() == 60);
  // Calls depend on the readers only, also while there are changes.
  const int before = fleet.platform.calls();
  for (int i = 0; i < 20; ++i) {
    fleet.platform.Put(absl::StrCat("b", i));
    fleet.platform.TouchOtherKind();
    fleet.Run(seconds(1));
    CHECK(fleet.CountCurrent() == 60);
  }
  fleet.platform.Delete("b3");
  fleet.Run(milliseconds(400));
  CHECK(fleet.CountCurrent() == 60);
  // Alone, 60 routers would make 600 calls with waits of 2 s.
  CHECK(fleet.platform.calls() - before <= 2 * 4 * 21);
}

TEST_CASE("StoreFeed: changes that are too long are read from the store",
          "[gateway]") {
  FeedFleet fleet(30);
  fleet.Run(seconds(5));
  const int before = fleet.platform.calls();
  fleet.platform.Put(std::string(20000, 'x'));
  fleet.Run(seconds(1));
  CHECK(fleet.CountCurrent() == 30);
  // One call of each fed router.
  CHECK(fleet.platform.calls() - before <= 30 + 2 * 4);
}

TEST_CASE("StoreFeed: a router that the store rejects is fed", "[gateway]") {
  FeedFleet fleet(30);
  fleet.Run(seconds(5));
  for (const std::unique_ptr<FeedRouter>& router : fleet.routers) {
    router->client->is_cut = router->feed.IsFollower();
  }
  for (int i = 0; i < 10; ++i) {
    fleet.platform.Put(absl::StrCat("a", i));
    fleet.Run(milliseconds(500));
    CHECK(fleet.CountCurrent() == 30);
  }
}

TEST_CASE("StoreFeed: lost readers are replaced in time", "[gateway]") {
  const bool is_cut = GENERATE(true, false);
  FeedFleet fleet(30);
  fleet.platform.Put("a");
  fleet.Run(seconds(5));
  // All readers are lost at the worst moment, just before a change.
  const std::vector<FeedRouter*> lost = fleet.Readers();
  for (FeedRouter* reader : lost) {
    reader->client->is_cut = is_cut;
    reader->is_frozen = !is_cut;
  }
  fleet.platform.Put("b");
  fleet.platform.Delete("a");
  // The shortest time in which a manifest must be in force is 2 s.
  fleet.Run(milliseconds(1800));
  CHECK(fleet.CountCurrent() >= 28);
  fleet.Run(seconds(3));
  const int before = fleet.platform.calls();
  fleet.platform.Put("c");
  fleet.Run(seconds(4));
  CHECK(fleet.CountCurrent() >= 28);
  if (!is_cut) {
    // Other routers have taken over, so that few read.
    CHECK(fleet.platform.calls() - before <= 4 * 2 * 4);
  }
}

TEST_CASE("StoreFeed: an outage of the store causes no storm of calls",
          "[gateway]") {
  constexpr int kRouters = 60;
  FeedFleet fleet(kRouters);
  fleet.platform.Put("a");
  fleet.Run(seconds(5));
  fleet.platform.is_down = true;
  fleet.Run(seconds(5));
  int before = fleet.platform.calls();
  fleet.Run(seconds(10));
  // Each router alone would make 2.5 calls per second.
  CHECK(fleet.platform.calls() - before <= kRouters * 10 / 2);
  fleet.platform.Put("b");
  before = fleet.platform.calls();
  fleet.platform.is_down = false;
  fleet.Run(seconds(2));
  CHECK(fleet.CountCurrent() == kRouters);
  CHECK(fleet.platform.calls() - before <= kRouters);
  for (const std::unique_ptr<FeedRouter>& router : fleet.routers) {
    CHECK(router->recoveries == 1);
  }
}

TEST_CASE("StoreFeed: no fault takes a router back or leaves it behind",
          "[gateway]") {
  rc::prop("random faults", [] {
    FeedFleet fleet(26);
    fleet.random = Random(*rc::gen::arbitrary<uint64_t>());
    fleet.loss = *rc::gen::element(0.0, 0.05, 0.5);
    fleet.Run(seconds(2));
    for (int step = 0; step < 60; ++step) {
      FeedRouter& router =
          *fleet.routers[fleet.random.Below(fleet.routers.size())];
      const std::string name = absl::StrCat("o", fleet.random.Below(4));
      switch (fleet.random.Below(8)) {
        case 0:
          router.is_frozen = !router.is_frozen;
          break;
        case 1:
          router.client->is_cut = !router.client->is_cut;
          break;
        case 2:
          fleet.platform.is_down = !fleet.platform.is_down;
          break;
        case 3:
          fleet.platform.Delete(name);
          break;
        case 4:
          fleet.platform.TouchOtherKind();
          break;
        default:
          fleet.platform.Put(name);
      }
      fleet.Run(kTick * static_cast<int64_t>(1 + fleet.random.Below(40)));
    }
    fleet.platform.is_down = false;
    for (const std::unique_ptr<FeedRouter>& router : fleet.routers) {
      router->is_frozen = false;
      router->client->is_cut = false;
    }
    fleet.platform.Put("last");
    fleet.Run(seconds(4));
    RC_ASSERT(fleet.CountCurrent() == static_cast<int>(fleet.routers.size()));
    for (const std::unique_ptr<FeedRouter>& router : fleet.routers) {
      RC_ASSERT(!router->went_back);
    }
  });
}

TEST_CASE("ObjectText: objects come back as they were", "[gateway]") {
  PlatformObject object;
  object.name = "a\"b";
  object.version = ObjectVersion(7);
  object.spec = {{"x", 1}, {"y", {1, 2}}};
  object.is_deleted = true;
  const auto back = ParseObjects(FormatObjects({object, PlatformObject()}));
  REQUIRE(back.has_value());
  REQUIRE(back->size() == 2);
  CHECK(back->front().name == object.name);
  CHECK(back->front().version == object.version);
  CHECK(back->front().spec == object.spec);
  CHECK(back->front().status.is_null());
  CHECK(back->front().is_deleted);
  CHECK(ParseObjects("")->empty());
  for (const char* text :
       {"{}", "[", "[1]", "[{}]", R"([{"name":"a"}])",
        R"([{"name":"a","version":-1}])", R"([{"name":1,"version":1}])"}) {
    CHECK_FALSE(ParseObjects(text).has_value());
  }
}

}  // namespace
}  // namespace papaya
