#include <catch2/catch.hpp>

#include <optional>

#include "include/standin/platform_model.h"
#include "include/standin/service_model.h"
#include "include/standin/standin_faults.h"

namespace papaya {
namespace {

using std::chrono::seconds;

ConditionalWrite Write(const std::string& key,
                       uint64_t expected,
                       std::optional<std::string> value) {
  return {.key = key,
          .expected = ObjectVersion(expected),
          .operation = OperationId("o"),
          .value = std::move(value)};
}

TEST_CASE("PlatformModel: writes take effect only on the expected version",
          "[standin]") {
  PlatformModel platform{PlatformOptions()};
  const TimePoint now{seconds(1)};
  const absl::StatusOr<ObjectVersion> first =
      platform.Put(Write("a", 0, "one"), now);
  REQUIRE(first.ok());
  CHECK(absl::IsAborted(platform.Put(Write("a", 0, "x"), now).status()));
  CHECK(platform.Get("a", now)->value == "one");
  REQUIRE(platform.Put(Write("a", first->value(), std::nullopt), now).ok());
  CHECK(absl::IsNotFound(platform.Get("a", now).status()));
  const absl::StatusOr<ObjectVersion> again =
      platform.Put(Write("a", 0, "two"), now);
  REQUIRE(again.ok());
  CHECK(*again > *first);
}

TEST_CASE("PlatformModel: lists by prefix in key order", "[standin]") {
  PlatformModel platform{PlatformOptions()};
  const TimePoint now{seconds(1)};
  for (const char* key : {"p/b", "q", "p/a", "p"}) {
    REQUIRE(platform.Put(Write(key, 0, key), now).ok());
  }
  const absl::StatusOr<std::vector<StoredObject>> found =
      platform.List("p/", now);
  REQUIRE(found->size() == 2);
  CHECK((*found)[0].key == "p/a");
}

TEST_CASE("PlatformModel: a watch ends on a change or by timeout",
          "[standin]") {
  PlatformModel platform{PlatformOptions()};
  const TimePoint now{seconds(1)};
  int woken = 0;
  int ended = 0;
  const PlatformModel::WatchCallback done =
      [&](const std::optional<StoredObject>& object) {
        ++(object ? woken : ended);
      };
  REQUIRE(platform.Watch("a", ObjectVersion(), now, done).ok());
  REQUIRE(platform.Put(Write("b", 0, "x"), now).ok());
  CHECK(woken == 0);
  REQUIRE(platform.Put(Write("a", 0, "x"), now).ok());
  CHECK(woken == 1);
  REQUIRE(platform.Watch("a", ObjectVersion(), now, done).ok());
  CHECK(woken == 2);
  REQUIRE(platform.Watch("a", ObjectVersion(99), now, done).ok());
  REQUIRE(platform.NextDue() == now + seconds(30));
  platform.Advance(now + seconds(30));
  CHECK(ended == 1);
  CHECK(platform.watches() == 0);
}

TEST_CASE("PlatformModel: calls above the rate fail until the bucket refills",
          "[standin]") {
  PlatformOptions options;
  options.reads_per_second = 2;
  options.writes_per_second = 1;
  PlatformModel platform(options);
  const TimePoint now{seconds(1)};
  CHECK(absl::IsNotFound(platform.Get("a", now).status()));
  CHECK(absl::IsNotFound(platform.Get("a", now).status()));
  CHECK(absl::IsResourceExhausted(platform.Get("a", now).status()));
  CHECK(platform.Put(Write("a", 0, "x"), now).ok());
  CHECK(absl::IsResourceExhausted(
      platform.Put(Write("b", 0, "x"), now).status()));
  CHECK(platform.Get("a", now + seconds(1)).ok());
}

TEST_CASE("PlatformModel: the VM list is delayed", "[standin]") {
  PlatformModel platform{PlatformOptions()};
  const TimePoint now{seconds(100)};
  platform.SetVm({VmId("vm-1"), false}, now);
  platform.SetVm({VmId("vm-1"), true}, now + seconds(10));
  const TimePoint later = now + seconds(12);
  REQUIRE(platform.ListVms(later, seconds(5))->size() == 1);
  CHECK_FALSE(platform.ListVms(later, seconds(5))->front().leaving);
  CHECK(platform.ListVms(later, seconds(2))->front().leaving);
}

TEST_CASE("ServiceModel: counts the runs of each key", "[standin]") {
  ServiceModel service;
  service.Run({.key = "k", .method = "POST", .path = "/hires"});
  CHECK(service.repeated_runs() == 0);
  service.Run({.key = "k", .method = "POST", .path = "/hires"});
  service.Run({.key = "", .method = "GET", .path = "/stock"});
  service.Run({.key = "", .method = "GET", .path = "/stock"});
  CHECK(service.repeated_runs() == 1);
  CHECK(service.ledger().at("k") == 2);
  CHECK(ServiceKey(R"({"key":"b"})", "h") == "b");
  CHECK(ServiceKey("not json", "h") == "h");
}

TEST_CASE("StandinFaults: are updated by key, and unchanged on an error",
          "[standin]") {
  StandinFaults faults;
  REQUIRE(ApplyFaultsJson(R"({"delay_ms":20,"leaving":true})", faults).ok());
  REQUIRE(ApplyFaultsJson(R"({"failing_permille":5})", faults).ok());
  CHECK(faults.delay == Duration(std::chrono::milliseconds(20)));
  CHECK(faults.leaving);
  CHECK(faults.failing == Permille(5));
  const StandinFaults before = faults;
  for (const char* text :
       {"", "[]", R"({"outage":1})", R"({"leaving":false,"dealy_ms":1})",
        R"({"failing_permille":1001})", R"({"slow_factor":0})"}) {
    INFO(text);
    CHECK(absl::IsInvalidArgument(ApplyFaultsJson(text, faults)));
    CHECK(faults == before);
  }
  StandinFaults copy;
  REQUIRE(ApplyFaultsJson(FaultsToJson(faults), copy).ok());
  CHECK(copy == faults);
}

}  // namespace
}  // namespace papaya
