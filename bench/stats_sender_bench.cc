// Measures what the judges of a pool receive and how soon they find a bad
// version, for fleets of different numbers of routers.

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "bench/measure.h"
#include "bench/seed_runner.h"
#include "include/base/random.h"
#include "include/rollout/stats_sender.h"
#include "include/rollout/version_judge.h"
#include "include/wire/peer_codec.h"

namespace papaya::bench {

namespace {

constexpr int kSeeds = 2;
constexpr size_t kRoutes = 6;
constexpr size_t kGenerations = 4;
constexpr double kBaseFailureRate = 0.005;
constexpr double kAddedFailureRate = 0.05;
constexpr double kMessageLoss = 0.01;
constexpr Duration kTick = std::chrono::milliseconds(100);
constexpr Duration kMaxRunTime = std::chrono::minutes(4);
// The limit on all control traffic of one router.
constexpr double kControlBytesPerSecond = 15360.0;

// A fleet of one size, with the planned load per router.
struct JudgedFleet {
  size_t routers = 0;
  size_t pools = 0;
  size_t replicas_per_pool = 0;
  // Requests per second of one router to all pools together.
  double rate = 10.5;
  double new_share = 0.02;
};

struct JudgedRouter {
  RouterId id;
  std::unique_ptr<VersionStats> stats;
  std::unique_ptr<VersionJudge> judge;
  std::unique_ptr<StatsSender> sender;
  double received_bytes = 0.0;
  double sent_bytes = 0.0;
};

PoolId PoolAt(size_t index) {
  return PoolId(absl::StrCat("model-", index));
}

// Returns a configuration in which every pool is in the first stage of its own
// note.
FleetConfig FirstStageConfig(const JudgedFleet& fleet) {
  FleetConfig config;
  config.revision = Revision(1);
  for (size_t pool = 0; pool < fleet.pools; ++pool) {
    const NoteId note(absl::StrCat("note-", pool));
    const auto new_replicas = static_cast<size_t>(std::max(
        1.0, fleet.new_share * static_cast<double>(fleet.replicas_per_pool)));
    for (size_t i = 0; i < fleet.replicas_per_pool; ++i) {
      UpstreamSpec upstream;
      upstream.id = UpstreamId(absl::StrCat("vm-", pool, "-", 1000 + i));
      upstream.pool = PoolAt(pool);
      upstream.version = VersionId(i < new_replicas ? "v2" : "v1");
      upstream.generation =
          GenerationId(absl::StrCat("gen-", i % kGenerations));
      config.upstreams.push_back(std::move(upstream));
    }
    config.shares.push_back({PoolAt(pool), VersionId("v1"), Permille(980), {}});
    config.shares.push_back(
        {PoolAt(pool), VersionId("v2"), Permille(20), note});
  }
  return config;
}

// Simulates, in virtual time, routers that count replies, report the counts to
// the judges and judge. The new version of the first pool is bad, those of the
// other pools are good.
class JudgeSimulation {
 public:
  JudgeSimulation(const JudgedFleet& fleet, uint64_t seed)
      : fleet_(fleet), random_(seed), config_(FirstStageConfig(fleet)) {
    for (const UpstreamSpec& upstream : config_.upstreams) {
      replicas_[{upstream.pool, upstream.version}].push_back(upstream.id);
    }
    for (size_t i = 0; i < fleet.routers; ++i) {
      ids_.push_back(RouterId(absl::StrCat("router-", i)));
    }
    for (size_t i = 0; i < fleet.routers; ++i) {
      AddRouter(i);
    }
    for (size_t pool = 0; pool < fleet.pools; ++pool) {
      for (const RouterId& judge : JudgesOf(PoolAt(pool), ids_)) {
        judges_.insert(index_.at(judge));
      }
    }
  }

  // Runs until a router finds the bad version or kMaxRunTime has passed, and
  // returns the seconds that this took.
  double RunUntilFound() {
    while (!found_ && now_ - start_ < kMaxRunTime) {
      now_ += kTick;
      Deliver();
      for (JudgedRouter& router : routers_) {
        Serve(&router);
        router.sender->OnTick(now_, ids_);
      }
      for (const size_t judge : judges_) {
        routers_[judge].judge->OnTick(now_);
      }
    }
    return Elapsed();
  }

  double Elapsed() const { return ToSeconds(now_ - start_); }
  bool found() const { return found_; }
  double wrong_stops() const { return wrong_stops_; }
  double bad_share() const {
    return static_cast<double>(bad_requests_) / static_cast<double>(requests_);
  }

  // The bytes per second of the router that receives, or sends, most.
  double WorstReceived() const { return Worst(&JudgedRouter::received_bytes); }
  double WorstSent() const { return Worst(&JudgedRouter::sent_bytes); }

 private:
  struct InFlight {
    size_t to = 0;
    StatsReport report;
  };

  void AddRouter(size_t index) {
    JudgedRouter& router = routers_.emplace_back();
    router.id = ids_[index];
    index_[router.id] = index;
    router.stats = std::make_unique<VersionStats>(router.id, Incarnation(1));
    router.stats->OnConfig(config_);
    router.judge = std::make_unique<VersionJudge>(
        VersionJudgeOptions(), [this](const StopFact& fact) { OnStop(fact); });
    router.judge->OnConfig(config_);
    router.sender = std::make_unique<StatsSender>(
        router.id, router.stats.get(),
        [this, index](const RouterId& judge, const StatsReport& report) {
          OnSend(index, judge, report);
        });
  }

  void OnStop(const StopFact& fact) {
    const bool is_bad = fact.pool == PoolAt(0);
    found_ |= is_bad;
    wrong_stops_ += is_bad ? 0.0 : 1.0;
  }

  void OnSend(size_t from, const RouterId& judge, const StatsReport& report) {
    const size_t to = index_.at(judge);
    if (to == from) {
      routers_[to].judge->OnReport(report);
      return;
    }
    const auto bytes = static_cast<double>(EncodePeerMessage(report).size());
    routers_[from].sent_bytes += bytes;
    routers_[to].received_bytes += bytes;
    if (!random_.Chance(kMessageLoss)) {
      in_flight_.push_back({to, report});
    }
  }

  void Deliver() {
    for (const InFlight& message : in_flight_) {
      routers_[message.to].judge->OnReport(message.report);
    }
    in_flight_.clear();
  }

  void Serve(JudgedRouter* router) {
    double due = fleet_.rate * ToSeconds(kTick);
    while (random_.Chance(due)) {
      due /= 2.0;
      ServeOne(router);
    }
  }

  void ServeOne(JudgedRouter* router) {
    const size_t pool = random_.Below(fleet_.pools);
    const bool is_new = random_.Chance(fleet_.new_share);
    const VersionId version(is_new ? "v2" : "v1");
    const std::vector<UpstreamId>& replicas =
        replicas_.at({PoolAt(pool), version});
    const bool is_bad = is_new && pool == 0;
    ++requests_;
    bad_requests_ += is_bad ? 1 : 0;
    const double failures =
        kBaseFailureRate + (is_bad ? kAddedFailureRate : 0.0);
    router->stats->OnReply(
        PoolAt(pool), version,
        RouteId(absl::StrCat("route-", random_.Below(kRoutes))),
        replicas[random_.Below(replicas.size())], random_.Chance(failures),
        SecondsToDuration(random_.LogNormal(0.8, 0.4)));
  }

  double Worst(double JudgedRouter::*bytes) const {
    double worst = 0.0;
    for (const JudgedRouter& router : routers_) {
      worst = std::max(worst, router.*bytes);
    }
    return worst / Elapsed();
  }

  const JudgedFleet fleet_;
  Random random_;
  const FleetConfig config_;
  const TimePoint start_ = TimePoint(std::chrono::hours(1));
  TimePoint now_ = start_;
  std::map<std::pair<PoolId, VersionId>, std::vector<UpstreamId>> replicas_;
  std::vector<RouterId> ids_;
  std::map<RouterId, size_t> index_;
  // The indices of the judging routers; only these receive enough counts to
  // find a bad version.
  std::set<size_t> judges_;
  std::deque<JudgedRouter> routers_;
  std::vector<InFlight> in_flight_;
  bool found_ = false;
  double wrong_stops_ = 0.0;
  int64_t requests_ = 0;
  int64_t bad_requests_ = 0;
};

std::vector<Measurement> RunFleet(const JudgedFleet& fleet) {
  const std::vector<std::vector<double>> runs =
      RunSeeds(kSeeds, [&fleet](uint64_t seed) {
        JudgeSimulation run(fleet, seed);
        const double seconds = run.RunUntilFound();
        return std::vector<double>{seconds, run.WorstReceived(),
                                   run.WorstSent(), run.wrong_stops(),
                                   run.bad_share()};
      });
  std::vector<double> worst(runs.front().size(), 0.0);
  for (const std::vector<double>& run : runs) {
    for (size_t i = 0; i < run.size(); ++i) {
      worst[i] = std::max(worst[i], run[i]);
    }
  }
  const std::string at =
      absl::StrCat("[", fleet.routers, ",pools=", fleet.pools, "]");
  const auto bounded = [&at](const std::string& name, double value) {
    return Measurement{.name = name + at,
                       .value = value,
                       .unit = "B/s",
                       .target = kControlBytesPerSecond,
                       .better = Better::kLower,
                       .seeds = kSeeds};
  };
  return {
      {.name = "capacity.judge_found_worst" + at,
       .value = worst[0],
       .unit = "s",
       .seeds = kSeeds},
      bounded("capacity.judge_received", worst[1]),
      bounded("capacity.judge_sent", worst[2]),
      {.name = "capacity.judge_wrong_stops" + at,
       .value = worst[3],
       .unit = "stops",
       .seeds = kSeeds},
      {.name = "capacity.judge_bad_share" + at,
       .value = worst[4],
       .unit = "share",
       .seeds = kSeeds},
  };
}

// The capacity plan has 8 models and 3,600 replicas behind 390 routers. Smaller
// fleets have proportionally fewer replicas.
std::vector<Measurement> RunJudges(size_t routers, size_t pools) {
  constexpr size_t kPlanReplicas = 450;
  constexpr size_t kPlanRouters = 390;
  const size_t replicas =
      std::max<size_t>(12, kPlanReplicas * routers / kPlanRouters);
  return RunFleet(
      {.routers = routers, .pools = pools, .replicas_per_pool = replicas});
}

const bool kRegistered[] = {
    RegisterMeasure({"capacity.judge_at_7", [] { return RunJudges(7, 1); }}),
    RegisterMeasure({"capacity.judge_at_50", [] { return RunJudges(50, 1); }}),
    RegisterMeasure(
        {"capacity.judge_at_150", [] { return RunJudges(150, 1); }}),
    RegisterMeasure(
        {"capacity.judge_at_390", [] { return RunJudges(390, 1); }}),
    RegisterMeasure(
        {"capacity.judges_at_390", [] { return RunJudges(390, 8); }}),
};

}  // namespace

}  // namespace papaya::bench
