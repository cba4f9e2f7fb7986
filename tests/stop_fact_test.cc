#include "include/rollout/stop_fact.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "include/base/random.h"

namespace papaya {
namespace {

constexpr size_t kPools = 2;
constexpr size_t kReplicas = 4;

PoolId PoolAt(size_t i) {
  return PoolId(absl::StrCat("pool-", i));
}

NoteId NoteOf(size_t pool) {
  return NoteId(absl::StrCat("note-", pool));
}

// Returns pools that each have a note in progress and upstreams of the versions
// v1 (old) and v2 (new).
FleetConfig FleetWithNotesInProgress(Random* random) {
  FleetConfig config;
  for (size_t pool = 0; pool < kPools; ++pool) {
    for (size_t i = 0; i < kReplicas; ++i) {
      UpstreamSpec upstream;
      upstream.id = UpstreamId(absl::StrCat("up-", pool, "-", i));
      upstream.pool = PoolAt(pool);
      upstream.version = VersionId(i < kReplicas / 2 ? "v1" : "v2");
      config.upstreams.push_back(upstream);
    }
    const int new_share = 1 + static_cast<int>(random->Below(999));
    config.shares.push_back(
        {PoolAt(pool), VersionId("v1"), Permille(1000 - new_share), {}});
    config.shares.push_back(
        {PoolAt(pool), VersionId("v2"), Permille(new_share), NoteOf(pool)});
  }
  return config;
}

// Returns facts about this fleet and about a pool that it does not have. May
// contain duplicates.
std::vector<StopFact> RandomFacts(Random* random) {
  std::vector<StopFact> facts;
  const size_t count = random->Below(8);
  for (size_t i = 0; i < count; ++i) {
    const size_t pool = random->Below(kPools + 1);
    StopFact fact;
    fact.note = NoteOf(random->Chance(0.8) ? pool : random->Below(kPools));
    fact.pool = PoolAt(pool);
    fact.version = VersionId(random->Chance(0.8) ? "v2" : "v1");
    if (random->Chance(0.7)) {
      fact.upstream =
          UpstreamId(absl::StrCat("up-", pool, "-", random->Below(kReplicas)));
    }
    fact.cause =
        random->Chance(0.5) ? StopCause::kFailures : StopCause::kLatency;
    facts.push_back(fact);
  }
  return facts;
}

StopSet MakeSet(const std::vector<StopFact>& facts) {
  StopSet set;
  for (const StopFact& fact : facts) {
    set.Add(fact);
  }
  return set;
}

std::set<UpstreamId> ReachableUpstreams(const FleetConfig& config) {
  std::set<UpstreamId> ids;
  for (const UpstreamSpec& upstream : config.upstreams) {
    for (const VersionShare& share : config.shares) {
      if (share.pool == upstream.pool && share.version == upstream.version &&
          share.share > Permille(0)) {
        ids.insert(upstream.id);
      }
    }
  }
  return ids;
}

TEST_CASE(
    "StopSet: the result of Apply depends on the facts, not on their order",
    "[rollout]") {
  rc::prop("any order, duplicates, applied twice", [](uint64_t seed) {
    Random random(seed);
    const FleetConfig config = FleetWithNotesInProgress(&random);
    std::vector<StopFact> facts = RandomFacts(&random);
    const FleetConfig applied = MakeSet(facts).Apply(config);
    for (size_t i = facts.size(); i > 1; --i) {
      std::swap(facts[i - 1], facts[random.Below(i)]);
    }
    if (!facts.empty()) {
      facts.push_back(facts[random.Below(facts.size())]);
    }
    const StopSet shuffled = MakeSet(facts);
    RC_ASSERT(shuffled.Apply(config) == applied);
    RC_ASSERT(shuffled.Apply(applied) == applied);
  });
}

TEST_CASE("StopSet: adding facts never makes an upstream reachable again",
          "[rollout]") {
  rc::prop("fewer reachable, shares add up", [](uint64_t seed) {
    Random random(seed);
    const FleetConfig config = FleetWithNotesInProgress(&random);
    StopSet set;
    std::set<UpstreamId> reachable = ReachableUpstreams(config);
    for (const StopFact& fact : RandomFacts(&random)) {
      set.Add(fact);
      const FleetConfig applied = set.Apply(config);
      const std::set<UpstreamId> now = ReachableUpstreams(applied);
      RC_ASSERT(std::includes(reachable.begin(), reachable.end(), now.begin(),
                              now.end()));
      reachable = now;
      for (size_t pool = 0; pool < kPools; ++pool) {
        int sum = 0;
        for (const VersionShare& share : applied.shares) {
          sum += share.pool == PoolAt(pool) ? share.share.value() : 0;
        }
        RC_ASSERT(sum == 1000);
        // A note never stops the old version, only the one it
        // introduces.
        RC_ASSERT(now.contains(UpstreamId(absl::StrCat("up-", pool, "-0"))));
      }
    }
  });
}

TEST_CASE("StopSet: a stopped version and a stopped replica get no requests",
          "[rollout]") {
  Random random(5);
  const FleetConfig config = FleetWithNotesInProgress(&random);
  const StopFact replica = {NoteOf(0),           PoolAt(0),
                            VersionId("v2"),     UpstreamId("up-0-2"),
                            StopCause::kLatency, {}};
  const StopFact version = {NoteOf(1), PoolAt(1), VersionId("v2"), {}, {}, {}};
  const std::set<UpstreamId> left =
      ReachableUpstreams(MakeSet({replica, version}).Apply(config));
  CHECK(left == std::set<UpstreamId>{UpstreamId("up-0-0"), UpstreamId("up-0-1"),
                                     UpstreamId("up-0-3"), UpstreamId("up-1-0"),
                                     UpstreamId("up-1-1")});
}

TEST_CASE("StopSet: facts of another note change nothing", "[rollout]") {
  Random random(6);
  const FleetConfig config = FleetWithNotesInProgress(&random);
  const StopFact fact = {
      NoteId("other"), PoolAt(0), VersionId("v2"), {}, {}, {}};
  CHECK(MakeSet({fact}).Apply(config) == config);
}

}  // namespace
}  // namespace papaya
