#include "include/gateway/quarantine_archive.h"

#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "include/base/error.h"
#include "include/telemetry/event_catalog.h"

namespace papaya {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

// A store of one kind. Answers wait until Run is called.
class FakeStore final : public PlatformStore {
 public:
  void List(const std::string&,
            const std::string&,
            BatchCallback done) override {
    Answer(
        [this, done] {
          ObjectBatch batch;
          for (const auto& [name, object] : objects) {
            batch.objects.push_back(object);
          }
          done(std::move(batch));
        },
        [done](const absl::Status& error) { done(error); });
  }
  void Watch(const std::string&,
             ObjectVersion,
             Duration,
             BatchCallback) override {
    FAIL("the archive does not watch");
  }
  void Create(const std::string&,
              const PlatformObject& object,
              WriteCallback done) override {
    Answer(
        [this, object, done] {
          if (objects.contains(object.name)) {
            done(Error(absl::StatusCode::kAlreadyExists));
            return;
          }
          objects[object.name] = object;
          objects[object.name].version = ObjectVersion(++version);
          done(objects[object.name]);
        },
        [done](const absl::Status& error) { done(error); });
  }
  void PutStatus(const std::string&,
                 const PlatformObject& object,
                 WriteCallback done) override {
    Answer(
        [this, object, done] {
          PlatformObject& stored = objects.at(object.name);
          if (stored.version != object.version) {
            done(Error(absl::StatusCode::kAborted));
            return;
          }
          stored.status = object.status;
          stored.version = ObjectVersion(++version);
          done(stored);
        },
        [done](const absl::Status& error) { done(error); });
  }

  void Run() {
    while (!answers.empty()) {
      const std::function<void()> answer = std::move(answers.front());
      answers.pop_front();
      answer();
    }
  }

  std::map<std::string, PlatformObject> objects;
  uint64_t version = 0;
  int calls = 0;
  bool is_down = false;
  std::deque<std::function<void()>> answers;

 private:
  static absl::Status Error(absl::StatusCode code) {
    return MakeError(code, {.step = "store.call", .peer = "store"}, "failed");
  }
  void Answer(const std::function<void()>& answer,
              const std::function<void(const absl::Status&)>& fail) {
    ++calls;
    answers.push_back([this, answer, fail] {
      is_down ? fail(Error(absl::StatusCode::kUnavailable)) : answer();
    });
  }
};

class ArchiveUser {
 public:
  ArchiveUser(const std::string& name, FakeStore* store)
      : archive(RouterId(name),
                store,
                "quarantines",
                {.restore =
                     [this](const CrashNews& news) {
                       restored.insert(restored.end(), news.parts.begin(),
                                       news.parts.end());
                     },
                 .current = [this] { return current; },
                 .wall_time = [this] { return wall; },
                 .event = [this](const Event&) { ++failures; }}),
        store_(store) {}

  void RunFor(Duration time) {
    const TimePoint end = now + time;
    while (now < end) {
      now += std::chrono::milliseconds(100);
      wall += std::chrono::milliseconds(100);
      archive.OnTick(now);
      store_->Run();
    }
  }

  void Begin(uint64_t part, int count) {
    current.push_back({.part = PromptPartId(part),
                       .quarantine_age = seconds(0),
                       .quarantines = count});
    archive.OnBegun(PromptPartId(part), {RouterId("r1"), RouterId("r2")});
  }

  std::vector<PartNews> current;
  std::vector<PartNews> restored;
  int failures = 0;
  TimePoint now{seconds(1000)};
  WallTime wall{seconds(1'700'000'000)};
  QuarantineArchive archive;

 private:
  FakeStore* const store_;
};

TEST_CASE("QuarantineArchive: a restarted fleet gets its quarantines back",
          "[quarantine]") {
  FakeStore store;
  ArchiveUser first("r1", &store);
  first.RunFor(seconds(2));
  CHECK(first.restored.empty());
  CHECK(store.calls == 1);
  first.Begin(0xfedcba9876543210, 2);
  first.RunFor(seconds(3));
  CHECK(store.calls <= 4);
  ArchiveUser second("r2", &store);
  second.wall = first.wall + seconds(30);
  second.RunFor(seconds(1));
  REQUIRE(second.restored.size() == 1);
  CHECK(second.restored[0].part == PromptPartId(0xfedcba9876543210));
  CHECK(second.restored[0].quarantines == 2);
  CHECK(*second.restored[0].quarantine_age >= seconds(30));
  CHECK(*second.restored[0].quarantine_age <= seconds(35));
}

TEST_CASE("QuarantineArchive: two writers lose nothing", "[quarantine]") {
  FakeStore store;
  ArchiveUser first("r1", &store);
  ArchiveUser second("r2", &store);
  first.RunFor(seconds(1));
  second.RunFor(seconds(1));
  first.Begin(1, 1);
  second.Begin(1, 1);
  second.Begin(2, 1);
  first.current = second.current;
  // Their calls interleave.
  for (int i = 0; i < 40; ++i) {
    first.now += std::chrono::milliseconds(100);
    second.now += std::chrono::milliseconds(100);
    first.archive.OnTick(first.now);
    second.archive.OnTick(second.now);
    store.Run();
  }
  ArchiveUser third("r3", &store);
  third.RunFor(seconds(1));
  CHECK(third.restored.size() == 2);
  CHECK(store.calls < 20);
}

TEST_CASE("QuarantineArchive: goes on after an outage of the store",
          "[quarantine]") {
  FakeStore store;
  store.is_down = true;
  ArchiveUser user("r1", &store);
  user.RunFor(seconds(3));
  CHECK(user.failures > 0);
  user.Begin(5, 1);
  user.RunFor(seconds(2));
  store.is_down = false;
  user.RunFor(seconds(3));
  ArchiveUser other("r2", &store);
  other.RunFor(seconds(1));
  CHECK(other.restored.size() == 1);
}

TEST_CASE("QuarantineArchive: a router that is no writer only reads",
          "[quarantine]") {
  FakeStore store;
  ArchiveUser user("r3", &store);
  user.RunFor(seconds(1));
  user.Begin(5, 1);
  user.RunFor(seconds(5));
  CHECK(store.calls == 1);
}

TEST_CASE("QuarantineArchive: passes over what it can't read", "[quarantine]") {
  FakeStore store;
  PlatformObject object;
  object.name = "all";
  object.version = ObjectVersion(3);
  object.status = boost::json::object{
      {"quarantines",
       {1, "x", boost::json::object{{"part", "zz"}},
        boost::json::object{{"part", "a"}, {"since_ms", -4}, {"count", 1}},
        boost::json::object{
            {"part", "b"}, {"since_ms", 1'700'000'000'000}, {"count", 999}}}}};
  store.objects["all"] = object;
  ArchiveUser user("r1", &store);
  user.RunFor(seconds(1));
  REQUIRE(user.restored.size() == 1);
  CHECK(user.restored[0].part == PromptPartId(0xb));
  CHECK(user.restored[0].quarantines <= 64);
}

}  // namespace
}  // namespace papaya
