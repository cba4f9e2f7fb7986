#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "bench/measure.h"
#include "include/admission/demand_share.h"
#include "include/admission/scheduler.h"
#include "include/base/random.h"
#include "include/routing/routing_snapshot.h"
#include "include/wire/peer_codec.h"

namespace papaya::bench {
namespace {

constexpr int kZones = 12;
constexpr int kPools = 8;
constexpr int kSlots = 8;
// TCP and IP headers with timestamps, and the length of a frame, as the
// measures of membership count them.
constexpr size_t kHeaderBytes = 56;
// What a router may spend on control, and what the busiest one spends on
// membership: membership.control_bytes at 390 routers.
constexpr double kControlBytes = 15.0 * 1024;
constexpr double kMembershipBytes = 9051.0;

constexpr Duration kTick = std::chrono::milliseconds(20);
constexpr Duration kWarmUp = std::chrono::seconds(20);
constexpr int kWatchedSeconds = 60;
// Arrivals at a router at the planned size: 4,100 a second at 390 routers.
constexpr double kRequestsPerSecond = 10.5;
constexpr Duration kTimeLimit = std::chrono::seconds(10);
// Of a tier at one of the other routers.
constexpr uint64_t kMostWaiting = 8;

struct FleetSize {
  int routers;
  int upstreams;
};

constexpr FleetSize kSizes[] = {{7, 21}, {50, 460}, {150, 1385}, {390, 3600}};

// What a router has in hand.
enum class Load {
  kQuiet,      // nothing
  kBusy,       // requests running at all its upstreams, in all tiers
  kShort,      // twice what comes, all slots taken, and queues in all tiers
  kPressed,    // the same, and all requests are critical
  kContested,  // as kShort, and the other routers run lower tiers and are short
};

struct NamedLoad {
  Load load;
  const char* name;
};

constexpr NamedLoad kLoads[] = {{Load::kQuiet, "quiet"},
                                {Load::kBusy, "busy"},
                                {Load::kShort, "short"},
                                {Load::kPressed, "pressed"},
                                {Load::kContested, "contested"}};

AvailabilityZoneId ZoneOf(int index) {
  return AvailabilityZoneId(absl::StrCat("region-zone-", index % kZones));
}

RoutingInput MakeInput(const FleetSize& size) {
  auto config = std::make_shared<FleetConfig>();
  config->revision = Revision(1);
  for (int i = 0; i < size.upstreams; ++i) {
    config->upstreams.push_back(
        {.id = UpstreamId(absl::StrCat("engine-", 10000 + i)),
         .zone = ZoneOf(i),
         .pool = PoolId(absl::StrCat("model-", i / kZones % kPools)),
         .version = VersionId("v1"),
         .generation = GenerationId("g1"),
         .slots = kSlots});
  }
  RoutingInput input;
  input.config = config;
  for (int i = 0; i < size.routers; ++i) {
    input.routers.push_back(
        {.id = RouterId(absl::StrCat("router-", 1000 + i)), .zone = ZoneOf(i)});
  }
  input.self = input.routers.front();
  return input;
}

// A report of a router that is busy at every upstream it uses.
DemandReport MakeReport(const RoutingSnapshot& snapshot) {
  DemandReport report{.router = snapshot.self().id,
                      .incarnation = Incarnation(1764835200000000),
                      .sequence = 100000};
  for (const VersionGroup& group : snapshot.groups()) {
    GroupDemand demand{.group = group.name};
    for (TierDemand& tier : demand.tiers) {
      tier = {.running = 3, .waiting = 2};
    }
    report.groups.push_back(demand);
  }
  for (const RoutedUpstream& upstream : snapshot.upstreams()) {
    report.upstreams.push_back({.upstream = upstream.spec.id,
                                .running = 4,
                                .pending_prefill = Tokens(2000)});
  }
  return report;
}

// What `parts` take on the wire.
size_t SentBytes(const DemandParts& parts) {
  size_t sent = 0;
  for (const auto& [router, part] : parts) {
    sent += EncodePeerMessage(MakeDemandNotice(part)).size() + kHeaderBytes;
  }
  return sent;
}

// One Scheduler under a load, with what it reports written down. The other
// routers have nothing in hand, unless the load says otherwise.
class ReportBed {
 public:
  ReportBed(const FleetSize& size, Load load)
      : load_(load), snapshot_(RoutingSnapshot::Build(MakeInput(size))) {
    SchedulerHooks hooks;
    hooks.dispatch = [this](RequestId id, const UpstreamId&) {
      running_.push_back(id);
      fresh_.push_back(id);
    };
    hooks.reject = [](RequestId, const Rejection&) {};
    hooks.preempt = [this](RequestId id) {
      if (load_ == Load::kContested) {
        given_up_.push_back(id);
      }
    };
    hooks.send_demand = [this](const DemandReport&, const DemandParts& parts) {
      Count(parts);
    };
    hooks.event = [](const Event&) {};
    SchedulerOptions options;
    options.router = snapshot_->self().id;
    options.incarnation = Incarnation(1764835200000000);
    scheduler_ = std::make_unique<Scheduler>(options, hooks);
    scheduler_->OnSnapshot(snapshot_, now_);
  }

  void Run() {
    HearOthers();
    Fill();
    Advance(kWarmUp);
    seconds_.assign(kWatchedSeconds, 0);
    reports_ = 0;
    start_ = now_;
    Advance(std::chrono::seconds(kWatchedSeconds));
  }

  double bytes_per_second() const {
    size_t sum = 0;
    for (size_t second : seconds_) {
      sum += second;
    }
    return static_cast<double>(sum) / kWatchedSeconds;
  }
  double busiest_second() const {
    return static_cast<double>(
        *std::max_element(seconds_.begin(), seconds_.end()));
  }
  double reports_per_second() const {
    return static_cast<double>(reports_) / kWatchedSeconds;
  }

 private:
  void Count(const DemandParts& parts) {
    if (seconds_.empty()) {
      return;
    }
    const size_t second = static_cast<size_t>(ToSeconds(now_ - start_));
    seconds_[std::min(second, seconds_.size() - 1)] += SentBytes(parts);
    ++reports_;
  }

  void HearOthers() {
    std::map<RouterId, DemandReport> reports;
    for (const auto& [router, part] : SplitDemandReport({}, *snapshot_)) {
      reports[router] = {.router = router, .sequence = ++sequence_};
    }
    if (load_ == Load::kContested) {
      AddDemand(&reports);
    }
    for (const auto& [router, report] : reports) {
      scheduler_->OnDemandReport(report, now_);
    }
  }

  // Each has one request running at each upstream, of its own tier, and some
  // waiting; some come and go between reports.
  void AddDemand(std::map<RouterId, DemandReport>* reports) {
    for (auto& [router, report] : *reports) {
      std::map<PoolVersion, GroupDemand> groups;
      for (const RoutedUpstream& upstream : snapshot_->upstreams()) {
        if (std::find(upstream.routers.begin(), upstream.routers.end(),
                      router) == upstream.routers.end()) {
          continue;
        }
        const PoolVersion& name = snapshot_->group(upstream.group).name;
        GroupDemand& demand = groups[name];
        demand.group = name;
        demand.short_tier = Tier::kCritical;
        ++demand.tiers[random_.Below(kTierCount)].running;
        report.upstreams.push_back(
            {.upstream = upstream.spec.id, .running = 1});
      }
      for (auto& [name, demand] : groups) {
        for (TierDemand& tier : demand.tiers) {
          tier.waiting = static_cast<int32_t>(1 + random_.Below(kMostWaiting));
        }
        report.groups.push_back(demand);
      }
    }
  }

  // Half of all slots when busy; all of them, and more, when short.
  void Fill() {
    const size_t slots = snapshot_->upstreams().size() * kSlots;
    const size_t wanted = load_ == Load::kQuiet  ? 0
                          : load_ == Load::kBusy ? slots / 2
                                                 : slots + slots / 2;
    for (size_t i = 0; i < wanted; ++i) {
      Request();
    }
  }

  void Request() {
    RequestSpec spec;
    spec.id = RequestId(++last_id_);
    spec.account = AccountId("account");
    spec.route = RouteId("chat");
    spec.pool = snapshot_->groups()[random_.Below(snapshot_->groups().size())]
                    .name.pool;
    spec.tier = load_ == Load::kPressed ? Tier::kCritical
                                        : kAllTiers[random_.Below(kTierCount)];
    spec.prompt_tokens = Tokens(2000);
    spec.share_hash = random_.Next64();
    spec.arrival = now_;
    spec.deadline = now_ + kTimeLimit;
    scheduler_->OnRequest(spec, now_);
  }

  // One stream ends.
  void EndOne() {
    if (running_.empty()) {
      return;
    }
    std::swap(running_[random_.Below(running_.size())], running_.back());
    const RequestId id = running_.back();
    running_.pop_back();
    scheduler_->OnFinished(id, {AttemptEnd::kOk, Tokens(250)}, now_);
  }

  // Streams that were given up have ended by now.
  void EndGivenUp() {
    std::vector<RequestId> ended;
    ended.swap(given_up_);
    for (RequestId id : ended) {
      std::erase(running_, id);
      scheduler_->OnFinished(id, {AttemptEnd::kPreempted, Tokens()}, now_);
    }
  }

  // What was dispatched before this step has its first token.
  void BeginTokens() {
    std::vector<RequestId> fresh;
    fresh.swap(fresh_);
    for (RequestId id : fresh) {
      scheduler_->OnFirstToken(id, now_);
    }
  }

  void Advance(Duration time) {
    const TimePoint end = now_ + time;
    const double arrivals = kRequestsPerSecond * ToSeconds(kTick);
    while (now_ < end) {
      now_ += kTick;
      EndGivenUp();
      if (load_ != Load::kQuiet && random_.Chance(arrivals)) {
        BeginTokens();
        EndOne();
        Request();
        if (load_ != Load::kBusy) {
          Request();
        }
      }
      if (now_ >= next_hearing_) {
        next_hearing_ = now_ + std::chrono::seconds(1);
        HearOthers();
      }
      scheduler_->OnTick(now_);
    }
  }

  Load load_;
  std::shared_ptr<const RoutingSnapshot> snapshot_;
  Random random_{1};
  TimePoint now_ = TimePoint(std::chrono::hours(1));
  TimePoint next_hearing_;
  std::vector<RequestId> running_;
  std::vector<RequestId> fresh_;
  std::vector<RequestId> given_up_;
  uint64_t last_id_ = 0;
  uint64_t sequence_ = 0;
  TimePoint start_;
  std::vector<size_t> seconds_;
  size_t reports_ = 0;
  std::unique_ptr<Scheduler> scheduler_;
};

std::vector<Measurement> LoadFigures(const FleetSize& size,
                                     const NamedLoad& load) {
  ReportBed bed(size, load.load);
  bed.Run();
  const std::string variant =
      absl::StrCat("[", size.routers, ",", load.name, "]");
  std::vector<Measurement> figures;
  figures.push_back({.name = absl::StrCat("capacity.demand_sent", variant),
                     .value = bed.bytes_per_second(),
                     .unit = "bytes/s",
                     .target = kControlBytes - kMembershipBytes,
                     .better = Better::kLower,
                     .seeds = 1});
  figures.push_back({.name = absl::StrCat("capacity.demand_peak", variant),
                     .value = bed.busiest_second(),
                     .unit = "bytes/s",
                     .seeds = 1});
  figures.push_back({.name = absl::StrCat("capacity.demand_reports", variant),
                     .value = bed.reports_per_second(),
                     .unit = "reports/s",
                     .seeds = 1});
  return figures;
}

// Of one report that tells of work at all upstreams, in all tiers.
std::vector<Measurement> ReportFigures(const FleetSize& size) {
  const std::shared_ptr<const RoutingSnapshot> snapshot =
      RoutingSnapshot::Build(MakeInput(size));
  const DemandReport report = MakeReport(*snapshot);
  const std::string variant = absl::StrCat("[", size.routers, "]");
  std::vector<Measurement> figures;
  figures.push_back({.name = absl::StrCat("capacity.demand_upstreams", variant),
                     .value = static_cast<double>(report.upstreams.size()),
                     .unit = "upstreams/router"});
  figures.push_back({.name = absl::StrCat("capacity.demand_peers", variant),
                     .value = static_cast<double>(
                         SplitDemandReport(report, *snapshot).size()),
                     .unit = "routers"});
  figures.push_back({.name = absl::StrCat("capacity.demand_report", variant),
                     .value = static_cast<double>(
                         SentBytes(SplitDemandReport(report, *snapshot))),
                     .unit = "bytes to all"});
  figures.push_back({.name = absl::StrCat("capacity.demand_codec", variant),
                     .value = TimePerCallNs([&report] {
                       const absl::StatusOr<PeerMessage> back =
                           DecodePeerMessage(
                               EncodePeerMessage(MakeDemandNotice(report)));
                       if (!back.ok()) {
                         std::abort();
                       }
                     }),
                     .unit = "ns"});
  figures.push_back({.name = absl::StrCat("capacity.demand_split", variant),
                     .value = TimePerCallNs([&report, &snapshot] {
                       if (SentBytes(SplitDemandReport(report, *snapshot)) ==
                           0) {
                         std::abort();
                       }
                     }),
                     .unit = "ns"});
  return figures;
}

std::vector<Measurement> RunDemandReports() {
  std::vector<Measurement> figures;
  for (const FleetSize& size : kSizes) {
    std::vector<Measurement> more = ReportFigures(size);
    for (const NamedLoad& load : kLoads) {
      const std::vector<Measurement> loaded = LoadFigures(size, load);
      more.insert(more.end(), loaded.begin(), loaded.end());
    }
    figures.insert(figures.end(), more.begin(), more.end());
  }
  return figures;
}

const bool kDemandReports =
    RegisterMeasure({"capacity.demand", RunDemandReports});

}  // namespace
}  // namespace papaya::bench
