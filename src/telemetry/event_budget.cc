#include "include/telemetry/event_budget.h"

#include <string>
#include <utility>

namespace papaya {

void EventBudget::Roll(TimePoint now) {
  const int64_t second = now.time_since_epoch() / std::chrono::seconds(1);
  if (second == second_) {
    return;
  }
  second_ = second;
  taken_.clear();
  if (left_out_.empty()) {
    return;
  }
  Event loss{.id = EventId::kEventsLeftOut};
  for (const auto& [id, count] : std::exchange(left_out_, {})) {
    loss.fields.emplace_back(GetEventInfo(id).name, std::to_string(count));
  }
  loss_ = std::move(loss);
}

bool EventBudget::Take(EventId id, TimePoint now) {
  const auto limit = limits_.find(id);
  if (limit == limits_.end()) {
    return true;
  }
  Roll(now);
  if (taken_[id] < limit->second) {
    ++taken_[id];
    return true;
  }
  ++left_out_[id];
  return false;
}

std::optional<Event> EventBudget::TakeLoss(TimePoint now) {
  Roll(now);
  return std::exchange(loss_, std::nullopt);
}

}  // namespace papaya
