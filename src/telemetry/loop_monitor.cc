#include "include/telemetry/loop_monitor.h"

#include <algorithm>
#include <string>

namespace papaya {

namespace {

// The fields of kLoopDelayed, by LoopWork.
constexpr std::array<const char*, 4> kWorkFields = {"requests_ms", "peers_ms",
                                                    "snapshots_ms", "ticks_ms"};

std::string FormatMilliseconds(Duration duration) {
  return std::to_string(duration / std::chrono::milliseconds(1));
}

}  // namespace

std::optional<LoopWork> LoopMonitor::Enter(LoopWork work) {
  Account(now_());
  return std::exchange(current_, work);
}

void LoopMonitor::Leave(std::optional<LoopWork> outer) {
  Account(now_());
  current_ = outer;
}

void LoopMonitor::Account(TimePoint now) {
  if (current_.has_value()) {
    spent_[static_cast<size_t>(*current_)] += now - changed_;
  }
  changed_ = now;
}

void LoopMonitor::OnTimer(TimePoint due) {
  last_delay_ = std::max(Duration(), now_() - due);
  longest_delay_ = std::max(longest_delay_, last_delay_);
}

Duration LoopMonitor::Delay() const {
  if (!next_due_.has_value()) {
    return last_delay_;
  }
  return std::max(last_delay_, now_() - *next_due_);
}

std::optional<Event> LoopMonitor::TakeReport() {
  const TimePoint now = now_();
  if (now - interval_start_ < kReportInterval) {
    return std::nullopt;
  }
  const Duration length = now - interval_start_;
  interval_start_ = now;
  const Duration longest = std::exchange(longest_delay_, Duration());
  const std::array<Duration, kWorkKinds> spent = std::exchange(spent_, {});
  if (longest < kReportedDelay) {
    return std::nullopt;
  }
  Event event{.id = EventId::kLoopDelayed};
  event.fields = {{"delay_ms", FormatMilliseconds(longest)},
                  {"interval_ms", FormatMilliseconds(length)}};
  for (size_t i = 0; i < kWorkKinds; ++i) {
    event.fields.emplace_back(kWorkFields[i], FormatMilliseconds(spent[i]));
  }
  return event;
}

}  // namespace papaya
