#include "include/gateway/upstream_directory.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "include/base/error.h"

namespace papaya {
namespace {

using std::chrono::milliseconds;

// A directory whose objects have their address as the spec; "?" is invalid.
class Fixture {
 public:
  Fixture()
      : directory({.decode = &Decode,
                   .changed = [this] { ++changes; },
                   .event = [](const Event&) {}}) {}

  static absl::StatusOr<UpstreamRecord> Decode(const PlatformObject& object) {
    if (!object.spec.is_string() || object.spec.as_string() == "?") {
      return MakeError(absl::StatusCode::kInvalidArgument,
                       {.step = "test.decode", .peer = object.name}, "no");
    }
    UpstreamRecord record;
    record.id =
        UpstreamId(object.name + "#" + std::to_string(object.version.value()));
    record.instance = object.name;
    record.address = std::string(object.spec.as_string());
    return record;
  }

  static PlatformObject Make(const std::string& name,
                             const std::string& address,
                             uint64_t version = 1) {
    PlatformObject object;
    object.name = name;
    object.version = ObjectVersion(version);
    object.spec = boost::json::string(address);
    return object;
  }

  std::vector<std::string> Names() const {
    std::vector<std::string> names;
    for (const UpstreamRecord& record : directory.Records()) {
      names.push_back(record.instance);
    }
    return names;
  }

  TimePoint now{std::chrono::seconds(100)};
  UpstreamDirectory directory;
  int changes = 0;
};

using Names = std::vector<std::string>;

TEST_CASE("UpstreamDirectory: removes upstreams missing from a list at once",
          "[gateway]") {
  Fixture f;
  f.directory.Replace({Fixture::Make("a", "1"), Fixture::Make("b", "2")},
                      f.now);
  CHECK(f.Names() == Names{"a", "b"});
  f.directory.Replace({Fixture::Make("b", "2")}, f.now);
  CHECK(f.Names() == Names{"b"});
}

TEST_CASE(
    "UpstreamDirectory: keeps missing upstreams for a grace period after an "
    "outage",
    "[gateway]") {
  Fixture f;
  f.directory.Replace({Fixture::Make("a", "1"), Fixture::Make("b", "2")},
                      f.now);
  f.directory.OnStoreRecovered(f.now);
  f.directory.Replace({}, f.now);
  CHECK(f.Names() == Names{"a", "b"});
  f.now += milliseconds(1500);
  f.directory.Apply(Fixture::Make("a", "1"), f.now);
  f.directory.OnTick(f.now);
  f.now += UpstreamDirectory::kReregistrationGrace;
  f.directory.OnTick(f.now);
  CHECK(f.Names() == Names{"a"});
}

TEST_CASE(
    "UpstreamDirectory: ignores an invalid entry without affecting "
    "others",
    "[gateway]") {
  Fixture f;
  f.directory.Replace({Fixture::Make("a", "1"), Fixture::Make("b", "?")},
                      f.now);
  CHECK(f.Names() == Names{"a"});
  f.directory.Apply(Fixture::Make("a", "?"), f.now);
  CHECK(f.Names().empty());
}

TEST_CASE("UpstreamDirectory: a restarted upstream has another id",
          "[gateway]") {
  Fixture f;
  f.directory.Apply(Fixture::Make("a", "1", 1), f.now);
  f.directory.Apply(Fixture::Make("a", "1", 2), f.now);
  CHECK(f.changes == 2);
  CHECK(f.directory.Records().front().id == UpstreamId("a#2"));
  f.directory.Apply(Fixture::Make("a", "1", 2), f.now);
  CHECK(f.changes == 2);
}

}  // namespace
}  // namespace papaya
