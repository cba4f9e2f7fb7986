#include "include/config/fleet_config_json.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "include/base/random.h"
#include "include/config/fleet_config.h"
#include "include/config/fleet_config_check.h"
#include "tests/fakes/sample_config.h"

namespace papaya {
namespace {

TEST_CASE("FleetConfigJson: a written configuration reads back", "[config]") {
  rc::prop("whole and unchanged", [](uint64_t seed) {
    Random random(seed);
    const FleetConfig config = MakeSampleConfig(
        Revision(1 + random.Below(1000)), random.Below(40), &random);
    const absl::StatusOr<FleetConfig> read =
        ParseFleetConfigJson(FleetConfigToJson(config));
    RC_ASSERT(read.ok());
    RC_ASSERT(*read == config);
  });
}

TEST_CASE("FleetConfigJson: the planned size fits one object", "[config]") {
  Random random(1);
  const FleetConfig config = MakeSampleConfig(Revision(1), 3600, &random);
  CHECK(FleetConfigToJson(config).size() < kMaxFleetConfigJsonBytes);
}

TEST_CASE("FleetConfigJson: names every fault", "[config]") {
  const absl::StatusOr<FleetConfig> read = ParseFleetConfigJson(
      R"({"format": 1, "revision": -3, "note": 5, "extra": 1,
          "groups": [{"kind": "engine", "upstreams": [["u1", "vm"]]}],
          "shares": [{"pool": "p", "version": "v", "permille": 2000}]})");
  REQUIRE(read.status().code() == absl::StatusCode::kInvalidArgument);
  const std::string message(read.status().message());
  for (const char* fault :
       {"config.extra: unknown key", "config.revision", "config.note",
        "groups[0].kind", "groups[0].pool: missing", "groups[0].upstreams[0]",
        "shares[0].permille"}) {
    CHECK_THAT(message, Catch::Contains(fault));
  }
}

TEST_CASE("FleetConfigJson: broken and oversized texts are refused",
          "[config]") {
  CHECK_FALSE(ParseFleetConfigJson("{").ok());
  CHECK_FALSE(ParseFleetConfigJson("[]").ok());
  CHECK_FALSE(
      ParseFleetConfigJson(std::string(kMaxFleetConfigJsonBytes + 1, ' '))
          .ok());
}

TEST_CASE("FleetConfigJson: any damage is read or refused, never fatal",
          "[config]") {
  rc::prop("one byte changed", [](uint64_t seed) {
    Random random(seed);
    const FleetConfig config = MakeSampleConfig(Revision(4), 5, &random);
    std::string text = FleetConfigToJson(config);
    text[random.Below(text.size())] = static_cast<char>(random.Below(256));
    const absl::StatusOr<FleetConfig> read = ParseFleetConfigJson(text);
    const bool is_sound = !read.ok() || CheckFleetConfig(*read).empty();
    RC_ASSERT(is_sound);
  });
}

TEST_CASE("CheckFleetConfig: finds what routers must not follow", "[config]") {
  Random random(7);
  const FleetConfig good = MakeSampleConfig(Revision(2), 6, &random);
  REQUIRE(CheckFleetConfig(good).empty());

  FleetConfig twice = good;
  twice.upstreams.push_back(twice.upstreams.back());
  CHECK(CheckFleetConfig(twice).size() == 1);

  FleetConfig unsorted = good;
  std::swap(unsorted.upstreams[0], unsorted.upstreams[1]);
  CHECK(CheckFleetConfig(unsorted).size() == 1);

  FleetConfig thin = good;
  thin.shares.front().share = Permille(1);
  CHECK(CheckFleetConfig(thin).size() == 1);

  FleetConfig none = good;
  none.revision = Revision(0);
  none.upstreams[0].slots = 0;
  none.upstreams[1].address = "nowhere";
  CHECK(CheckFleetConfig(none).size() == 3);
}

TEST_CASE("CheckFleetConfig: looks at every field of an upstream", "[config]") {
  Random random(8);
  const FleetConfig good = MakeSampleConfig(Revision(2), 1, &random);
  const std::string bad = "two words";
  std::vector<FleetConfig> faulty(9, good);
  faulty[0].upstreams[0].id = UpstreamId(bad);
  faulty[1].upstreams[0].vm = VmId(bad);
  faulty[2].upstreams[0].zone = AvailabilityZoneId(bad);
  faulty[3].upstreams[0].pool = PoolId(bad);
  faulty[4].upstreams[0].version = VersionId(bad);
  faulty[5].upstreams[0].generation = GenerationId(bad);
  faulty[6].upstreams[0].address = "two words:1";
  faulty[7].upstreams[0].address = "10.0.0.1";
  faulty[8].upstreams[0].slots = kMaxUpstreamSlots + 1;
  for (const FleetConfig& config : faulty) {
    CHECK(CheckFleetConfig(config).size() == 1);
  }
}

}  // namespace
}  // namespace papaya
