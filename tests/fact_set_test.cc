#include "include/config/fact_set.h"

#include <memory>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "include/base/random.h"
#include "include/config/fleet_config.h"
#include "tests/fakes/sample_config.h"

namespace papaya {
namespace {

using AddResult = FactSet::AddResult;

StoppedVersion MakeStop(uint64_t version, uint64_t revision) {
  return {.note = NoteId("n"),
          .pool = PoolId("pool-0"),
          .version = VersionId("v" + std::to_string(version)),
          .revision = Revision(revision),
          .reason = "failures"};
}

LeavingUpstream MakeLeaving(uint64_t upstream, uint64_t revision) {
  return {UpstreamId("u" + std::to_string(upstream)), Revision(revision)};
}

std::shared_ptr<const FleetConfig> MakeConfig(uint64_t revision,
                                              int32_t share_of_v2) {
  FleetConfig config;
  config.revision = Revision(revision);
  const PoolId pool("pool-0");
  config.shares = {{pool, VersionId("v1"), Permille(1000 - share_of_v2)},
                   {pool, VersionId("v2"), Permille(share_of_v2)}};
  return std::make_shared<const FleetConfig>(config);
}

TEST_CASE("FactSet: order and doubles of facts do not matter", "[config]") {
  rc::prop("equal facts, equal hash", [](uint64_t seed) {
    Random random(seed);
    FactSet first;
    FactSet second;
    std::vector<uint64_t> names;
    for (int i = 0; i < 30; ++i) {
      names.push_back(random.Below(20));
      first.Add(MakeStop(names.back(), 1));
      first.Add(MakeLeaving(names.back(), 1));
    }
    for (size_t i = 0; i < names.size(); ++i) {
      std::swap(names[i], names[i + random.Below(names.size() - i)]);
      second.Add(MakeLeaving(names[i], 1 + random.Below(3)));
      second.Add(MakeStop(names[i], 1 + random.Below(3)));
    }
    RC_ASSERT(first.hash() == second.hash());
    RC_ASSERT(first.leaving().size() == second.leaving().size());
  });
}

TEST_CASE("FactSet: drops only what a later configuration makes moot",
          "[config]") {
  FactSet facts;
  CHECK(facts.Add(MakeStop(2, 5)) == AddResult::kAdded);
  facts.OnConfig(MakeConfig(5, 0));
  CHECK(facts.IsStopped(PoolId("pool-0"), VersionId("v2")));
  // Later, but the version still has traffic.
  facts.OnConfig(MakeConfig(6, 100));
  CHECK(facts.IsStopped(PoolId("pool-0"), VersionId("v2")));
  facts.OnConfig(MakeConfig(7, 0));
  CHECK_FALSE(facts.IsStopped(PoolId("pool-0"), VersionId("v2")));
  CHECK(facts.hash() == 0);
  // A router that was cut off does not bring it back, even under a later note
  // that tries the version again.
  facts.OnConfig(MakeConfig(8, 100));
  CHECK(facts.Add(MakeStop(2, 5)) == AddResult::kMoot);
}

TEST_CASE("FactSet: an upstream leaves until it is withdrawn", "[config]") {
  Random random(1);
  FactSet facts;
  const FleetConfig with = MakeSampleConfig(Revision(2), 3, &random);
  const LeavingUpstream fact{with.upstreams[1].id, Revision(1)};
  facts.OnConfig(std::make_shared<const FleetConfig>(with));
  CHECK(facts.Add(fact) == AddResult::kAdded);
  CHECK(facts.IsLeaving(fact.id));
  FleetConfig without = MakeNextConfig(with, 0, &random);
  without.upstreams.erase(without.upstreams.begin() + 1);
  facts.OnConfig(std::make_shared<const FleetConfig>(without));
  CHECK_FALSE(facts.IsLeaving(fact.id));
  CHECK(facts.Add(fact) == AddResult::kMoot);
}

TEST_CASE("FactSet: is bounded", "[config]") {
  FactSet facts;
  for (size_t i = 0; i < FactSet::kMaxStoppedVersions; ++i) {
    REQUIRE(facts.Add(MakeStop(i, 1)) == AddResult::kAdded);
  }
  CHECK(facts.Add(MakeStop(100000, 1)) == AddResult::kFull);
  CHECK(facts.Add(MakeStop(1, 1)) == AddResult::kKnown);
  for (size_t i = 0; i < FactSet::kMaxLeavingUpstreams; ++i) {
    REQUIRE(facts.Add(MakeLeaving(i, 1)) == AddResult::kAdded);
  }
  CHECK(facts.Add(MakeLeaving(100000, 1)) == AddResult::kFull);
}

}  // namespace
}  // namespace papaya
