#ifndef TESTS_FAKES_GOSSIP_FLEET_H_
#define TESTS_FAKES_GOSSIP_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_format.h"
#include "include/base/random.h"
#include "include/config/config_spreader.h"
#include "include/config/fleet_config_json.h"
#include "include/membership/membership.h"
#include "tests/fakes/event_queue.h"
#include "tests/fakes/fake_link.h"
#include "tests/fakes/timed_object_store.h"

namespace papaya {

// Shape of a fleet: routers go round the zones, zones go round the regions.
struct FleetShape {
  size_t routers = 7;
  int zones = 3;
  int regions = 1;
};

inline constexpr FleetShape kTodaysFleet{7, 3, 1};
inline constexpr FleetShape kPlannedFleet{390, 12, 5};

// Many Memberships and ConfigSpreaders that talk over one FakeLink and one
// TimedObjectStore, in virtual time.
class GossipFleet {
 public:
  static constexpr char kStoreKey[] = "fleet/config";
  static constexpr Duration kTick = std::chrono::milliseconds(100);
  static constexpr size_t kSeeds = 3;

  // One router; its cores are null while it is down.
  struct Node {
    RouterId id;
    std::string address;
    std::unique_ptr<Membership> membership;
    std::unique_ptr<ConfigSpreader> spreader;
    // Grows with each start and stop; events of an earlier life are dropped.
    uint64_t life = 0;
    TimePoint paused_until;
    // What came during a pause, taken at its end.
    std::vector<std::function<void()>> backlog;
  };

  GossipFleet(const FleetShape& shape, uint64_t seed)
      : random_(seed),
        link(&queue, Random(random_.Next64()), MakePlaces(shape)),
        store(&queue, Random(random_.Next64())),
        nodes(shape.routers) {
    for (size_t i = 0; i < nodes.size(); ++i) {
      nodes[i].id = RouterId(absl::StrFormat("router-%03d", i));
      nodes[i].address = absl::StrFormat("10.0.%d.%d:7000", i / 256, i % 256);
      by_id_[nodes[i].id] = i;
      by_address_[nodes[i].address] = i;
      if (i < kSeeds) {
        seeds.push_back(nodes[i].address);
      }
    }
  }

  void StartAll() {
    for (size_t i = 0; i < nodes.size(); ++i) {
      Start(i);
    }
  }

  // Starts a new process of that router, with a later incarnation.
  void Start(size_t index) {
    Node& node = nodes[index];
    Stop(index);
    ++node.life;
    node.spreader = MakeSpreader(index);
    node.membership = MakeMembership(index);
    ScheduleTick(index, node.life);
  }

  // Ends its process without a word.
  void Stop(size_t index) {
    Node& node = nodes[index];
    ++node.life;
    node.membership.reset();
    node.spreader.reset();
    node.backlog.clear();
    node.paused_until = queue.now();
  }

  void Pause(size_t index, Duration time) {
    nodes[index].paused_until = queue.now() + time;
    queue.After(time, [this, index, life = nodes[index].life] {
      Node& node = nodes[index];
      if (node.life != life) {
        return;
      }
      for (const std::function<void()>& action :
           std::exchange(node.backlog, {})) {
        action();
      }
    });
  }

  bool IsUp(size_t index) const { return nodes[index].membership != nullptr; }
  bool IsPaused(size_t index) const {
    return nodes[index].paused_until > queue.now();
  }

  // Writes a configuration to the store, as an operator's note would.
  void Publish(const FleetConfig& config) {
    store.Set(kStoreKey, FleetConfigToJson(config));
  }

  // True if the view of `observer` holds `other` as not dead.
  bool Sees(size_t observer, size_t other) const {
    return FindRouter(nodes[observer].membership->view(), nodes[other].id) !=
           nullptr;
  }

  size_t IndexOf(const RouterId& id) const { return by_id_.at(id); }

  // Seeds of the routers that start from now on; at first the first kSeeds.
  std::vector<std::string> seeds;

  // Called on what the cores say, with the index of the router.
  std::function<void(size_t, const FleetConfig&)> on_in_force;
  std::function<void(size_t, const FleetView&)> on_view;
  std::function<void(size_t, const Event&)> on_event;

 private:
  Random random_;

 public:
  EventQueue queue;
  FakeLink link;
  TimedObjectStore store;
  std::vector<Node> nodes;

 private:
  static std::vector<LinkPlace> MakePlaces(const FleetShape& shape) {
    std::vector<LinkPlace> places;
    for (size_t i = 0; i < shape.routers; ++i) {
      const int zone = static_cast<int>(i) % shape.zones;
      places.push_back({.region = zone % shape.regions, .zone = zone});
    }
    return places;
  }

  void Event_(size_t index, const Event& event) {
    if (on_event) {
      on_event(index, event);
    }
  }

  std::unique_ptr<ConfigSpreader> MakeSpreader(size_t index) {
    return std::make_unique<ConfigSpreader>(
        ConfigSpreader::Options{.self = nodes[index].id,
                                .store_key = kStoreKey},
        &store,
        ConfigSpreader::Hooks{
            .send =
                [this, index](const RouterId& to, const ConfigMessage& m) {
                  SendConfig(index, by_id_.at(to), m);
                },
            .in_force =
                [this,
                 index](const std::shared_ptr<const FleetConfig>& config) {
                  if (on_in_force) {
                    on_in_force(index, *config);
                  }
                },
            .facts_changed = [](const FactSet&) {},
            .event = [this, index](const Event& e) { Event_(index, e); }},
        Random(random_.Next64()), queue.now());
  }

  std::unique_ptr<Membership> MakeMembership(size_t index) {
    Membership::Options options;
    options.self = nodes[index].id;
    options.incarnation = Incarnation(nodes[index].life);
    options.address = nodes[index].address;
    options.region =
        RegionId(absl::StrFormat("region-%d", link.place(index).region));
    options.zone = AvailabilityZoneId(
        absl::StrFormat("zone-%02d", link.place(index).zone));
    options.seeds = seeds;
    return std::make_unique<Membership>(
        options,
        Membership::Hooks{
            .send = [this, index](
                        const PeerAddress& to,
                        const MemberMessage& m) { SendMember(index, to, m); },
            .view_changed =
                [this, index](const FleetView& view) {
                  nodes[index].spreader->OnView(view, queue.now());
                  if (on_view) {
                    on_view(index, view);
                  }
                },
            .incarnation_changed = [](Incarnation) {},
            .event = [this, index](const Event& e) { Event_(index, e); }},
        Random(random_.Next64()), queue.now());
  }

  void SendMember(size_t from, const PeerAddress& to, const MemberMessage& m) {
    // Like PeerNetwork: sends to addresses only, and not to a router that has
    // another name than the one asked for.
    const auto target = by_address_.find(to.address);
    if (target == by_address_.end() ||
        (!to.router.empty() && by_id_.at(to.router) != target->second)) {
      return;
    }
    const size_t end = target->second;
    link.Send(from, end, EncodedSize(m), [this, from, end, m] {
      WhenAwake(end, [this, from, end, m] {
        nodes[end].membership->OnMessage(nodes[from].id, m, queue.now());
      });
    });
  }

  void SendConfig(size_t from, size_t to, const ConfigMessage& m) {
    link.Send(from, to, EncodedSize(m), [this, from, to, m] {
      WhenAwake(to, [this, from, to, m] {
        nodes[to].spreader->OnMessage(nodes[from].id, m, queue.now());
      });
    });
  }

  // Runs `action` now, at the end of a pause, or never if the router is down.
  void WhenAwake(size_t index, std::function<void()> action) {
    if (!IsUp(index)) {
      return;
    }
    if (IsPaused(index)) {
      nodes[index].backlog.push_back(std::move(action));
      return;
    }
    action();
  }

  void ScheduleTick(size_t index, uint64_t life) {
    queue.After(random_.Jitter(kTick, 0.1), [this, index, life] {
      if (nodes[index].life != life) {
        return;
      }
      if (!IsPaused(index)) {
        nodes[index].membership->OnTick(queue.now());
        nodes[index].spreader->OnTick(queue.now());
      }
      ScheduleTick(index, life);
    });
  }

  std::map<RouterId, size_t> by_id_;
  std::map<std::string, size_t> by_address_;
};

}  // namespace papaya

#endif  // TESTS_FAKES_GOSSIP_FLEET_H_
