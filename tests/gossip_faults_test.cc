#include <algorithm>
#include <map>
#include <set>
#include <string>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "tests/fakes/gossip_fleet.h"
#include "tests/fakes/sample_config.h"

namespace papaya {
namespace {

constexpr size_t kUpstreams = 12;
// Time in which a healed fleet must be whole again: a call of a lost router,
// and the spreading of what it brings.
constexpr Duration kHealLimit = std::chrono::seconds(20);

// Runs a fleet of seven through random faults and watches what must hold at
// every moment.
class FaultyFleet {
 public:
  explicit FaultyFleet(uint64_t seed)
      : random_(seed),
        fleet_(kTodaysFleet, seed + 1),
        published_(MakeSampleConfig(Revision(1), kUpstreams, &random_)) {
    fleet_.on_in_force = [this](size_t index, const FleetConfig& config) {
      OnInForce(index, config);
    };
    fleet_.Publish(published_);
    history_[published_.revision] = published_;
    fleet_.StartAll();
  }

  // One random fault, or the end of one, and some time for it to work.
  void Step() {
    const uint64_t kind = random_.Below(10);
    const size_t router = random_.Below(fleet_.nodes.size());
    switch (kind) {
      case 0:
        fleet_.link.faults.loss = 0.3 * random_.Uniform();
        break;
      case 1:
        fleet_.link.faults.doubles = 0.3 * random_.Uniform();
        fleet_.link.faults.extra_delay = std::chrono::milliseconds(200);
        break;
      case 2:
        CutAtRandom();
        break;
      case 3:
        fleet_.link.is_cut = nullptr;
        break;
      case 4:
        fleet_.Start(router);
        last_in_force_.erase(router);
        break;
      case 5:
        fleet_.Stop(router);
        break;
      case 6:
        fleet_.Pause(router, std::chrono::seconds(1 + random_.Below(240)));
        break;
      case 7:
        fleet_.store.SetUnavailable(random_.Chance(0.5));
        fleet_.store.faults.lost_responses = 0.3 * random_.Uniform();
        break;
      case 8:
        PublishNext();
        break;
      default:
        SayVmList(router);
        AddFact(router);
        break;
    }
    // A second fault comes at once, now and then.
    if (random_.Chance(0.3)) {
      return;
    }
    Run(SecondsToDuration(10.0 * random_.Uniform()));
  }

  // Ends all faults; routers that are down start again.
  void Heal() {
    fleet_.link.faults = {};
    fleet_.link.is_cut = nullptr;
    fleet_.store.SetUnavailable(false);
    fleet_.store.faults.lost_responses = 0.0;
    for (size_t i = 0; i < fleet_.nodes.size(); ++i) {
      if (!fleet_.IsUp(i) || fleet_.IsPaused(i)) {
        fleet_.Start(i);
        last_in_force_.erase(i);
      }
    }
    Run(kHealLimit);
  }

  void CheckWhole() {
    for (const GossipFleet::Node& node : fleet_.nodes) {
      RC_ASSERT(node.membership->view().routers.size() == fleet_.nodes.size());
      RC_ASSERT(node.spreader->config() != nullptr);
      RC_ASSERT(*node.spreader->config() == published_);
      const RevisionReport report = node.spreader->Report();
      RC_ASSERT(report.highest == published_.revision);
      RC_ASSERT(report.FindLacking(published_.revision).empty());
      RC_ASSERT(node.spreader->facts().leaving().size() ==
                fleet_.nodes[0].spreader->facts().leaving().size());
    }
  }

 private:
  void Run(Duration time) {
    constexpr Duration kLook = std::chrono::milliseconds(500);
    for (Duration done{}; done < time; done += kLook) {
      fleet_.queue.RunFor(kLook);
      CheckFactsGrow();
    }
  }

  void CutAtRandom() {
    const uint64_t side = random_.Below(1u << fleet_.nodes.size());
    fleet_.link.is_cut = [side](size_t a, size_t b) {
      return ((side >> a) & 1) != ((side >> b) & 1);
    };
  }

  void PublishNext() {
    if (fleet_.store.faults.is_unavailable) {
      return;
    }
    published_ = MakeNextConfig(published_, 2, &random_);
    history_[published_.revision] = published_;
    fleet_.Publish(published_);
  }

  // A list that lags: it lacks some routers that run.
  void SayVmList(size_t router) {
    std::vector<RouterId> running;
    for (const GossipFleet::Node& node : fleet_.nodes) {
      if (random_.Chance(0.7)) {
        running.push_back(node.id);
      }
    }
    if (fleet_.IsUp(router)) {
      fleet_.nodes[router].membership->OnVmList(running, fleet_.queue.now());
    }
  }

  void AddFact(size_t router) {
    if (fleet_.IsUp(router) && !fleet_.IsPaused(router)) {
      const size_t upstream = random_.Below(kUpstreams);
      fleet_.nodes[router].spreader->AddFact(
          LeavingUpstream{published_.upstreams[upstream].id, Revision(1)},
          fleet_.queue.now());
    }
  }

  void OnInForce(size_t index, const FleetConfig& config) {
    // Only what the store has accepted, whole.
    RC_ASSERT(history_.contains(config.revision));
    RC_ASSERT(config == history_.at(config.revision));
    const auto last = last_in_force_.find(index);
    if (last != last_in_force_.end()) {
      RC_ASSERT(config.revision > last->second);
    }
    last_in_force_[index] = config.revision;
  }

  void CheckFactsGrow() {
    for (size_t i = 0; i < fleet_.nodes.size(); ++i) {
      if (!fleet_.IsUp(i)) {
        known_facts_.erase(i);
        continue;
      }
      auto& [life, facts] = known_facts_[i];
      if (life != fleet_.nodes[i].life) {
        life = fleet_.nodes[i].life;
        facts.clear();
      }
      const auto& now = fleet_.nodes[i].spreader->facts().leaving();
      for (const UpstreamId& id : facts) {
        RC_ASSERT(now.contains(id));
      }
      for (const auto& [id, since] : now) {
        facts.insert(id);
      }
    }
  }

  Random random_;
  GossipFleet fleet_;
  FleetConfig published_;
  std::map<Revision, FleetConfig> history_;
  // The last revision in force in the present life of each router.
  std::map<size_t, Revision> last_in_force_;
  std::map<size_t, std::pair<uint64_t, std::set<UpstreamId>>> known_facts_;
};

TEST_CASE("Gossip under faults: nothing reverts, all is whole after",
          "[config][membership]") {
  rc::prop("seven routers, twelve faults", [](uint64_t seed) {
    FaultyFleet fleet(seed % 1000000);
    for (int step = 0; step < 12; ++step) {
      fleet.Step();
    }
    fleet.Heal();
    fleet.CheckWhole();
  });
}

// What every router that runs and is reached must do while others fail.
TEST_CASE("Gossip under faults: accepted revisions reach all in time",
          "[config]") {
  rc::prop("a tenth lost, one dead, one paused", [](uint64_t seed) {
    Random random(seed);
    GossipFleet fleet(kTodaysFleet, seed % 1000000);
    fleet.link.faults = {.loss = 0.1,
                         .doubles = 0.1,
                         .extra_delay = std::chrono::milliseconds(100)};
    FleetConfig config = MakeSampleConfig(Revision(1), kUpstreams, &random);
    fleet.Publish(config);
    fleet.StartAll();
    fleet.queue.RunFor(std::chrono::seconds(10));
    fleet.Stop(random.Below(3));
    fleet.Pause(3 + random.Below(4), std::chrono::minutes(2));
    for (int i = 0; i < 3; ++i) {
      config = MakeNextConfig(config, 1, &random);
      fleet.Publish(config);
      fleet.queue.RunFor(std::chrono::seconds(14));
      for (size_t router = 0; router < fleet.nodes.size(); ++router) {
        if (fleet.IsUp(router) && !fleet.IsPaused(router)) {
          RC_ASSERT(*fleet.nodes[router].spreader->config() == config);
        }
      }
    }
  });
}

TEST_CASE(
    "Gossip under faults: a new router in a store outage takes the "
    "highest its peers hold",
    "[config]") {
  rc::prop("no revert over a restart", [](uint64_t seed) {
    Random random(seed);
    GossipFleet fleet(kTodaysFleet, seed % 1000000);
    fleet.link.faults.loss = 0.05;
    FleetConfig config = MakeSampleConfig(Revision(1), kUpstreams, &random);
    fleet.Publish(config);
    fleet.StartAll();
    fleet.queue.RunFor(std::chrono::seconds(8));
    const size_t restarted = random.Below(fleet.nodes.size());
    // All but one router are cut from a part that lags.
    const size_t lagging = (restarted + 1) % fleet.nodes.size();
    fleet.link.is_cut = [lagging](size_t a, size_t b) {
      return a == lagging || b == lagging;
    };
    fleet.store.SetUnavailable(true);
    const FleetConfig next = MakeNextConfig(config, 1, &random);
    fleet.nodes[restarted].spreader->Offer(
        std::make_shared<const FleetConfig>(next), fleet.queue.now());
    fleet.queue.RunFor(std::chrono::seconds(5));
    fleet.link.is_cut = nullptr;
    std::vector<Revision> in_force;
    fleet.on_in_force = [&](size_t index, const FleetConfig& now) {
      if (index == restarted) {
        in_force.push_back(now.revision);
      }
    };
    fleet.Start(restarted);
    fleet.queue.RunFor(std::chrono::seconds(15));
    RC_ASSERT(in_force == std::vector<Revision>{next.revision});
  });
}

}  // namespace
}  // namespace papaya
