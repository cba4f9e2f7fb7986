#include "src/membership/prober.h"

#include <algorithm>
#include <utility>

namespace papaya {

namespace {

constexpr int kDirectAttempts = 3;
// From one direct attempt to the next; longer than a round trip between the
// farthest regions.
constexpr Duration kRetryDelay = std::chrono::milliseconds(250);
// From the requests to others to the end of the round.
constexpr Duration kIndirectDelay = std::chrono::milliseconds(500);
constexpr double kPeriodSpread = 0.1;

}  // namespace

Prober::Prober(Duration period, Hooks hooks, Random random)
    : period_(period), hooks_(std::move(hooks)), random_(random) {}

void Prober::SetTargets(const std::vector<RouterId>& targets, TimePoint now) {
  std::map<RouterId, Round> rounds;
  for (const RouterId& target : targets) {
    const auto known = rounds_.find(target);
    if (known != rounds_.end()) {
      rounds[target] = known->second;
      continue;
    }
    rounds[target].due =
        now + SecondsToDuration(ToSeconds(period_) * random_.Uniform());
  }
  rounds_ = std::move(rounds);
}

void Prober::OnAck(uint64_t sequence) {
  if (sequence == 0) {
    return;
  }
  const auto found = std::find_if(
      rounds_.begin(), rounds_.end(),
      [sequence](const auto& e) { return e.second.sequence == sequence; });
  if (found == rounds_.end()) {
    return;
  }
  found->second.sequence = 0;
  found->second.due = found->second.next_start;
}

void Prober::Restart(TimePoint now) {
  for (auto& [target, round] : rounds_) {
    round = {};
    round.due = now + SecondsToDuration(ToSeconds(period_) * random_.Uniform());
  }
}

void Prober::OnTick(TimePoint now) {
  // A failure may change the targets, so the steps run on a copy of the names.
  std::vector<RouterId> due;
  for (const auto& [target, round] : rounds_) {
    if (now >= round.due) {
      due.push_back(target);
    }
  }
  for (const RouterId& target : due) {
    const auto found = rounds_.find(target);
    if (found != rounds_.end()) {
      Step(target, &found->second, now);
    }
  }
}

void Prober::Step(const RouterId& target, Round* round, TimePoint now) {
  if (round->sequence == 0) {
    Start(target, round, now);
    return;
  }
  ++round->attempts;
  if (round->attempts <= kDirectAttempts + 1) {
    hooks_.introduce(target);
  }
  if (round->attempts <= kDirectAttempts) {
    round->due = now + kRetryDelay;
    hooks_.probe(target, round->sequence);
    return;
  }
  if (round->attempts == kDirectAttempts + 1) {
    round->due = now + kIndirectDelay;
    const uint64_t sequence = round->sequence;
    hooks_.probe(target, sequence);
    hooks_.ask_others(target, sequence);
    return;
  }
  round->sequence = 0;
  round->due = now;
  hooks_.failed(target);
}

void Prober::Start(const RouterId& target, Round* round, TimePoint now) {
  round->sequence = random_.Next64() | 1;
  round->attempts = 1;
  round->due = now + kRetryDelay;
  round->next_start = now + random_.Jitter(period_, kPeriodSpread);
  hooks_.probe(target, round->sequence);
}

}  // namespace papaya
