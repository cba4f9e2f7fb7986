#ifndef BENCH_FULL_MESH_FLEET_H_
#define BENCH_FULL_MESH_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "include/base/random.h"
#include "include/base/units.h"
#include "tests/fakes/event_queue.h"
#include "tests/fakes/fake_link.h"

namespace papaya::bench {

// The baseline of the membership and configuration measures: every router
// sends a heartbeat to every other each second, and takes one for dead that
// was silent for three. The first router reads the store and sends each
// revision whole to all others, and again every ten seconds.
class FullMeshFleet {
 public:
  static constexpr size_t kHeartbeatBytes = 136;
  static constexpr Duration kHeartbeatPeriod = std::chrono::seconds(1);
  static constexpr Duration kSilenceLimit = std::chrono::seconds(3);
  static constexpr Duration kResendPeriod = std::chrono::seconds(10);

  FullMeshFleet(const std::vector<LinkPlace>& places,
                size_t config_bytes,
                uint64_t seed)
      : random_(seed),
        link(&queue, Random(random_.Next64()), places),
        config_bytes_(config_bytes),
        nodes_(places.size()) {
    for (size_t i = 0; i < nodes_.size(); ++i) {
      nodes_[i].heard.resize(nodes_.size());
      nodes_[i].suspects.resize(nodes_.size());
      queue.After(SecondsToDuration(random_.Uniform()), [this, i] { Beat(i); });
    }
    queue.After(kResendPeriod, [this] { Resend(); });
  }

  void Stop(size_t index) { nodes_[index].is_up = false; }

  void Publish(uint64_t revision) {
    Adopt(0, revision);
    Broadcast();
  }

  // Router, and the other one that it takes for dead.
  std::function<void(size_t, size_t)> on_dead;
  std::function<void(size_t, uint64_t)> on_in_force;

 private:
  struct Node {
    bool is_up = true;
    uint64_t revision = 0;
    std::vector<TimePoint> heard;
    std::vector<bool> suspects;
  };

  void Beat(size_t from) {
    if (!nodes_[from].is_up) {
      return;
    }
    for (size_t to = 0; to < nodes_.size(); ++to) {
      if (to != from) {
        link.Send(from, to, kHeartbeatBytes, [this, from, to] {
          nodes_[to].heard[from] = queue.now();
          nodes_[to].suspects[from] = false;
        });
        Judge(from, to);
      }
    }
    queue.After(kHeartbeatPeriod, [this, from] { Beat(from); });
  }

  void Judge(size_t index, size_t other) {
    Node& node = nodes_[index];
    const bool is_silent = queue.now() - node.heard[other] > kSilenceLimit;
    if (is_silent && !node.suspects[other]) {
      node.suspects[other] = true;
      if (on_dead) {
        on_dead(index, other);
      }
    }
  }

  void Adopt(size_t index, uint64_t revision) {
    if (revision > nodes_[index].revision) {
      nodes_[index].revision = revision;
      if (on_in_force) {
        on_in_force(index, revision);
      }
    }
  }

  void Broadcast() {
    const uint64_t revision = nodes_[0].revision;
    for (size_t to = 1; to < nodes_.size(); ++to) {
      link.Send(0, to, config_bytes_,
                [this, to, revision] { Adopt(to, revision); });
    }
  }

  void Resend() {
    Broadcast();
    queue.After(kResendPeriod, [this] { Resend(); });
  }

  Random random_;

 public:
  EventQueue queue;
  FakeLink link;

 private:
  const size_t config_bytes_;
  std::vector<Node> nodes_;
};

}  // namespace papaya::bench

#endif  // BENCH_FULL_MESH_FLEET_H_
