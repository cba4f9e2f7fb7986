#ifndef SRC_CONFIG_FACT_GOSSIP_H_
#define SRC_CONFIG_FACT_GOSSIP_H_

#include <cstddef>
#include <functional>
#include <memory>

#include "include/config/config_messages.h"
#include "include/config/fact_set.h"
#include "include/telemetry/event.h"

namespace papaya {

// The facts of one router, and which of them are still to be told on.
class FactGossip {
 public:
  struct Hooks {
    // The facts grew, or a revision made some moot.
    std::function<void(const FactSet&)> changed;
    EventHook event;
  };

  explicit FactGossip(Hooks hooks) : hooks_(std::move(hooks)) {}

  // Adds a fact of this router. False if the set is full.
  template <typename Fact>
  bool Add(const Fact& fact) {
    if (Learn(fact)) {
      hooks_.changed(facts_);
      return true;
    }
    return facts_.Add(fact) != FactSet::AddResult::kFull;
  }

  // Facts from another router.
  void Take(const FactNews& news);

  // What was learnt since the last call.
  FactNews TakeNews();

  // The facts, at most a message full; the next call goes on from there.
  FactNews TakeSome();

  void OnConfig(std::shared_ptr<const FleetConfig> config);

  const FactSet& facts() const { return facts_; }

 private:
  // True if the fact is new.
  bool Learn(const StoppedVersion& fact);
  bool Learn(const LeavingUpstream& fact);
  bool CheckAdded(FactSet::AddResult result, const Event& event);

  const Hooks hooks_;
  FactSet facts_;
  FactNews news_;
  size_t cursor_ = 0;
};

}  // namespace papaya

#endif  // SRC_CONFIG_FACT_GOSSIP_H_
