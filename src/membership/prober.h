#ifndef SRC_MEMBERSHIP_PROBER_H_
#define SRC_MEMBERSHIP_PROBER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "include/base/ids.h"
#include "include/base/random.h"
#include "include/base/units.h"

namespace papaya {

// Probes a set of routers in turn, each once a period: a few times directly,
// then once more together with requests to others, and reports the router if
// none of that was answered.
class Prober {
 public:
  struct Hooks {
    std::function<void(const RouterId& target, uint64_t sequence)> probe;
    // Tells `target` this router's record before a repeated probe: a router
    // that has been restarted cannot answer one that it does not know.
    std::function<void(const RouterId& target)> introduce;
    // Asks other routers to probe `target`.
    std::function<void(const RouterId& target, uint64_t sequence)> ask_others;
    std::function<void(const RouterId& target)> failed;
  };

  Prober(Duration period, Hooks hooks, Random random);

  // Probes these from now on; those that were probed before go on as they are.
  void SetTargets(const std::vector<RouterId>& targets, TimePoint now);

  // An answer to the probe with that sequence.
  void OnAck(uint64_t sequence);

  // Drops what waits for an answer and starts all rounds anew, after a pause
  // of this process in which no answer could be taken.
  void Restart(TimePoint now);

  void OnTick(TimePoint now);

 private:
  // One round of probes of one router.
  struct Round {
    // 0 while no answer is waited for.
    uint64_t sequence = 0;
    int attempts = 0;
    // The next step of the round, or the start of the next round.
    TimePoint due;
    TimePoint next_start;
  };

  void Step(const RouterId& target, Round* round, TimePoint now);
  void Start(const RouterId& target, Round* round, TimePoint now);

  const Duration period_;
  const Hooks hooks_;
  Random random_;
  std::map<RouterId, Round> rounds_;
};

}  // namespace papaya

#endif  // SRC_MEMBERSHIP_PROBER_H_
