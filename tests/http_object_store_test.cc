#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "include/base/error.h"
#include "include/standin/standin_server.h"
#include "include/wire/http_client.h"
#include "include/wire/http_object_store.h"
#include "include/wire/steady_time.h"

#include <boost/asio/co_spawn.hpp>

namespace papaya {
namespace {

namespace asio = boost::asio;

// A stand-in platform and a store that calls it, on one context.
class StoreFixture {
 public:
  explicit StoreFixture(const StandinOptions& platform = PlatformStandin(),
                        HttpObjectStoreOptions options = {})
      : platform_(&context_, platform) {
    REQUIRE(platform_.Start().ok());
    options.address = platform_.address();
    store_ =
        std::make_unique<HttpObjectStore>(context_.get_executor(), options);
  }

  static StandinOptions PlatformStandin() {
    StandinOptions options;
    options.role = StandinRole::kPlatform;
    return options;
  }

  // Runs the context until `result` is there.
  template <typename T>
  T Await(const std::optional<T>& result) {
    while (!result) {
      context_.run_one();
    }
    return *result;
  }

  absl::StatusOr<StoredObject> Get(const std::string& key) {
    std::optional<absl::StatusOr<StoredObject>> result;
    store_->Get(key, [&](absl::StatusOr<StoredObject> object) {
      REQUIRE_FALSE(result.has_value());
      result = std::move(object);
    });
    return Await(result);
  }

  absl::StatusOr<ObjectVersion> Put(const std::string& key,
                                    ObjectVersion expected,
                                    std::optional<std::string> value,
                                    const std::string& operation = "r#1 a&b") {
    std::optional<absl::StatusOr<ObjectVersion>> result;
    store_->Put({.key = key,
                 .expected = expected,
                 .operation = OperationId(operation),
                 .value = std::move(value)},
                [&](absl::StatusOr<ObjectVersion> version) {
                  REQUIRE_FALSE(result.has_value());
                  result = std::move(version);
                });
    return Await(result);
  }

  void SetFaults(const std::string& faults) {
    std::optional<int> status;
    HttpRequest request;
    request.method = "POST";
    request.target = "/faults";
    request.body = faults;
    asio::co_spawn(context_,
                   FetchHttp(platform_.address(), request,
                             SteadyNow() + std::chrono::seconds(5)),
                   [&](const std::exception_ptr&,
                       const absl::StatusOr<HttpResponse>& response) {
                     status = response.ok() ? response->status : 0;
                   });
    REQUIRE(Await(status) == 200);
  }

  HttpObjectStore& store() { return *store_; }
  std::string address() const { return platform_.address(); }

 private:
  asio::io_context context_;
  StandinServer platform_;
  std::unique_ptr<HttpObjectStore> store_;
};

TEST_CASE("HttpObjectStore: writes, reads, lists and removes", "[wire]") {
  StoreFixture fixture;
  CHECK(absl::IsNotFound(fixture.Get("p/a#1").status()));
  const absl::StatusOr<ObjectVersion> version =
      fixture.Put("p/a#1", ObjectVersion(), "line\n\"x\" \xc3\xa9");
  REQUIRE(version.ok());
  const absl::StatusOr<StoredObject> object = fixture.Get("p/a#1");
  REQUIRE(object.ok());
  CHECK(object->key == "p/a#1");
  CHECK(object->version == *version);
  CHECK(object->operation == OperationId("r#1 a&b"));
  CHECK(object->value == "line\n\"x\" \xc3\xa9");
  REQUIRE(fixture.Put("p/b", ObjectVersion(), "b").ok());
  REQUIRE(fixture.Put("q", ObjectVersion(), "q").ok());
  std::optional<absl::StatusOr<std::vector<StoredObject>>> listed;
  fixture.store().List("p/", [&](absl::StatusOr<std::vector<StoredObject>> l) {
    listed = std::move(l);
  });
  CHECK(fixture.Await(listed)->size() == 2);
  REQUIRE(fixture.Put("p/a#1", *version, std::nullopt).ok());
  CHECK(absl::IsNotFound(fixture.Get("p/a#1").status()));
}

TEST_CASE("HttpObjectStore: a write at another version has no effect",
          "[wire]") {
  StoreFixture fixture;
  REQUIRE(fixture.Put("a", ObjectVersion(), "one").ok());
  const absl::Status refused =
      fixture.Put("a", ObjectVersion(), "two").status();
  CHECK(absl::IsAborted(refused));
  CHECK(GetErrorOrigin(refused).step == "store.put");
  CHECK(GetErrorOrigin(refused).peer == fixture.address());
  CHECK(fixture.Get("a")->value == "one");
}

TEST_CASE("HttpObjectStore: a lost answer can be read back by its operation",
          "[wire]") {
  StoreFixture fixture;
  fixture.SetFaults(R"({"lost_answers_permille":1000})");
  CHECK(absl::IsUnavailable(
      fixture.Put("a", ObjectVersion(), "one", "op-7").status()));
  const absl::StatusOr<StoredObject> object = fixture.Get("a");
  REQUIRE(object.ok());
  CHECK(object->operation == OperationId("op-7"));
  CHECK(fixture.store().write_counts().failed == 1);
}

TEST_CASE("HttpObjectStore: an outage fails each call and passes", "[wire]") {
  StoreFixture fixture;
  REQUIRE(fixture.Put("a", ObjectVersion(), "one").ok());
  fixture.SetFaults(R"({"outage":true})");
  CHECK(absl::IsUnavailable(fixture.Get("a").status()));
  CHECK(absl::IsUnavailable(fixture.Put("b", ObjectVersion(), "x").status()));
  fixture.SetFaults(R"({"outage":false})");
  CHECK(fixture.Get("a").ok());
  CHECK(absl::IsNotFound(fixture.Get("b").status()));
}

TEST_CASE("HttpObjectStore: nobody there is unavailable, not silence",
          "[wire]") {
  asio::io_context context;
  HttpObjectStoreOptions options;
  options.address = "127.0.0.1:1";
  HttpObjectStore store(context.get_executor(), options);
  std::optional<absl::Status> status;
  store.Get("a", [&](const absl::StatusOr<StoredObject>& object) {
    status = object.status();
  });
  CHECK_FALSE(status.has_value());
  context.run();
  REQUIRE(status.has_value());
  CHECK(absl::IsUnavailable(*status));
}

TEST_CASE("HttpObjectStore: a platform that hangs is given up in time",
          "[wire]") {
  HttpObjectStoreOptions options;
  options.call_timeout = std::chrono::milliseconds(50);
  StoreFixture fixture(StoreFixture::PlatformStandin(), options);
  fixture.SetFaults(R"({"hanging_permille":1000})");
  CHECK(absl::IsDeadlineExceeded(fixture.Get("a").status()));
}

TEST_CASE(
    "HttpObjectStore: calls over the platform's rate or our own budget "
    "are refused without effect",
    "[wire]") {
  StandinOptions platform = StoreFixture::PlatformStandin();
  platform.platform.writes_per_second = 1;
  HttpObjectStoreOptions options;
  options.reads = {.per_second = 0.001, .burst = 2};
  StoreFixture fixture(platform, options);
  REQUIRE(fixture.Put("a", ObjectVersion(), "x").ok());
  CHECK(absl::IsResourceExhausted(
      fixture.Put("b", ObjectVersion(), "x").status()));
  CHECK(absl::IsNotFound(fixture.Get("b").status()));
  CHECK(fixture.Get("a").ok());
  CHECK(absl::IsResourceExhausted(fixture.Get("a").status()));
  CHECK(fixture.store().read_counts().sent == 2);
  CHECK(fixture.store().read_counts().refused == 1);
}

TEST_CASE("HttpObjectStore: a watch wakes on the next version", "[wire]") {
  StoreFixture fixture;
  const absl::StatusOr<ObjectVersion> first =
      fixture.Put("a", ObjectVersion(), "one");
  REQUIRE(first.ok());
  std::optional<absl::StatusOr<StoredObject>> seen;
  fixture.store().Watch("a", *first, [&](absl::StatusOr<StoredObject> object) {
    REQUIRE_FALSE(seen.has_value());
    seen = std::move(object);
  });
  // Another key's write does not wake it.
  REQUIRE(fixture.Put("b", ObjectVersion(), "x").ok());
  CHECK_FALSE(seen.has_value());
  const absl::StatusOr<ObjectVersion> second = fixture.Put("a", *first, "two");
  REQUIRE(second.ok());
  REQUIRE(fixture.Await(seen).ok());
  CHECK((*seen)->value == "two");
  CHECK((*seen)->version == *second);
}

TEST_CASE("HttpObjectStore: a watch that saw no change says so", "[wire]") {
  StandinOptions platform = StoreFixture::PlatformStandin();
  platform.platform.max_watch = std::chrono::milliseconds(20);
  platform.vms = {VmId("vm-1")};
  StoreFixture fixture(platform);
  std::optional<absl::StatusOr<StoredObject>> seen;
  fixture.store().Watch(
      "a", ObjectVersion(),
      [&](absl::StatusOr<StoredObject> object) { seen = std::move(object); });
  CHECK(absl::IsDeadlineExceeded(fixture.Await(seen).status()));
  std::optional<absl::StatusOr<std::vector<PlatformVm>>> vms;
  fixture.store().ListVms([&](absl::StatusOr<std::vector<PlatformVm>> listed) {
    vms = std::move(listed);
  });
  const std::vector<PlatformVm> expected = {{VmId("vm-1"), false}};
  CHECK(*fixture.Await(vms) == expected);
}

}  // namespace
}  // namespace papaya
