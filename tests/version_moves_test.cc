#include "include/gateway/version_moves.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "include/base/random.h"
#include "include/gateway/canary_plan.h"

namespace papaya {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const PoolId kService("booking");
constexpr Duration kTime = seconds(15);
constexpr Duration kStep = milliseconds(100);

// Simulates routers that carry out one order together. Requests are distributed
// by the shares that the routers compute.
class Fleet {
 public:
  Fleet(int routers, uint64_t seed) : random_(seed) {
    for (int i = 0; i < routers; ++i) {
      names_.emplace_back("router-" + std::to_string(i));
    }
    for (int i = 0; i < routers; ++i) {
      VersionMoves::Hooks hooks;
      hooks.write_state = [this](const MoveOrder& order, MoveState state) {
        Write(order, state);
      };
      hooks.send = [this](const RouterId& to, const StatsReport& report) {
        for (size_t j = 0; j < names_.size(); ++j) {
          if (names_[j] == to) {
            routers_[j]->OnReport(report);
          }
        }
      };
      hooks.changed = [] {};
      hooks.event = [](const Event&) {};
      routers_.push_back(std::make_unique<VersionMoves>(
          names_[static_cast<size_t>(i)], Incarnation(1), hooks));
      routers_.back()->SetRouters(names_);
    }
    order_.service = kService;
    order_.target = VersionId("v2");
    order_.duration = kTime;
    order_.version = ObjectVersion(1);
  }

  // Simulates the order at `per_second` requests per second. Requests to the
  // new version fail with probability `fails` and take `slower` times as long.
  // With `loaded_only`, this applies only to upstreams that have as many
  // requests as those of the old version.
  void Run(double per_second,
           double fails,
           double slower = 1.0,
           bool loaded_only = false) {
    loaded_only_ = loaded_only;
    for (auto& router : routers_) {
      router->OnOrder(order_, now_);
    }
    double due_requests = 0.0;
    const TimePoint end = now_ + kTime;
    while (now_ < end && !HasEnded()) {
      now_ += kStep;
      due_requests += per_second * ToSeconds(kStep);
      for (; due_requests >= 1.0; due_requests -= 1.0) {
        SendRequest(fails, slower);
      }
      for (auto& router : routers_) {
        router->OnTick(now_);
      }
      Deliver();
    }
  }

  std::optional<MoveState> state() const { return order_.state; }
  int new_version_requests() const { return new_version_requests_; }
  int requests() const { return requests_; }
  Duration took() const { return now_ - TimePoint(seconds(100)); }

 private:
  bool HasEnded() const {
    return order_.state.has_value() && order_.state != MoveState::kRunning;
  }

  void Write(const MoveOrder& order, MoveState state) {
    if (order.version == order_.version) {
      order_.state = state;
      order_.version = ObjectVersion(order_.version.value() + 1);
      is_written_ = true;
    }
  }

  void Deliver() {
    if (std::exchange(is_written_, false)) {
      for (auto& router : routers_) {
        router->OnOrder(order_, now_);
      }
    }
  }

  FleetConfig Config() const {
    FleetConfig config;
    for (int i = 0; i < 6; ++i) {
      UpstreamSpec upstream;
      upstream.id = UpstreamId("u" + std::to_string(i));
      upstream.pool = kService;
      upstream.version = VersionId(i < 3 ? "v1" : "v2");
      config.upstreams.push_back(upstream);
    }
    return config;
  }

  void SendRequest(double fails, double slower) {
    VersionMoves& router = *routers_[random_.Below(routers_.size())];
    const FleetConfig config = router.Apply(Config());
    // Chooses the version group by share, then a random upstream of it.
    int point = static_cast<int>(random_.Below(1000));
    VersionId group;
    bool is_whole = false;
    for (const VersionShare& entry : config.shares) {
      group = entry.share > Permille(0) && point >= 0 ? entry.version : group;
      is_whole = is_whole || entry.share == Permille(1000);
      point -= entry.share.value();
    }
    std::vector<UpstreamId> choice;
    for (const UpstreamSpec& upstream : config.upstreams) {
      if (upstream.version == group) {
        choice.push_back(upstream.id);
      }
    }
    REQUIRE_FALSE(choice.empty());
    const UpstreamId chosen = choice[random_.Below(choice.size())];
    const VersionId version(chosen < UpstreamId("u3") ? "v1" : "v2");
    const bool is_new = version == VersionId("v2");
    ++requests_;
    new_version_requests_ += is_new ? 1 : 0;
    // While a small share is spread over all upstreams, none has its full load.
    const bool is_loaded = group != version || is_whole;
    const bool is_bad = is_new && (!loaded_only_ || is_loaded);
    const bool failed = random_.Chance(is_bad ? fails : 0.004);
    const double seconds = random_.LogNormal(0.015, 0.5);
    router.OnAttemptEnd(kService, version, RouteId("r"), chosen, failed,
                        SecondsToDuration(is_bad ? seconds * slower : seconds));
  }

  Random random_;
  TimePoint now_{seconds(100)};
  std::vector<RouterId> names_;
  std::vector<std::unique_ptr<VersionMoves>> routers_;
  MoveOrder order_;
  bool is_written_ = false;
  bool loaded_only_ = false;
  int requests_ = 0;
  int new_version_requests_ = 0;
};

TEST_CASE("VersionMoves: completes the move to a good version in time",
          "[gateway]") {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    Fleet fleet(7, seed);
    fleet.Run(60.0, 0.004);
    CHECK(fleet.state() == MoveState::kCompleted);
    CHECK(fleet.took() < kTime);
  }
}

TEST_CASE("VersionMoves: rolls back a failing version with few requests to it",
          "[gateway]") {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    Fleet fleet(7, seed);
    fleet.Run(60.0, 0.5);
    CHECK(fleet.state() == MoveState::kRolledBack);
    CHECK(fleet.new_version_requests() <= fleet.requests() / 10 + 50);
  }
}

TEST_CASE("VersionMoves: rolls back a version that is several times slower",
          "[gateway]") {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    Fleet fleet(7, seed);
    fleet.Run(60.0, 0.004, 8.0);
    CHECK(fleet.state() == MoveState::kRolledBack);
    CHECK(fleet.new_version_requests() <= fleet.requests() / 10 + 50);
  }
}

TEST_CASE("VersionMoves: rolls back a version that is bad only under load",
          "[gateway]") {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    Fleet fleet(7, seed);
    fleet.Run(100.0, 0.5, 1.0, /*loaded_only=*/true);
    CHECK(fleet.state() == MoveState::kRolledBack);
    CHECK(fleet.new_version_requests() <= fleet.requests() / 10 + 50);
  }
}

TEST_CASE("VersionMoves: rolls back a version that got too few requests",
          "[gateway]") {
  Fleet fleet(7, 1);
  fleet.Run(2.0, 0.004);
  CHECK(fleet.state() == MoveState::kRolledBack);
}

TEST_CASE("VersionMoves: ignores the versions of services without an order",
          "[gateway]") {
  VersionMoves::Hooks hooks;
  hooks.changed = [] {};
  hooks.event = [](const Event&) {};
  VersionMoves moves(RouterId("r"), Incarnation(1), hooks);
  FleetConfig config;
  config.upstreams.emplace_back();
  config.upstreams.back().pool = kService;
  config.upstreams.back().version = VersionId("v7");
  const FleetConfig applied = moves.Apply(config);
  CHECK(applied.upstreams.front().version.empty());
  CHECK(applied.shares.empty());
}

TEST_CASE("CanaryPlan: each stage has its time", "[gateway]") {
  for (int upstreams = 1; upstreams <= 40; ++upstreams) {
    for (int old_upstreams = 0; old_upstreams <= 400; ++old_upstreams) {
      const CanaryPlan plan = MakeCanaryPlan(upstreams, old_upstreams);
      REQUIRE(plan.StageAt(0.0) == CanaryStage::kSpread);
      REQUIRE(plan.StageAt(0.1) == CanaryStage::kSpread);
      REQUIRE(plan.StageAt(0.85) == CanaryStage::kLoaded);
      REQUIRE(plan.StageAt(0.9) == CanaryStage::kFull);
    }
  }
}

TEST_CASE("VersionMoves: full load began before the new version had upstreams",
          "[gateway]") {
  std::vector<std::string> stages;
  VersionMoves::Hooks hooks;
  hooks.write_state = [](const MoveOrder&, MoveState) {};
  hooks.send = [](const RouterId&, const StatsReport&) {};
  hooks.changed = [] {};
  hooks.event = [&stages](const Event& event) {
    if (event.id == EventId::kMoveStaged) {
      stages.push_back(event.fields[2].second);
    }
  };
  VersionMoves moves(RouterId("r1"), Incarnation(1), hooks);
  FleetConfig config;
  const auto add = [&config](int count, const char* version) {
    for (int i = 0; i < count; ++i) {
      UpstreamSpec upstream;
      upstream.id = UpstreamId(version + std::to_string(i));
      upstream.pool = kService;
      upstream.version = VersionId(version);
      config.upstreams.push_back(upstream);
    }
  };
  add(9, "v1");
  MoveOrder order;
  order.service = kService;
  order.target = VersionId("v2");
  order.duration = kTime;
  TimePoint now{seconds(1000)};
  moves.OnOrder(order, now);
  moves.Apply(config);
  const auto run = [&](Duration time) {
    const TimePoint end = now + time;
    for (; now < end; now += kStep) {
      moves.OnTick(now);
    }
  };
  run(seconds(2));
  // The upstreams of the new version start after the order. The first requests
  // are spread over all of them.
  add(4, "v2");
  moves.Apply(config);
  run(seconds(1));
  CHECK(stages.empty());
  run(kTime / 2);
  CHECK(stages == std::vector<std::string>{"loaded"});
}

}  // namespace
}  // namespace papaya
