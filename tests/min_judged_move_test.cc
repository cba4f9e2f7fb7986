#include <catch2/catch.hpp>

#include <string>

#include "include/config/fleet_config.h"
#include "include/rollout/release_note.h"

namespace papaya {
namespace {

TEST_CASE("CheckReleaseNote: the minimum duration of a judged move can be set",
          "[rollout]") {
  FleetConfig fleet;
  fleet.revision = Revision(1);
  for (const char* name : {"e1", "e2", "e3"}) {
    fleet.upstreams.push_back(
        {.id = UpstreamId(name),
         .vm = VmId(name),
         .address = std::string("10.0.0.") + name[1] + ":1",
         .zone = AvailabilityZoneId("a"),
         .pool = PoolId("plans"),
         .version = VersionId("v1"),
         .generation = GenerationId("g1"),
         .slots = 4});
  }
  const WallTime now = *ParseWallTime("2026-12-04T18:00:00Z");
  const std::string text =
      "[note]\ntraffic_by = 2026-12-04T18:05:00Z\n[pool plans]\nversion = v2\n";
  const std::vector<TextFault> faults = CheckReleaseNote(text, &fleet, now);
  REQUIRE(faults.size() == 1);
  CHECK(faults[0].message.find("at least 10 min") != std::string::npos);
  CHECK(CheckReleaseNote(text, &fleet, now, std::chrono::minutes(5)).empty());
  CHECK_FALSE(
      CheckReleaseNote(text, &fleet, now, std::chrono::minutes(6)).empty());
}

}  // namespace
}  // namespace papaya
