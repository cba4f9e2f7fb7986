#include "include/rollout/stats_sender.h"

#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "include/base/random.h"
#include "include/wire/peer_codec.h"

namespace papaya {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(100);

// Returns a configuration with one pool of `replicas`, half of them on a new
// version that a note introduces.
FleetConfig ConfigWithNoteInProgress(size_t replicas) {
  FleetConfig config;
  for (size_t i = 0; i < replicas; ++i) {
    UpstreamSpec upstream;
    upstream.id = UpstreamId(absl::StrCat("vm-", i));
    upstream.pool = PoolId("plans");
    upstream.version = VersionId(i % 2 == 0 ? "v1" : "v2");
    upstream.generation = GenerationId(absl::StrCat("gen-", i % 4));
    config.upstreams.push_back(upstream);
  }
  config.shares = {
      {PoolId("plans"), VersionId("v1"), Permille(500), {}},
      {PoolId("plans"), VersionId("v2"), Permille(500), NoteId("move")}};
  return config;
}

// Counts `requests` replies with random upstreams, routes and latencies.
void CountReplies(const FleetConfig& config,
                  int requests,
                  Random* random,
                  VersionStats* stats) {
  for (int i = 0; i < requests; ++i) {
    const UpstreamSpec& upstream =
        config.upstreams[random->Below(config.upstreams.size())];
    stats->OnReply(upstream.pool, upstream.version,
                   RouteId(absl::StrCat("route-", random->Below(6))),
                   upstream.id, random->Chance(0.02),
                   SecondsToDuration(random->LogNormal(0.8, 0.4)));
  }
}

TEST_CASE("StatsSender: a report's encoded size is estimated to within 10%",
          "[rollout]") {
  Random random(7);
  for (const int requests : {1, 10, 100, 5000}) {
    VersionStats stats(RouterId("router-1"), Incarnation(1));
    const FleetConfig config = ConfigWithNoteInProgress(40);
    stats.OnConfig(config);
    CountReplies(config, requests, &random, &stats);
    const StatsReport report = stats.MakeReport();
    const auto sent = static_cast<double>(EncodePeerMessage(report).size());
    CHECK(static_cast<double>(EstimateReportBytes(report)) ==
          Approx(sent).epsilon(0.1));
  }
}

TEST_CASE(
    "StatsSender: a judge of 390 routers receives at most its byte budget",
    "[rollout]") {
  constexpr size_t kRouters = 390;
  constexpr double kSeconds = 240.0;
  const FleetConfig config = ConfigWithNoteInProgress(450);
  std::vector<RouterId> ids;
  for (size_t i = 0; i < kRouters; ++i) {
    ids.emplace_back(absl::StrCat("router-", i));
  }
  std::map<RouterId, double> received;
  std::deque<VersionStats> stats;
  std::deque<StatsSender> senders;
  for (const RouterId& id : ids) {
    stats.emplace_back(id, Incarnation(1));
    stats.back().OnConfig(config);
    senders.emplace_back(
        id, &stats.back(),
        [&received, id](const RouterId& judge, const StatsReport& report) {
          const size_t bytes = EncodePeerMessage(report).size();
          received[judge] += judge == id ? 0.0 : static_cast<double>(bytes);
        });
  }
  Random random(3);
  TimePoint now;
  for (double second = 0.0; second < kSeconds; second += ToSeconds(kTick)) {
    now += kTick;
    for (size_t i = 0; i < kRouters; ++i) {
      CountReplies(config, random.Chance(0.13) ? 1 : 0, &random, &stats[i]);
      senders[i].OnTick(now, ids);
    }
  }
  size_t judges = 0;
  for (const auto& [judge, bytes] : received) {
    CHECK(bytes / kSeconds <= StatsSender::kJudgeBytesPerSecond);
    judges += bytes > 0.0 ? 1 : 0;
  }
  CHECK(judges == kJudgesPerPool);
}

TEST_CASE(
    "StatsSender: a router's own judge gets its counts if it judges no pool",
    "[rollout]") {
  const FleetConfig config = ConfigWithNoteInProgress(4);
  std::vector<RouterId> ids;
  ids.reserve(20);
  for (int i = 0; i < 20; ++i) {
    ids.emplace_back(absl::StrCat("router-", i));
  }
  const std::vector<RouterId> judges = JudgesOf(PoolId("plans"), ids);
  for (const RouterId& id : ids) {
    VersionStats stats(id, Incarnation(1));
    stats.OnConfig(config);
    Random random(5);
    CountReplies(config, 20, &random, &stats);
    std::map<RouterId, StatsReport> sent;
    StatsSender sender(
        id, &stats, [&sent](const RouterId& judge, const StatsReport& report) {
          sent[judge] = report;
        });
    TimePoint now;
    while (now < TimePoint(std::chrono::minutes(1))) {
      now += kTick;
      sender.OnTick(now, ids);
    }
    CHECK(sent.contains(id));
    for (const RouterId& judge : judges) {
      CHECK(sent.contains(judge));
    }
  }
}

}  // namespace
}  // namespace papaya
