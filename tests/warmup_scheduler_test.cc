// Replays a zone that returns cold to Schedulers that all have requests
// waiting.

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "include/admission/scheduler.h"
#include "include/admission/warmup_limiter.h"

namespace papaya {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kRouters = 7;
constexpr size_t kUpstreams = 6;
constexpr Duration kStep = milliseconds(10);
constexpr Duration kServiceTime = milliseconds(150);
constexpr Duration kWarmup = seconds(3);
constexpr size_t kAllowed = 20;

// Upstreams 0, 2 and 4 are in zone z0, the others in z1.
class Replay {
 public:
  Replay(size_t routers, bool is_limited, bool has_peers = true) {
    auto config = std::make_shared<FleetConfig>();
    for (size_t i = 0; i < kUpstreams; ++i) {
      UpstreamSpec spec;
      spec.id = UpstreamId("u" + std::to_string(i));
      spec.zone = AvailabilityZoneId("z" + std::to_string(i % 2));
      spec.pool = PoolId("chat");
      spec.version = VersionId("v1");
      spec.slots = 5;
      config->upstreams.push_back(spec);
    }
    RoutingInput input;
    input.config = config;
    for (size_t i = 0; i < routers; ++i) {
      input.routers.push_back(
          {RouterId("r" + std::to_string(i)),
           AvailabilityZoneId("z" + std::to_string(i % 2))});
    }
    for (size_t i = 0; i < routers; ++i) {
      input.self = input.routers[i];
      AddRouter(i, input, is_limited, has_peers);
    }
  }

  // Runs for `time` while each router has requests waiting.
  void Run(Duration time) {
    const TimePoint end = now + time;
    while (now < end) {
      now += kStep;
      for (size_t i = 0; i < routers_.size(); ++i) {
        while (routers_[i].scheduler->counts().queued < 5) {
          Send(i, Tier::kStandard);
        }
        Finish(i);
        routers_[i].scheduler->OnTick(now);
      }
    }
  }

  RequestId Send(size_t router, Tier tier) {
    RequestSpec spec;
    spec.id = RequestId(++last_);
    spec.account = AccountId("a");
    spec.route = RouteId("chat");
    spec.pool = PoolId("chat");
    spec.tier = tier;
    spec.prompt_tokens = Tokens(100);
    spec.share_hash = last_;
    spec.arrival = now;
    spec.deadline = now + seconds(60);
    routers_[router].scheduler->OnRequest(spec, now);
    return spec.id;
  }

  void LoseZone(Duration time) {
    dark_until = now + time;
    cold_until = dark_until + kWarmup;
  }

  WarmupLimiter& limiter(size_t router) { return *routers_[router].limiter; }

  TimePoint now{std::chrono::hours(1)};
  TimePoint dark_until;
  TimePoint cold_until;
  // Where each request was sent last.
  std::map<RequestId, size_t> sent;
  // The most that any upstream of z0 got in a second while it was cold.
  size_t worst = 0;
  // Arrivals within the last second, by upstream.
  std::vector<std::deque<TimePoint>> recent{kUpstreams};

 private:
  struct Attempt {
    RequestId id;
    size_t upstream = 0;
    TimePoint end;
    AttemptEnd result = AttemptEnd::kOk;
  };
  struct Router {
    std::unique_ptr<WarmupLimiter> limiter;
    std::unique_ptr<Scheduler> scheduler;
    std::vector<Attempt> attempts;
  };

  void AddRouter(size_t number,
                 const RoutingInput& input,
                 bool is_limited,
                 bool has_peers) {
    routers_.emplace_back();
    Router& router = routers_.back();
    router.limiter = std::make_unique<WarmupLimiter>(
        WarmupLimiter::Options{.self = input.self, .has_peers = has_peers},
        [](const Event&) {});
    if (is_limited) {
      router.limiter->SetLimits(
          WarmupBounds{.over = 1.5, .slack = 5.0},
          {{PoolId("chat"), {.time = kWarmup, .per_second = 10.0}}}, now);
    }
    // Long ago, so that the routers know each other.
    router.limiter->SetRouters(input.routers, now - seconds(60));
    SchedulerHooks hooks;
    hooks.dispatch = [this, number](RequestId id, const UpstreamId& upstream) {
      Arrive(number, id, static_cast<size_t>(upstream.value()[1] - '0'));
    };
    hooks.reject = [](RequestId, const Rejection&) {};
    hooks.preempt = [](RequestId) {};
    hooks.send_demand = [](const DemandReport&, const DemandParts&) {};
    hooks.event = [](const Event&) {};
    SchedulerOptions options;
    options.router = input.self.id;
    options.warmup = router.limiter.get();
    options.retries.retries_per_request = 10.0;
    router.scheduler = std::make_unique<Scheduler>(options, hooks);
    router.scheduler->OnSnapshot(RoutingSnapshot::Build(input), now);
  }

  void Arrive(size_t router, RequestId id, size_t upstream) {
    sent[id] = upstream;
    const bool is_lost_zone = upstream % 2 == 0;
    if (is_lost_zone && now < dark_until) {
      routers_[router].attempts.push_back(
          {id, upstream, now + kStep, AttemptEnd::kUnreachable});
      return;
    }
    routers_[router].attempts.push_back(
        {id, upstream, now + kServiceTime, AttemptEnd::kOk});
    std::deque<TimePoint>& times = recent[upstream];
    times.push_back(now);
    while (now - times.front() > seconds(1)) {
      times.pop_front();
    }
    if (is_lost_zone && now < cold_until) {
      const auto returned =
          std::lower_bound(times.begin(), times.end(), dark_until);
      worst = std::max(worst, static_cast<size_t>(times.end() - returned));
    }
  }

  void Finish(size_t number) {
    Router& router = routers_[number];
    std::vector<Attempt> ended;
    std::erase_if(router.attempts, [this, &ended](const Attempt& attempt) {
      const bool has_ended = attempt.end <= now;
      if (has_ended) {
        ended.push_back(attempt);
      }
      return has_ended;
    });
    for (const Attempt& attempt : ended) {
      if (attempt.result == AttemptEnd::kOk) {
        router.limiter->OnAnswer(
            UpstreamId("u" + std::to_string(attempt.upstream)), now);
      }
      router.scheduler->OnFinished(attempt.id, {attempt.result, Tokens(10)},
                                   now);
    }
  }

  std::vector<Router> routers_;
  uint64_t last_ = 0;
};

}  // namespace

TEST_CASE(
    "Scheduler: a zone that returns cold does not get the load that waited",
    "[admission]") {
  const bool is_limited = GENERATE(true, false);
  Replay replay(kRouters, is_limited);
  replay.Run(seconds(8));
  replay.LoseZone(seconds(2));
  replay.Run(seconds(2) + kWarmup);
  if (!is_limited) {
    // The fault itself, so that the replay is known to show it.
    CHECK(replay.worst > kAllowed);
    return;
  }
  CHECK(replay.worst <= kAllowed);
  CHECK(replay.worst > 0);
  // All routers use the zone again soon after its warm-up.
  replay.Run(seconds(12));
  for (const size_t upstream : {0, 2, 4}) {
    CHECK(replay.recent[upstream].size() > kAllowed);
  }
}

TEST_CASE("Scheduler: cold upstreams get the least urgent requests first",
          "[admission]") {
  Replay replay(1, true, /*has_peers=*/false);
  for (const char* id : {"u0", "u2", "u4"}) {
    replay.limiter(0).OnReport(UpstreamId(id), seconds(3),
                               WarmupLimiter::Source::kResponse, replay.now);
  }
  CHECK(replay.sent[replay.Send(0, Tier::kCritical)] % 2 == 1);
  CHECK(replay.sent[replay.Send(0, Tier::kBatch)] % 2 == 0);
}

TEST_CASE(
    "Scheduler: a router that knows no other uses a cold upstream only if no "
    "other one takes work",
    "[admission]") {
  const bool are_all_cold = GENERATE(false, true);
  Replay replay(1, true);
  for (size_t i = 0; i < kUpstreams; i += are_all_cold ? 1 : 2) {
    replay.limiter(0).OnReport(UpstreamId("u" + std::to_string(i)), seconds(9),
                               WarmupLimiter::Source::kResponse, replay.now);
  }
  replay.Run(seconds(2));
  for (size_t i = 0; i < kUpstreams; i += 2) {
    CHECK(replay.recent[i].size() <= 2);
    CHECK(replay.recent[i].empty() != are_all_cold);
  }
}

}  // namespace papaya
