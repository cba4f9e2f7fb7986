#include "include/rollout/version_judge.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <vector>

#include "include/base/random.h"
#include "src/rollout/evidence.h"

namespace papaya {
namespace {

TEST_CASE("Evidence: a ratio's expectation is at most 1 if odds are equal",
          "[rollout]") {
  // All ways in which k events fall on 4 new and 6 old requests.
  for (uint32_t k = 1; k < 10; ++k) {
    std::vector<double> weights(5, 0.0);
    const auto choose = [](uint32_t n, uint32_t r) {
      double value = r <= n ? 1.0 : 0.0;
      for (uint32_t i = 0; r <= n && i < r; ++i) {
        value = value * (n - i) / (i + 1);
      }
      return value;
    };
    double expectation = 0.0;
    for (uint32_t x = 0; x <= 4 && x <= k; ++x) {
      const double chance = choose(4, x) * choose(6, k - x) / choose(10, k);
      if (chance > 0.0) {
        expectation += chance * std::exp(LogLikelihoodRatios(
                                    {x, 4, k - x, 6}, Quantity::kFailure,
                                    Suspect::kVersion)[0]);
      }
    }
    CHECK(expectation <= 1.0 + 1e-9);
  }
}

TEST_CASE(
    "VersionJudge: failures are seen where no old replica is of the "
    "generation",
    "[rollout]") {
  FleetConfig config;
  config.shares = {{PoolId("p"), VersionId("v1"), Permille(500), {}},
                   {PoolId("p"), VersionId("v2"), Permille(500), NoteId("n")}};
  for (const char* const id : {"a", "b"}) {
    UpstreamSpec upstream;
    upstream.id = UpstreamId(id);
    upstream.pool = PoolId("p");
    upstream.version = VersionId(id[0] == 'a' ? "v1" : "v2");
    upstream.generation = GenerationId(id[0] == 'a' ? "g1" : "g2");
    config.upstreams.push_back(upstream);
  }
  VersionStats stats(RouterId("r"), Incarnation(1));
  stats.OnConfig(config);
  std::vector<StopFact> found;
  VersionJudge judge({},
                     [&found](const StopFact& fact) { found.push_back(fact); });
  judge.OnConfig(config);
  Random random(11);
  TimePoint now;
  for (int i = 0; i < 400 && found.empty(); ++i) {
    const bool is_new = random.Chance(0.5);
    stats.OnReply(PoolId("p"), VersionId(is_new ? "v2" : "v1"), RouteId("r"),
                  UpstreamId(is_new ? "b" : "a"), is_new && random.Chance(0.5),
                  std::chrono::milliseconds(50));
    judge.OnReport(stats.MakeReport());
    now += std::chrono::milliseconds(200);
    judge.OnTick(now);
  }
  REQUIRE_FALSE(found.empty());
  CHECK(found.front().version == VersionId("v2"));
  CHECK(found.front().cause == StopCause::kFailures);
}

TEST_CASE("StatsReport: doubles and reordering change nothing", "[rollout]") {
  FleetConfig config;
  config.shares = {{PoolId("p"), VersionId("v1"), Permille(500), {}},
                   {PoolId("p"), VersionId("v2"), Permille(500), NoteId("n")}};
  for (const char* const id : {"a", "b"}) {
    UpstreamSpec upstream;
    upstream.id = UpstreamId(id);
    upstream.pool = PoolId("p");
    upstream.version = VersionId(id[0] == 'a' ? "v1" : "v2");
    config.upstreams.push_back(upstream);
  }
  VersionStats stats(RouterId("r"), Incarnation(1));
  stats.OnConfig(config);
  VersionJudge once({}, [](const StopFact&) {});
  VersionJudge often({}, [](const StopFact&) {});
  once.OnConfig(config);
  often.OnConfig(config);
  Random random(7);
  std::vector<StatsReport> reports;
  for (int i = 0; i < 200; ++i) {
    const bool is_new = random.Chance(0.5);
    stats.OnReply(PoolId("p"), VersionId(is_new ? "v2" : "v1"), RouteId("r"),
                  UpstreamId(is_new ? "b" : "a"), random.Chance(0.1),
                  std::chrono::milliseconds(100 + random.Below(300)));
    reports.push_back(stats.MakeReport());
  }
  for (size_t i = 0; i < reports.size(); ++i) {
    once.OnReport(reports[i]);
    often.OnReport(reports[i]);
    often.OnReport(reports[random.Below(i + 1)]);
  }
  const TimePoint now(std::chrono::hours(1));
  once.OnTick(now);
  often.OnTick(now);
  REQUIRE(once.Evidence().size() == 1);
  CHECK(once.Evidence()[0].requests > 50);
  CHECK(once.Evidence()[0].requests == often.Evidence()[0].requests);
  CHECK(once.Evidence()[0].log_evidence == often.Evidence()[0].log_evidence);
}

}  // namespace
}  // namespace papaya
