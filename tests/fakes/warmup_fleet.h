#ifndef TESTS_FAKES_WARMUP_FLEET_H_
#define TESTS_FAKES_WARMUP_FLEET_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "include/admission/warmup_limiter.h"
#include "include/base/random.h"

namespace papaya {

// Routers, each with a WarmupLimiter, in front of upstreams whose zones go dark
// and return cold. Each router always has requests waiting, and sends one
// whenever its limiter allows it. Time is virtual.
class WarmupFleet {
 public:
  static constexpr Duration kStep = std::chrono::milliseconds(10);
  static constexpr Duration kWarmup = std::chrono::seconds(3);
  static constexpr Duration kHeartbeat = std::chrono::milliseconds(1200);
  // 10 requests a second x 1.5 + 5.
  static constexpr size_t kAllowed = 20;
  static constexpr size_t kZones = 3;

  WarmupFleet(size_t routers, size_t upstreams, uint64_t seed)
      : random_(seed), config_(std::make_shared<FleetConfig>()) {
    for (size_t i = 0; i < upstreams; ++i) {
      UpstreamSpec spec;
      spec.id = UpstreamId("u" + std::to_string(i));
      spec.zone = ZoneName(i % kZones);
      spec.pool = PoolId("chat");
      spec.version = VersionId("v1");
      config_->upstreams.push_back(spec);
      upstreams_.emplace_back();
    }
    for (size_t i = 0; i < routers; ++i) {
      AddRouter();
    }
    for (size_t i = 0; i < routers; ++i) {
      Start(i, /*is_first=*/true);
      See(i, Others(i));
    }
    // Long enough for routers to know each other.
    now_ += std::chrono::seconds(40);
  }

  void At(Duration delay, std::function<void()> action) {
    actions_.emplace(now_ + delay, std::move(action));
  }

  void Run(Duration time) {
    const TimePoint end = now_ + time;
    while (now_ < end) {
      now_ += kStep;
      while (!actions_.empty() && actions_.begin()->first <= now_) {
        const std::function<void()> action = actions_.begin()->second;
        actions_.erase(actions_.begin());
        action();
      }
      for (size_t i = 0; i < routers_.size(); ++i) {
        Step(i);
      }
    }
  }

  // The zone's upstreams are unreachable for `time` and then cold.
  void LoseZone(size_t zone, Duration time) {
    const bool is_silent = random_.Chance(0.5);
    for (size_t i = zone; i < upstreams_.size(); i += kZones) {
      Upstream& upstream = upstreams_[i];
      upstream.dark_until = now_ + time;
      upstream.cold_until = now_ + time + kWarmup;
      upstream.is_silent = is_silent;
      upstream.recent.clear();
      // Registrations are written soon after the return, and arrive late.
      for (Duration at = Below(kHeartbeat); at < kWarmup + 2 * kHeartbeat;
           at += kHeartbeat) {
        At(time + at, [this, i] { Heartbeat(i); });
      }
    }
  }

  // Registrations arrive up to `delay` after they were written.
  void SetReportDelay(Duration delay) { report_delay_ = delay; }

  // The router starts anew and discovers the others within some time.
  void Restart(size_t router) {
    Start(router, /*is_first=*/false);
    See(router, {});
    At(Below(std::chrono::seconds(1)), [this, router] {
      std::vector<size_t> some = Others(router);
      some.resize(std::min<size_t>(some.size(), 3));
      See(router, some);
    });
    At(Between(std::chrono::seconds(1), std::chrono::seconds(3)),
       [this, router] { See(router, Others(router)); });
  }

  // A router with a new name joins; the others learn of it within 3 s.
  void Join() {
    AddRouter();
    Restart(routers_.size() - 1);
    AnnounceAll(std::chrono::seconds(3));
  }

  // Both sides declare each other dead within some seconds.
  void Partition(size_t minority, Duration time) {
    for (size_t i = 0; i < routers_.size(); ++i) {
      routers_[i].side = i < minority ? 1 : 0;
    }
    AnnounceAll(std::chrono::seconds(5));
    At(time, [this] {
      for (Router& router : routers_) {
        router.side = 0;
      }
      AnnounceAll(std::chrono::seconds(3));
    });
  }

  size_t routers() const { return routers_.size(); }
  Random& random() { return random_; }
  // The most requests that a cold upstream got in any second.
  size_t worst() const { return worst_; }
  // Requests that reached cold upstreams.
  size_t cold_requests() const { return cold_requests_; }

  Duration Below(Duration max) {
    return SecondsToDuration(ToSeconds(max) * random_.Uniform());
  }
  Duration Between(Duration min, Duration max) {
    return min + Below(max - min);
  }

 private:
  struct Upstream {
    TimePoint dark_until;
    TimePoint cold_until;
    bool is_silent = false;
    // Arrivals within the last second while cold.
    std::deque<TimePoint> recent;
  };
  struct Router {
    RouterLocation location;
    int side = 0;
    std::unique_ptr<WarmupLimiter> limiter;
    // By position in the configuration, for the upstreams that it uses.
    std::map<size_t, std::shared_ptr<ColdGate>> gates;
    // No attempt before this time, by upstream.
    std::map<size_t, TimePoint> next;
    // Between two requests to one upstream while it is warm.
    Duration pace{};
    // Makes delayed actions for earlier starts void.
    uint64_t generation = 0;
  };

  static AvailabilityZoneId ZoneName(size_t zone) {
    return AvailabilityZoneId("z" + std::to_string(zone));
  }

  void AddRouter() {
    const size_t number = routers_.size();
    routers_.emplace_back();
    routers_.back().location = {RouterId("r" + std::to_string(number)),
                                ZoneName(number % kZones)};
  }

  void Start(size_t number, bool is_first) {
    Router& router = routers_[number];
    const std::array<int, 3> paces = {50, 500, 3000};
    router.pace = std::chrono::milliseconds(paces[random_.Below(3)]);
    ++router.generation;
    router.gates.clear();
    router.next.clear();
    router.limiter = std::make_unique<WarmupLimiter>(
        WarmupLimiter::Options{.self = router.location,
                               .has_peers = true,
                               .is_first_start = is_first},
        [](const Event&) {});
    router.limiter->SetLimits(
        WarmupBounds{.over = 1.5, .slack = 5.0},
        {{PoolId("chat"), {.time = kWarmup, .per_second = 10.0}}}, now_);
    for (size_t i = 0; i < upstreams_.size(); ++i) {
      if (now_ >= upstreams_[i].dark_until && now_ < upstreams_[i].cold_until) {
        Report(number, i, upstreams_[i].cold_until - now_);
      }
    }
  }

  std::vector<size_t> Others(size_t number) const {
    std::vector<size_t> others;
    for (size_t i = 0; i < routers_.size(); ++i) {
      if (i != number && routers_[i].side == routers_[number].side) {
        others.push_back(i);
      }
    }
    return others;
  }

  // Sets the live routers that the router knows besides itself.
  void See(size_t number, const std::vector<size_t>& others) {
    Router& router = routers_[number];
    RoutingInput input;
    input.config = config_;
    input.self = router.location;
    input.routers = {router.location};
    for (size_t other : others) {
      input.routers.push_back(routers_[other].location);
    }
    router.limiter->SetRouters(input.routers, now_);
    const auto snapshot = RoutingSnapshot::Build(input);
    router.limiter->SetUpstreams(*snapshot, now_);
    router.gates.clear();
    for (size_t i = 0; i < upstreams_.size(); ++i) {
      const UpstreamId& id = config_->upstreams[i].id;
      if (snapshot->FindUpstream(id).has_value()) {
        router.gates[i] = router.limiter->GateOf(id);
      }
    }
  }

  void AnnounceAll(Duration delay) {
    for (size_t i = 0; i < routers_.size(); ++i) {
      At(Below(delay), [this, i, generation = routers_[i].generation] {
        if (routers_[i].generation == generation) {
          See(i, Others(i));
        }
      });
    }
  }

  void Heartbeat(size_t upstream) {
    const Duration left =
        std::max(Duration(), upstreams_[upstream].cold_until - now_);
    for (size_t i = 0; i < routers_.size(); ++i) {
      At(Below(report_delay_),
         [this, i, upstream, left] { Report(i, upstream, left); });
    }
  }

  void Report(size_t router, size_t upstream, Duration left) {
    routers_[router].limiter->OnReport(config_->upstreams[upstream].id, left,
                                       WarmupLimiter::Source::kRegistration,
                                       now_);
  }

  void Step(size_t number) {
    Router& router = routers_[number];
    router.limiter->OnTick(now_);
    for (const auto& item : router.gates) {
      const size_t i = item.first;
      const std::shared_ptr<ColdGate>& gate = item.second;
      TimePoint& next = router.next[i];
      if (now_ < next || gate->IsClosed(now_)) {
        continue;
      }
      // While the upstream is cold, only the limiter holds requests back.
      const bool is_cold = gate->IsCold(now_);
      next = now_ + (is_cold ? kStep : router.pace);
      router.limiter->OnSent(config_->upstreams[i].id, now_);
      gate->last_sent = now_;
      if (now_ < upstreams_[i].dark_until) {
        // Refused at once, or given up after the connect timeout.
        const Duration given_up = upstreams_[i].is_silent
                                      ? std::chrono::milliseconds(400)
                                      : std::chrono::milliseconds(10);
        next = now_ + given_up + std::chrono::milliseconds(100);
        At(given_up, [this, number, i] {
          routers_[number].limiter->OnUnreachable(config_->upstreams[i].id,
                                                  now_);
        });
        continue;
      }
      Arrive(number, i);
    }
  }

  void Arrive(size_t router, size_t number) {
    Upstream& upstream = upstreams_[number];
    At(std::chrono::milliseconds(100), [this, router, number] {
      if (now_ >= upstreams_[number].dark_until) {
        routers_[router].limiter->OnAnswer(config_->upstreams[number].id, now_);
      }
    });
    if (now_ >= upstream.cold_until) {
      return;
    }
    ++cold_requests_;
    upstream.recent.push_back(now_);
    while (now_ - upstream.recent.front() > std::chrono::seconds(1)) {
      upstream.recent.pop_front();
    }
    worst_ = std::max(worst_, upstream.recent.size());
  }

  Random random_;
  std::shared_ptr<FleetConfig> config_;
  TimePoint now_{std::chrono::hours(1)};
  std::vector<Upstream> upstreams_;
  std::vector<Router> routers_;
  std::multimap<TimePoint, std::function<void()>> actions_;
  Duration report_delay_ = std::chrono::seconds(1);
  size_t worst_ = 0;
  size_t cold_requests_ = 0;
};

}  // namespace papaya

#endif  // TESTS_FAKES_WARMUP_FLEET_H_
