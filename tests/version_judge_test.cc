#include "include/rollout/version_judge.h"

#include <bit>
#include <catch2/catch.hpp>
#include <cmath>
#include <utility>
#include <vector>

#include "include/base/random.h"
#include "src/rollout/evidence.h"
#include "src/rollout/latency_ratio.h"

namespace papaya {
namespace {

// Returns a configuration with one pool: the replica `a` has the old version,
// `b` the new one, on hardware of the given generations.
FleetConfig ConfigWithNoteInProgress(const char* old_generation,
                                     const char* new_generation) {
  FleetConfig config;
  config.shares = {{PoolId("p"), VersionId("v1"), Permille(500), {}},
                   {PoolId("p"), VersionId("v2"), Permille(500), NoteId("n")}};
  UpstreamSpec upstream;
  upstream.id = UpstreamId("a");
  upstream.pool = PoolId("p");
  upstream.version = VersionId("v1");
  upstream.generation = GenerationId(old_generation);
  config.upstreams.push_back(upstream);
  upstream.id = UpstreamId("b");
  upstream.version = VersionId("v2");
  upstream.generation = GenerationId(new_generation);
  config.upstreams.push_back(upstream);
  return config;
}

TEST_CASE("LogLikelihoodRatios: the expected ratio is at most 1 for equal odds",
          "[rollout]") {
  // All distributions of k events over 4 new and 6 old requests.
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
                                    {x, 4, k - x, 6}, Metric::kFailure,
                                    Subject::kVersion)[0]);
      }
    }
    CHECK(expectation <= 1.0 + 1e-9);
  }
}

// Returns counts with `counts[i]` replies in the i-th of consecutive buckets.
StatsCounts MakeCounts(const std::vector<uint32_t>& counts) {
  constexpr size_t kFirstBucket = 6;
  StatsCounts made;
  for (size_t i = 0; i < counts.size(); ++i) {
    made.latency[kFirstBucket + i] = counts[i];
    made.requests += counts[i];
  }
  return made;
}

TEST_CASE("LatencyLogRatios: the expected ratio is below 1 if none is slower",
          "[rollout]") {
  const LatencyScores scores = RankScores(MakeCounts({10, 30, 40, 15, 5}));
  // All ways to choose the new version's replies out of ten.
  const std::vector<size_t> replies = {0, 0, 1, 1, 1, 2, 2, 3, 3, 4};
  for (const int chosen : {1, 4, 5, 8}) {
    double sum = 0.0;
    double ways = 0.0;
    for (uint32_t mask = 0; mask < (1u << replies.size()); ++mask) {
      if (std::popcount(mask) != chosen) {
        continue;
      }
      std::vector<uint32_t> candidate(5, 0);
      std::vector<uint32_t> old(5, 0);
      for (size_t i = 0; i < replies.size(); ++i) {
        ++((mask >> i & 1u) != 0 ? candidate : old)[replies[i]];
      }
      ways += 1.0;
      sum += std::exp(LatencyLogRatios(MakeCounts(candidate), MakeCounts(old),
                                       scores, {2, 7}, Subject::kVersion)[0]);
    }
    INFO(chosen);
    CHECK(sum / ways < 1.0);
    CHECK(sum / ways > 0.5);
  }
}

TEST_CASE("LatencyLogRatios: the expected saddlepoint ratio is below 1",
          "[rollout]") {
  constexpr int kSplits = 4000;
  constexpr size_t kChosen = 40;
  const std::vector<uint32_t> pooled = {14, 42, 56, 21, 7};
  const LatencyScores scores = RankScores(MakeCounts(pooled));
  std::vector<size_t> replies;
  for (size_t i = 0; i < pooled.size(); ++i) {
    replies.insert(replies.end(), pooled[i], i);
  }
  Random random(3);
  double sum = 0.0;
  for (int split = 0; split < kSplits; ++split) {
    std::vector<uint32_t> candidate(pooled.size(), 0);
    std::vector<uint32_t> old = pooled;
    for (size_t i = 0; i < kChosen; ++i) {
      std::swap(replies[i], replies[i + random.Below(replies.size() - i)]);
      ++candidate[replies[i]];
      --old[replies[i]];
    }
    sum += std::exp(LatencyLogRatios(MakeCounts(candidate), MakeCounts(old),
                                     scores, {2, 7}, Subject::kVersion)[0]);
  }
  CHECK(sum / kSplits < 1.0);
  CHECK(sum / kSplits > 0.5);
}

TEST_CASE(
    "VersionJudge: failures are found without an old replica of the "
    "generation",
    "[rollout]") {
  const FleetConfig config = ConfigWithNoteInProgress("g1", "g2");
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

TEST_CASE("StatsReport: duplicates and reordering do not change the evidence",
          "[rollout]") {
  const FleetConfig config = ConfigWithNoteInProgress("", "");
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
