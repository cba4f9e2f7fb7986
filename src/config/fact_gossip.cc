#include "src/config/fact_gossip.h"

#include <algorithm>
#include <utility>

namespace papaya {

namespace {

constexpr size_t kMaxFactsPerMessage = 256;

// At most kMaxFactsPerMessage of `facts`, from the `cursor`-th on and round.
template <typename Fact>
void KeepSome(size_t cursor, std::vector<Fact>* facts) {
  if (facts->size() <= kMaxFactsPerMessage) {
    return;
  }
  const auto start = static_cast<std::ptrdiff_t>(cursor % facts->size());
  std::rotate(facts->begin(), facts->begin() + start, facts->end());
  facts->resize(kMaxFactsPerMessage);
}

}  // namespace

void FactGossip::Take(const FactNews& news) {
  bool is_changed = false;
  for (const StoppedVersion& fact : news.stopped) {
    is_changed |= Learn(fact);
  }
  for (const LeavingUpstream& fact : news.leaving) {
    is_changed |= Learn(fact);
  }
  if (is_changed) {
    hooks_.changed(facts_);
  }
}

FactNews FactGossip::TakeNews() {
  return std::exchange(news_, {});
}

FactNews FactGossip::TakeSome() {
  FactNews some;
  some.stopped = facts_.stopped();
  for (const auto& [id, since] : facts_.leaving()) {
    some.leaving.push_back({id, since});
  }
  KeepSome(cursor_, &some.stopped);
  KeepSome(cursor_, &some.leaving);
  cursor_ += kMaxFactsPerMessage;
  return some;
}

void FactGossip::OnConfig(std::shared_ptr<const FleetConfig> config) {
  const uint64_t old_hash = facts_.hash();
  facts_.OnConfig(std::move(config));
  if (facts_.hash() != old_hash) {
    hooks_.changed(facts_);
  }
}

bool FactGossip::Learn(const StoppedVersion& fact) {
  const Event event{EventId::kVersionStopped,
                    {{"note", fact.note.value()},
                     {"pool", fact.pool.value()},
                     {"version", fact.version.value()},
                     {"upstream", fact.upstream.value()},
                     {"reason", fact.reason}}};
  if (!CheckAdded(facts_.Add(fact), event)) {
    return false;
  }
  news_.stopped.push_back(fact);
  return true;
}

bool FactGossip::Learn(const LeavingUpstream& fact) {
  const Event event{EventId::kUpstreamLeaving, {{"upstream", fact.id.value()}}};
  if (!CheckAdded(facts_.Add(fact), event)) {
    return false;
  }
  news_.leaving.push_back(fact);
  return true;
}

bool FactGossip::CheckAdded(FactSet::AddResult result, const Event& event) {
  if (result == FactSet::AddResult::kFull) {
    hooks_.event({EventId::kFactRefused, event.fields});
  }
  if (result != FactSet::AddResult::kAdded) {
    return false;
  }
  hooks_.event(event);
  return true;
}

}  // namespace papaya
