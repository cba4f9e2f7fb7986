#include "include/gateway/object_watcher.h"

#include <catch2/catch.hpp>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "include/base/error.h"

namespace papaya {
namespace {

using std::chrono::milliseconds;

absl::Status Failure(absl::StatusCode code) {
  return MakeError(code, {.step = "store.call", .peer = "store"}, "failed");
}

// Records the calls; the test answers them.
class FakeStore final : public PlatformStore {
 public:
  struct Call {
    bool is_list = false;
    std::string after;
    ObjectVersion version;
    Duration wait{};
    BatchCallback done;
  };

  void List(const std::string&,
            const std::string& after,
            BatchCallback done) override {
    calls.push_back({.is_list = true,
                     .after = after,
                     .version = {},
                     .wait = {},
                     .done = std::move(done)});
  }
  void Watch(const std::string&,
             ObjectVersion version,
             Duration wait,
             BatchCallback done) override {
    calls.push_back({.is_list = false,
                     .after = {},
                     .version = version,
                     .wait = wait,
                     .done = std::move(done)});
  }
  void Create(const std::string&,
              const PlatformObject&,
              WriteCallback) override {}
  void PutStatus(const std::string&,
                 const PlatformObject&,
                 WriteCallback) override {}

  Call Take() {
    REQUIRE(calls.size() == 1);
    Call call = std::move(calls.front());
    calls.pop_front();
    return call;
  }

  std::deque<Call> calls;
};

class Fixture {
 public:
  Fixture() {
    ObjectWatcher::Hooks hooks;
    hooks.replaced = [this](const std::vector<PlatformObject>& objects) {
      listed = objects.size();
    };
    hooks.changed = [this](const PlatformObject& object) {
      changed.push_back(object.name);
    };
    hooks.store_recovered = [this] { ++store_recovered; };
    hooks.read = [](const KindFeed&) {};
    hooks.now = [this] { return now; };
    hooks.event = [](const Event&) {};
    watcher = std::make_unique<ObjectWatcher>(
        &store, ObjectWatcher::Options{.kind = "upstreams"}, hooks);
    watcher->OnTick(now);
  }

  static ObjectBatch Batch(const std::vector<std::string>& names,
                           uint64_t version,
                           bool has_more = false) {
    ObjectBatch batch;
    for (const std::string& name : names) {
      batch.objects.emplace_back();
      batch.objects.back().name = name;
    }
    batch.store_version = ObjectVersion(version);
    batch.has_more = has_more;
    return batch;
  }

  void Wait(Duration time) {
    now += time;
    watcher->OnTick(now);
  }

  TimePoint now{std::chrono::seconds(100)};
  FakeStore store;
  std::unique_ptr<ObjectWatcher> watcher;
  size_t listed = 0;
  std::vector<std::string> changed;
  int store_recovered = 0;
};

TEST_CASE("ObjectWatcher: watches from the version of the first listed page",
          "[gateway]") {
  Fixture f;
  f.store.Take().done(Fixture::Batch({"a", "b"}, 7, /*has_more=*/true));
  CHECK_FALSE(f.watcher->IsListed());
  const FakeStore::Call second = f.store.Take();
  CHECK(second.after == "b");
  second.done(Fixture::Batch({"c"}, 9));
  CHECK(f.listed == 3);
  const FakeStore::Call watch = f.store.Take();
  CHECK_FALSE(watch.is_list);
  CHECK(watch.version == ObjectVersion(7));
  watch.done(Fixture::Batch({"d"}, 11));
  CHECK(f.changed == std::vector<std::string>{"d"});
  // The next watch is delayed so that changes arrive together.
  CHECK(f.store.calls.empty());
  f.Wait(milliseconds(200));
  CHECK(f.store.Take().version == ObjectVersion(11));
}

TEST_CASE("ObjectWatcher: lists again if the store has lost the history",
          "[gateway]") {
  Fixture f;
  f.store.Take().done(Fixture::Batch({"a"}, 7));
  f.store.Take().done(Failure(absl::StatusCode::kOutOfRange));
  CHECK(f.store.Take().is_list);
  CHECK(f.store_recovered == 0);
}

TEST_CASE("ObjectWatcher: a starting router waits for a feed before it watches",
          "[gateway]") {
  Fixture f;
  ObjectWatcher::Hooks hooks;
  hooks.replaced = [](const std::vector<PlatformObject>&) {};
  hooks.changed = [&f](const PlatformObject& object) {
    f.changed.push_back(object.name);
  };
  hooks.store_recovered = [] {};
  hooks.read = [](const KindFeed&) {};
  hooks.now = [&f] { return f.now; };
  hooks.event = [](const Event&) {};
  FakeStore store;
  ObjectWatcher watcher(
      &store, {.kind = "upstreams", .first_watch_delay = milliseconds(1000)},
      hooks);
  watcher.OnTick(f.now);
  store.Take().done(Fixture::Batch({"a"}, 7));
  CHECK(watcher.IsListed());
  CHECK(store.calls.empty());
  SECTION("and is fed") {
    watcher.OnFeed(
        {.kind = "upstreams", .from = ObjectVersion(6), .to = ObjectVersion(9)},
        f.now);
    f.now += milliseconds(1300);
    watcher.OnTick(f.now);
    CHECK(store.calls.empty());
    // The feed has become too old.
    f.now += milliseconds(200);
    watcher.OnTick(f.now);
    CHECK(store.Take().version == ObjectVersion(9));
  }
  SECTION("and is not fed") {
    f.now += milliseconds(1000);
    watcher.OnTick(f.now);
    CHECK(store.Take().version == ObjectVersion(7));
  }
}

TEST_CASE("ObjectWatcher: one failed watch is not an outage", "[gateway]") {
  Fixture f;
  f.store.Take().done(Fixture::Batch({"a"}, 7));
  f.store.Take().done(Failure(absl::StatusCode::kUnavailable));
  CHECK(f.store.calls.empty());
  f.Wait(milliseconds(60));
  // With the usual wait, the failure would last as long as an outage.
  const FakeStore::Call probe = f.store.Take();
  CHECK(probe.wait < milliseconds(100));
  probe.done(Fixture::Batch({}, 7));
  CHECK(f.store_recovered == 0);
  CHECK(f.store.Take().wait > std::chrono::seconds(1));
}

TEST_CASE("ObjectWatcher: backs off during an outage and reports its end",
          "[gateway]") {
  Fixture f;
  f.store.Take().done(Fixture::Batch({"a"}, 7));
  int calls = 0;
  for (int i = 0; i < 100; ++i) {
    if (!f.store.calls.empty()) {
      ++calls;
      f.store.Take().done(Failure(absl::StatusCode::kUnavailable));
    }
    f.Wait(milliseconds(25));
  }
  CHECK(f.watcher->IsStoreUnavailable());
  CHECK(calls < 15);
  f.Wait(milliseconds(500));
  f.store.Take().done(Fixture::Batch({}, 7));
  CHECK(f.store_recovered == 1);
  CHECK_FALSE(f.watcher->IsStoreUnavailable());
}

}  // namespace
}  // namespace papaya
