// A store that comes back from a copy that is some seconds old.

#include "include/gateway/store_era.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "include/gateway/object_watcher.h"
#include "include/gateway/upstream_directory.h"
#include "include/gateway/version_moves.h"
#include "include/wire/steady_time.h"
#include "platform/store_client.h"
#include "tests/fakes/canned_server.h"
#include "tests/fakes/event_queue.h"
#include "tests/fakes/fake_platform.h"
#include "tests/fakes/store_fleet.h"

namespace papaya {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("StoreEraTracker: drops late answers and reports faults once",
          "[gateway]") {
  const TimePoint start{seconds(100)};
  StoreEraTracker eras;
  std::vector<EventId> events;
  eras.SetEventHook([&events](const Event& e) { events.push_back(e.id); });
  const auto accepts = [&eras](uint64_t era, TimePoint sent, TimePoint now) {
    return eras.Accepts(StoreEra(era), absl::StrCat(era), sent, now);
  };
  // A store without eras.
  CHECK(eras.Accepts(std::nullopt, "", start, start));
  CHECK(accepts(4, start, start));
  CHECK(events.empty());
  CHECK(accepts(5, start + seconds(1), start + seconds(2)));
  CHECK(events == std::vector<EventId>{EventId::kStoreRestored});
  CHECK_FALSE(accepts(4, start + seconds(1), start + seconds(3)));
  CHECK(eras.era() == StoreEra(5));
  for (int i = 0; i < 3; ++i) {
    CHECK(eras.Accepts(std::nullopt, "five", start + seconds(4),
                       start + seconds(4)));
    CHECK(
        eras.Accepts(std::nullopt, "", start + seconds(4), start + seconds(4)));
  }
  CHECK(eras.era() == StoreEra(5));
  CHECK(events.size() == 2);
  // A store whose era really went back is followed all the same.
  CHECK(accepts(3, start + seconds(5), start + seconds(5)));
  CHECK(eras.era() == StoreEra(3));
  CHECK(events == std::vector<EventId>{
                      EventId::kStoreRestored, EventId::kStoreEraRefused,
                      EventId::kStoreEraRefused, EventId::kStoreRestored});
}

TEST_CASE("ObjectVersion: a later era is greater than any revision",
          "[gateway]") {
  const ObjectVersion before =
      MakeObjectVersion(StoreEra(2), kMaxStoreRevision + 9);
  const ObjectVersion after = MakeObjectVersion(StoreEra(3), 7);
  CHECK(before < after);
  CHECK(EraOf(before) == StoreEra(2));
  CHECK(EraOf(after) == StoreEra(3));
  CHECK(RevisionOf(after) == 7);
  CHECK(MakeObjectVersion(StoreEra(), 7) == ObjectVersion(7));
}

// A watcher, and what it has delivered.
class WatcherFixture {
 public:
  explicit WatcherFixture(FakePlatform* platform)
      : client_(platform->MakeClient()),
        watcher(client_.get(), {.kind = "kind"}, MakeHooks()) {}

  ObjectWatcher::Hooks MakeHooks() {
    ObjectWatcher::Hooks hooks;
    hooks.replaced = [this](const std::vector<PlatformObject>& objects) {
      known.clear();
      for (const PlatformObject& object : objects) {
        known[object.name] = object.version;
      }
    };
    hooks.changed = [this](const PlatformObject& object) {
      known[object.name] = object.version;
    };
    hooks.store_recovered = [] {};
    hooks.store_restored = [this] { ++restored; };
    hooks.read = [this](const KindFeed& feed) { feeds.push_back(feed); };
    hooks.now = [this] { return now; };
    hooks.event = [](const Event&) {};
    return hooks;
  }

  std::map<std::string, ObjectVersion> known;
  std::vector<KindFeed> feeds;
  int restored = 0;
  TimePoint now;

 private:
  std::unique_ptr<FakePlatform::Client> client_;

 public:
  ObjectWatcher watcher;
};

// Guards against changes that are taken for old ones, as revisions are given
// out again.
TEST_CASE("ObjectWatcher: lists anew what an older copy of the store holds",
          "[gateway]") {
  EventQueue queue;
  FakePlatform platform(&queue);
  WatcherFixture f(&platform);
  const auto run = [&](Duration time) {
    for (const TimePoint end = queue.now() + time; queue.now() < end;) {
      f.now = queue.now();
      f.watcher.OnTick(queue.now());
      queue.RunFor(milliseconds(25));
    }
  };
  platform.Put("old");
  run(seconds(5));
  platform.Put("lost");
  platform.Put("lost too");
  run(seconds(2));
  REQUIRE(f.known.size() == 3);
  const KindFeed late = f.watcher.MakeFeed(queue.now());
  platform.Restore(seconds(4));
  platform.Put("new");
  run(seconds(2));
  CHECK(f.restored == 1);
  CHECK(f.known.contains("old"));
  CHECK(f.known.contains("new"));
  CHECK_FALSE(f.known.contains("lost"));
  // What another router passes on of the earlier era is older.
  KindFeed stale = late;
  stale.to = ObjectVersion(late.to.value() + 5);
  stale.from = late.to;
  f.watcher.OnFeed(stale, queue.now());
  run(seconds(1));
  CHECK(f.known.contains("new"));
  CHECK(f.restored == 1);
}

TEST_CASE("StoreFaults: a large fleet follows a store from an older copy",
          "[store_calls]") {
  constexpr int kRouters = 60;
  StoreFleet fleet(kRouters, 4);
  for (const std::unique_ptr<FakePlatform>& platform : fleet.platforms) {
    platform->Put("first");
  }
  fleet.Run(seconds(5));
  fleet.StartAll();
  fleet.Run(seconds(10));
  for (const std::unique_ptr<FakePlatform>& platform : fleet.platforms) {
    platform->Put("lost");
  }
  fleet.Run(seconds(2));
  REQUIRE(fleet.CountCurrent() == kRouters);
  for (const std::unique_ptr<FakePlatform>& platform : fleet.platforms) {
    platform->Restore(seconds(4));
    platform->Put("second");
  }
  fleet.Run(seconds(4));
  CHECK(fleet.CountCurrent() == kRouters);
}

TEST_CASE("UpstreamDirectory: an older copy brings no upstream back to service",
          "[gateway]") {
  // Specs are `ready` or `draining`.
  UpstreamDirectory directory(
      {.decode =
           [](const PlatformObject& object) -> absl::StatusOr<UpstreamRecord> {
         UpstreamRecord record;
         record.id = UpstreamId(object.name + "#1");
         record.instance = object.name;
         record.is_draining = object.spec.as_string() == "draining";
         return record;
       },
       .changed = [] {},
       .event = [](const Event&) {}});
  const auto make = [](const std::string& name, const char* state) {
    PlatformObject object;
    object.name = name;
    object.spec = boost::json::string(state);
    return object;
  };
  TimePoint now{seconds(100)};
  directory.Replace(
      {make("drained", "ready"), make("gone", "ready"), make("sound", "ready")},
      now);
  directory.Replace({make("drained", "draining"), make("new", "ready"),
                     make("sound", "ready")},
                    now);
  now += seconds(1);
  directory.OnStoreRestored(now);
  directory.Replace(
      {make("drained", "ready"), make("gone", "ready"), make("sound", "ready")},
      now);
  std::map<std::string, bool> is_draining;
  for (const UpstreamRecord& record : directory.Records()) {
    is_draining[record.instance] = record.is_draining;
  }
  CHECK(is_draining == std::map<std::string, bool>{{"drained", true},
                                                   {"gone", true},
                                                   {"new", false},
                                                   {"sound", false}});
  // One that does not register again is gone.
  now += UpstreamDirectory::kReregistrationGrace;
  directory.OnTick(now);
  CHECK(directory.Records().size() == 3);
}

// Guards against a move that is decided a second time, in another way.
TEST_CASE("VersionMoves: writes a decision again that the store has lost",
          "[gateway]") {
  const MoveState decided =
      GENERATE(MoveState::kCompleted, MoveState::kRolledBack);
  std::vector<MoveState> written;
  VersionMoves::Hooks hooks;
  hooks.write_state = [&written](const MoveOrder&, MoveState state) {
    written.push_back(state);
  };
  hooks.send = [](const RouterId&, const StatsReport&) {};
  hooks.approve = [](const RouterId&, const MoveApproval&) {};
  hooks.changed = [] {};
  hooks.event = [](const Event&) {};
  VersionMoves moves(RouterId("r"), Incarnation(1), hooks);
  TimePoint now{seconds(100)};
  MoveOrder order;
  order.service = PoolId("booking");
  order.target = VersionId("v2");
  order.duration = seconds(10);
  const auto run = [&](Duration time) {
    for (const TimePoint end = now + time; now < end;
         now += milliseconds(100)) {
      moves.OnTick(now);
    }
  };
  moves.OnOrder(order, now);
  run(seconds(1));
  order.state = decided;
  moves.OnOrder(order, now);
  run(seconds(1));
  written.clear();
  // The copy is from before the decision.
  order.state = GENERATE(std::optional<MoveState>(),
                         std::optional<MoveState>(MoveState::kRunning));
  order.version = MakeObjectVersion(StoreEra(1), 3);
  moves.OnOrder(order, now);
  run(milliseconds(300));
  CHECK(written == std::vector<MoveState>{decided});
  order.state = decided;
  moves.OnOrder(order, now);
  run(seconds(15));
  CHECK(written.size() == 1);
}

TEST_CASE("StoreClient: reads the era of the store from its answers",
          "[platform]") {
  const std::string era = GENERATE("", "Store-Era: 7\r\n", "Store-Era: x\r\n");
  const StoreEra expected(era.find('7') == std::string::npos ? 0 : 7);
  const std::string body = R"({"items":[],"events":[],"has_more":false,)"
                           R"("store_revision":41})";
  boost::asio::io_context context;
  CannedServer server(
      context, absl::StrCat("HTTP/1.1 200 OK\r\n", era,
                            "Content-Length: ", body.size(), "\r\n\r\n", body));
  const std::unique_ptr<PlatformStore> store = platform::OpenStore(
      context, absl::StrCat("127.0.0.1:", server.endpoint().port()), nullptr);
  std::vector<EventId> events;
  store->SetEventHook([&events](const Event& e) { events.push_back(e.id); });
  std::optional<absl::StatusOr<ObjectBatch>> batch;
  const auto keep = [&batch](absl::StatusOr<ObjectBatch> got) {
    batch = std::move(got);
  };
  const auto wait = [&] {
    while (!batch.has_value()) {
      context.run_one();
    }
  };
  store->List("kind", "", keep);
  wait();
  REQUIRE((*batch).ok());
  CHECK((*batch)->store_version == MakeObjectVersion(expected, 41));
  CHECK(events.size() == (era.find('x') == std::string::npos ? 0 : 1));
  batch.reset();
  store->Watch("kind", MakeObjectVersion(expected, 41), milliseconds(10), keep);
  wait();
  CHECK((*batch).ok());
  batch.reset();
  store->Watch("kind", MakeObjectVersion(StoreEra(6), 41), milliseconds(10),
               keep);
  wait();
  CHECK(absl::IsOutOfRange((*batch).status()));
  // A revision that is given out again must not pass for the one meant.
  PlatformObject object;
  object.name = "a";
  object.version = MakeObjectVersion(StoreEra(6), 41);
  absl::Status written;
  bool has_written = false;
  store->PutStatus("kind", object,
                   [&](const absl::StatusOr<PlatformObject>& result) {
                     written = result.status();
                     has_written = true;
                   });
  while (!has_written) {
    context.run_one();
  }
  CHECK(absl::IsAborted(written));
}

}  // namespace
}  // namespace papaya
