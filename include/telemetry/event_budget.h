#ifndef INCLUDE_TELEMETRY_EVENT_BUDGET_H_
#define INCLUDE_TELEMETRY_EVENT_BUDGET_H_

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "include/base/units.h"
#include "include/telemetry/event.h"

namespace papaya {

// Bounds the log lines of events that come with every request: each event id
// may be logged so many times a second, and what was left out is told once a
// second. One thread.
class EventBudget {
 public:
  // `limits` by id; events without one are never left out.
  explicit EventBudget(std::map<EventId, int> limits)
      : limits_(std::move(limits)) {}

  // True if the event may be logged now.
  bool Take(EventId id, TimePoint now);

  // The event that says how many were left out in the second before, if any
  // were and it was not told yet.
  std::optional<Event> TakeLoss(TimePoint now);

 private:
  // The second that `now` is in.
  void Roll(TimePoint now);

  const std::map<EventId, int> limits_;
  int64_t second_ = 0;
  std::map<EventId, int> taken_;
  std::map<EventId, int> left_out_;
  std::optional<Event> loss_;
};

}  // namespace papaya

#endif  // INCLUDE_TELEMETRY_EVENT_BUDGET_H_
