#ifndef TESTS_FAKES_STORE_FLEET_H_
#define TESTS_FAKES_STORE_FLEET_H_

#include <array>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "include/base/random.h"
#include "include/gateway/object_watcher.h"
#include "include/gateway/quarantine_archive.h"
#include "include/gateway/store_feed.h"
#include "src/gateway/store_probe.h"
#include "tests/fakes/fake_platform.h"

namespace papaya {

// Routers in several availability zones, each with the watchers of all kinds, a
// feed and a quarantine archive as in `Gateway`, in virtual time. They find
// each other a while after they start; messages between them are late and may
// be lost.
class StoreFleet {
 public:
  static constexpr Duration kTick = std::chrono::milliseconds(25);
  static constexpr Duration kFeedTick = std::chrono::milliseconds(100);
  // Routers that start together find each other within a second, and one that
  // joins a running fleet finds it sooner.
  static constexpr Duration kDiscovery = std::chrono::milliseconds(1000);
  static constexpr Duration kRunningDiscovery = std::chrono::milliseconds(250);

  enum Kind { kConfig, kUpstreams, kMoves, kKinds };

  struct Watched {
    std::unique_ptr<FakePlatform::Client> client;
    std::unique_ptr<ObjectWatcher> watcher;
    std::map<std::string, uint64_t> objects;
    // Highest version of each object that was applied, deletions included.
    std::map<std::string, uint64_t> newest;
  };

  struct Router {
    RouterId id;
    AvailabilityZoneId zone;
    bool is_frozen = false;
    bool went_back = false;
    TimePoint start;
    // When all kinds were listed.
    std::optional<TimePoint> ready;
    std::array<Watched, kKinds> kinds;
    std::unique_ptr<FakePlatform::Client> archive_client;
    std::unique_ptr<QuarantineArchive> archive;
    std::unique_ptr<StoreFeed> feed;
    std::unique_ptr<StoreProbe> probe;
    TimePoint next_feed_tick;
  };

  StoreFleet(int count, int zones) : random_(1) {
    queue.RunUntil(TimePoint(std::chrono::seconds(100)));
    for (int kind = 0; kind <= kKinds; ++kind) {
      platforms.push_back(std::make_unique<FakePlatform>(&queue));
    }
    for (int i = 0; i < count; ++i) {
      locations_.push_back(
          {.id = RouterId(absl::StrCat("r", i)),
           .zone = AvailabilityZoneId(absl::StrCat("z", i % zones))});
    }
    routers.resize(static_cast<size_t>(count));
  }

  // Starts the router, or replaces it by a new process that knows nothing.
  void Start(size_t index) {
    auto router = std::make_unique<Router>();
    router->id = locations_[index].id;
    router->zone = locations_[index].zone;
    router->start = queue.now();
    for (int kind = 0; kind < kKinds; ++kind) {
      StartWatcher(router.get(), kind);
    }
    router->archive_client = platforms[kKinds]->MakeClient();
    router->archive = std::make_unique<QuarantineArchive>(
        router->id, router->archive_client.get(), "quarantines",
        QuarantineArchive::Hooks{
            .restore = [](const CrashNews&) {},
            .current = [] { return std::vector<PartNews>(); },
            .wall_time = [] { return WallTime(); },
            .is_fed =
                [started = router.get()] {
                  return started->feed->IsLarge() &&
                         !started->feed->IsReading();
                },
            .event = [](const Event&) {}});
    router->feed = std::make_unique<StoreFeed>(locations_[index],
                                               MakeFeedHooks(router.get()));
    router->probe = std::make_unique<StoreProbe>(
        router->kinds[kMoves].client.get(), "kind",
        StoreProbe::Hooks{.alive =
                              [started = router.get()](TimePoint sent) {
                                for (Watched& watched : started->kinds) {
                                  watched.watcher->OnStoreAlive(sent);
                                }
                              },
                          .silent =
                              [started = router.get()](TimePoint now) {
                                for (Watched& watched : started->kinds) {
                                  watched.watcher->OnStoreSilent(now);
                                }
                              }});
    // Kept until the end, as calls that are under way refer to it.
    if (routers[index] != nullptr) {
      ended_.push_back(std::move(routers[index]));
    }
    routers[index] = std::move(router);
    queue.After(
        random_.Jitter(is_running_ ? kRunningDiscovery : kDiscovery, 0.7),
        [this, started = routers[index].get()] {
          started->feed->SetRouters(locations_);
          for (Watched& watched : started->kinds) {
            watched.watcher->SetLead(started->feed->IsLarge()
                                         ? started->kinds[kConfig].watcher.get()
                                         : nullptr);
          }
        });
  }

  void StartAll() {
    for (size_t i = 0; i < routers.size(); ++i) {
      Start(i);
    }
    is_running_ = true;
  }

  void Run(Duration time) {
    const TimePoint end = queue.now() + time;
    while (queue.now() < end) {
      for (const std::unique_ptr<Router>& router : routers) {
        if (router != nullptr && !router->is_frozen) {
          Tick(router.get());
        }
      }
      queue.RunFor(kTick);
    }
  }

  // Routers that know what the store holds of all kinds.
  int CountCurrent() const {
    int current = 0;
    for (const std::unique_ptr<Router>& router : routers) {
      bool is_current = router != nullptr;
      for (int kind = 0; is_current && kind < kKinds; ++kind) {
        is_current = router->kinds[kind].objects == platforms[kind]->objects();
      }
      current += is_current ? 1 : 0;
    }
    return current;
  }

  bool WentBack() const {
    for (const std::unique_ptr<Router>& router : routers) {
      if (router != nullptr && router->went_back) {
        return true;
      }
    }
    return false;
  }

  // Time until the last router was ready. Requires that all are.
  Duration SlowestStart() const {
    Duration slowest{};
    for (const std::unique_ptr<Router>& router : routers) {
      slowest = std::max(slowest, *router->ready - router->start);
    }
    return slowest;
  }

  void SetCut(Router* router, bool is_cut) {
    for (Watched& watched : router->kinds) {
      watched.client->is_cut = is_cut;
    }
    router->archive_client->is_cut = is_cut;
  }

  void SetDown(bool is_down) {
    for (const std::unique_ptr<FakePlatform>& platform : platforms) {
      platform->is_down = is_down;
    }
  }

  // Cost of all calls by kind and how they ended, in calls.
  std::map<std::string, double> Costs() const {
    static constexpr std::array<const char*, kKinds + 1> kNames = {
        "config", "upstreams", "moves", "archive"};
    std::map<std::string, double> costs;
    for (int kind = 0; kind <= kKinds; ++kind) {
      for (const auto& [call, count] : platforms[kind]->calls_by_kind()) {
        costs[absl::StrCat(kNames[kind], ": ", call)] =
            count * (call == "stale list" ? 0.1 : 1.0);
      }
    }
    return costs;
  }

  EventQueue queue;
  // By kind; the last one is that of the quarantine archive.
  std::vector<std::unique_ptr<FakePlatform>> platforms;
  std::vector<std::unique_ptr<Router>> routers;
  double loss = 0.0;

 private:
  void StartWatcher(Router* router, int kind) {
    Watched& watched = router->kinds[kind];
    watched.client = platforms[kind]->MakeClient();
    ObjectWatcher::Options options{
        .kind = absl::StrCat("kind", kind),
        .first_watch_delay = std::chrono::milliseconds(1200),
        .reading_wait = std::chrono::seconds(3),
        .max_fed_backoff = std::chrono::seconds(10),
        .min_fed_backoff = std::chrono::seconds(5),
        .max_reading_backoff = std::chrono::milliseconds(800),
        .feeding_coalesce_delay = std::chrono::milliseconds(400),
        .stale_feed_patience = std::chrono::milliseconds(400),
        .starts_stale = true};
    if (kind == kMoves) {
      options.feeding_wait = std::chrono::seconds(2);
      options.max_feed_age = std::chrono::milliseconds(2700);
    }
    ObjectWatcher::Hooks hooks;
    hooks.replaced = [router, kind](const std::vector<PlatformObject>& listed) {
      router->kinds[kind].objects.clear();
      for (const PlatformObject& object : listed) {
        Apply(router, kind, object);
      }
    };
    hooks.changed = [router, kind](const PlatformObject& object) {
      Apply(router, kind, object);
    };
    hooks.store_recovered = [] {};
    hooks.read = [router](const KindFeed& feed) { router->feed->OnRead(feed); };
    hooks.behind = [this, router] {
      router->feed->RequestMissing(queue.now());
    };
    hooks.now = [this] { return queue.now(); };
    hooks.event = [](const Event&) {};
    watched.watcher = std::make_unique<ObjectWatcher>(
        watched.client.get(), std::move(options), std::move(hooks));
  }

  static void Apply(Router* router, int kind, const PlatformObject& object) {
    Watched& watched = router->kinds[kind];
    const uint64_t version = object.version.value();
    uint64_t& newest = watched.newest[object.name];
    router->went_back |= version < newest;
    newest = std::max(newest, version);
    if (object.is_deleted) {
      watched.objects.erase(object.name);
    } else {
      watched.objects[object.name] = RevisionOf(object.version);
    }
  }

  StoreFeed::Hooks MakeFeedHooks(Router* router) {
    StoreFeed::Hooks hooks;
    const RouterId id = router->id;
    hooks.request = [this, id](const RouterId& to, const FeedRequest& request) {
      Send(to, [this, id, request](Router* receiver) {
        receiver->feed->OnRequest(id, request, queue.now());
      });
    };
    hooks.update = [this, id](const RouterId& to, const FeedUpdate& update) {
      Send(to, [this, id, update](Router* receiver) {
        OnUpdate(receiver, id, update);
      });
    };
    hooks.snapshot = [router](TimePoint now) {
      std::vector<KindFeed> feeds;
      for (Watched& watched : router->kinds) {
        if (watched.watcher->IsListed()) {
          feeds.push_back(watched.watcher->MakeFeed(now));
        }
      }
      return feeds;
    };
    hooks.feeding_changed = [router](bool is_feeding) {
      for (Watched& watched : router->kinds) {
        watched.watcher->SetFeeding(is_feeding);
      }
    };
    hooks.versions = [router] {
      std::vector<FeedRequest::KindVersion> versions;
      for (Watched& watched : router->kinds) {
        versions.push_back(watched.watcher->MakeVersion());
      }
      return versions;
    };
    hooks.changes_since = [router](const FeedRequest::KindVersion& known,
                                   TimePoint now) {
      std::vector<KindFeed> feeds;
      for (Watched& watched : router->kinds) {
        if (watched.watcher->kind() == known.kind) {
          feeds = watched.watcher->ChangesSince(known.version, now);
        }
      }
      return feeds;
    };
    hooks.peer_version = [router](const FeedRequest::KindVersion& known,
                                  TimePoint now) {
      for (Watched& watched : router->kinds) {
        if (watched.watcher->kind() == known.kind) {
          watched.watcher->OnPeerVersion(known.version, now);
        }
      }
    };
    hooks.has_lost_store = [router](TimePoint now) {
      return router->kinds[kConfig].watcher->TimeSinceOwnResponse(now) >=
             StoreFeed::kReaderStaleLimit;
    };
    hooks.reading_changed = [router](bool is_reading) {
      for (Watched& watched : router->kinds) {
        watched.watcher->SetReading(is_reading);
      }
    };
    return hooks;
  }

  void OnUpdate(Router* router,
                const RouterId& from,
                const FeedUpdate& update) {
    router->feed->OnUpdate(from, update, queue.now());
    if (!router->feed->IsFed()) {
      return;
    }
    for (const KindFeed& kind : update.kinds) {
      for (Watched& watched : router->kinds) {
        if (watched.watcher->kind() == kind.kind) {
          watched.watcher->OnFeed(kind, queue.now());
        }
      }
    }
  }

  void Send(const RouterId& to, std::function<void(Router*)> deliver) {
    if (random_.Chance(loss)) {
      return;
    }
    queue.After(
        std::chrono::milliseconds(1) +
            random_.Jitter(std::chrono::milliseconds(10), 0.9),
        [this, to, deliver = std::move(deliver)] {
          for (const std::unique_ptr<Router>& router : routers) {
            if (router != nullptr && router->id == to && !router->is_frozen) {
              deliver(router.get());
            }
          }
        });
  }

  void Tick(Router* router) {
    const TimePoint now = queue.now();
    bool is_listed = true;
    for (Watched& watched : router->kinds) {
      watched.watcher->OnTick(now);
      is_listed &= watched.watcher->IsListed();
    }
    if (is_listed && !router->ready.has_value()) {
      router->ready = now;
    }
    if (now >= router->next_feed_tick) {
      router->next_feed_tick = now + kFeedTick;
      router->feed->OnTick(now);
      router->probe->OnTick(
          now, router->feed->IsFeeding() && router->feed->IsReading() &&
                   !router->kinds[kConfig].watcher->IsStoreUnavailable());
      router->archive->OnTick(now);
    }
  }

  std::vector<RouterLocation> locations_;
  bool is_running_ = false;
  std::vector<std::unique_ptr<Router>> ended_;
  Random random_;
};

}  // namespace papaya

#endif  // TESTS_FAKES_STORE_FLEET_H_
