#include "src/admission/broken_attempts.h"

#include <algorithm>
#include <utility>

namespace papaya {

void BrokenAttempts::Add(CrashId upstream,
                         std::vector<PromptPartId> parts,
                         std::optional<PromptPartId> own,
                         TimePoint now) {
  const bool is_known = !parts.empty() || own.has_value();
  if (!is_known || size_ >= kCapacity) {
    return;
  }
  held_[upstream].push_back(
      {.parts = std::move(parts), .broken = now, .own = own});
  ++size_;
}

void BrokenAttempts::OnAlive(CrashId upstream, TimePoint now) {
  const auto found = held_.find(upstream);
  if (found == held_.end()) {
    return;
  }
  size_ -= std::erase_if(found->second, [now](const Attempt& attempt) {
    return now - attempt.broken > kReadDelay;
  });
  if (found->second.empty()) {
    held_.erase(found);
  }
}

std::vector<BrokenAttempts::Crash> BrokenAttempts::TakeCrashes(TimePoint now) {
  std::vector<Crash> crashes;
  for (auto entry = held_.begin(); entry != held_.end();) {
    std::vector<Attempt>& attempts = entry->second;
    const auto held = std::stable_partition(
        attempts.begin(), attempts.end(), [now](const Attempt& attempt) {
          return now - attempt.broken >= kHoldTime;
        });
    if (held != attempts.begin()) {
      Crash crash{.id = entry->first, .attempts = {}};
      crash.attempts.assign(std::make_move_iterator(attempts.begin()),
                            std::make_move_iterator(held));
      size_ -= crash.attempts.size();
      attempts.erase(attempts.begin(), held);
      crashes.push_back(std::move(crash));
    }
    const auto current = entry++;
    if (current->second.empty()) {
      held_.erase(current);
    }
  }
  return crashes;
}

}  // namespace papaya
