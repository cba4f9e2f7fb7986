#include "include/config/config_delta.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "include/base/random.h"
#include "include/config/fleet_config_check.h"
#include "src/config/config_history.h"
#include "tests/fakes/sample_config.h"

namespace papaya {
namespace {

// `config` with upstreams changed, withdrawn and added at random.
FleetConfig ChangeAtRandom(const FleetConfig& config, Random* random) {
  FleetConfig next = MakeNextConfig(config, random->Below(4), random);
  std::erase_if(next.upstreams,
                [random](const UpstreamSpec&) { return random->Chance(0.2); });
  UpstreamSpec added = MakeSampleUpstream(100 + random->Below(100), random);
  const auto place = std::lower_bound(
      next.upstreams.begin(), next.upstreams.end(), added,
      [](const auto& a, const auto& b) { return a.id < b.id; });
  if (place == next.upstreams.end() || place->id != added.id) {
    next.upstreams.insert(place, added);
  }
  return next;
}

TEST_CASE("ConfigDelta: leads from its base to its result", "[config]") {
  rc::prop("applied to its base alone", [](uint64_t seed) {
    Random random(seed);
    const FleetConfig base = MakeSampleConfig(Revision(5), 20, &random);
    const FleetConfig result = ChangeAtRandom(base, &random);
    const ConfigDelta delta = DiffConfigs(base, result);
    const absl::StatusOr<FleetConfig> applied =
        ApplyDelta(base, HashConfig(base), delta);
    RC_ASSERT(applied.ok());
    RC_ASSERT(*applied == result);
    RC_ASSERT(CheckFleetConfig(*applied).empty());

    FleetConfig other = base;
    other.upstreams[0].slots += 1;
    RC_ASSERT(ApplyDelta(other, HashConfig(other), delta).status().code() ==
              absl::StatusCode::kFailedPrecondition);
  });
}

TEST_CASE("ConfigDelta: damage shows in the result", "[config]") {
  Random random(3);
  const FleetConfig base = MakeSampleConfig(Revision(5), 20, &random);
  const FleetConfig result = ChangeAtRandom(base, &random);
  ConfigDelta delta = DiffConfigs(base, result);
  REQUIRE_FALSE(delta.changed.empty());
  delta.changed[0].address = "10.9.9.9:1";
  CHECK(ApplyDelta(base, HashConfig(base), delta).status().code() ==
        absl::StatusCode::kDataLoss);
}

TEST_CASE("HashConfig: tells every field", "[config]") {
  Random random(4);
  const FleetConfig config = MakeSampleConfig(Revision(5), 3, &random);
  std::vector<FleetConfig> others(12, config);
  others[0].revision = Revision(6);
  others[1].note = NoteId("other");
  others[2].upstreams[1].id = UpstreamId("upstream-00001x");
  others[3].upstreams[1].vm = VmId("x");
  others[4].upstreams[1].address = "x:1";
  others[5].upstreams[1].zone = AvailabilityZoneId("x");
  others[6].upstreams[1].kind = UpstreamKind::kPlainService;
  others[7].upstreams[1].slots = 99;
  others[8].upstreams[1].refusal_means_not_run = true;
  others[9].upstreams[1].generation = GenerationId("x");
  others[10].upstreams.pop_back();
  others[11].shares[0].share = Permille(-1);
  for (const FleetConfig& other : others) {
    CHECK(HashConfig(other) != HashConfig(config));
  }
}

TEST_CASE("ConfigHistory: gives chains from known bases, within bounds",
          "[config]") {
  Random random(5);
  ConfigHistory history;
  std::vector<FleetConfig> configs = {
      MakeSampleConfig(Revision(1), 10, &random)};
  for (size_t i = 0; i < ConfigHistory::kMaxDeltas + 10; ++i) {
    configs.push_back(MakeNextConfig(configs.back(), 1, &random));
    history.Add(DiffConfigs(configs[i], configs[i + 1]));
  }
  CHECK(history.Find(Revision(1), HashConfig(configs[0])).empty());
  const FleetConfig& base = configs[configs.size() - 4];
  CHECK(history.Find(base.revision, HashConfig(base)).size() == 3);
  CHECK(history.Find(base.revision, HashConfig(base) + 1).empty());
  // A gap makes what was before useless.
  FleetConfig later = MakeNextConfig(configs.back(), 1, &random);
  history.Add(DiffConfigs(later, MakeNextConfig(later, 1, &random)));
  CHECK(history.Find(base.revision, HashConfig(base)).empty());
}

}  // namespace
}  // namespace papaya
