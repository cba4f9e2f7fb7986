#ifndef INCLUDE_TELEMETRY_LOOP_MONITOR_H_
#define INCLUDE_TELEMETRY_LOOP_MONITOR_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <utility>

#include "include/base/units.h"
#include "include/telemetry/event.h"

namespace papaya {

// What an event loop spends its time on.
enum class LoopWork : uint8_t {
  kRequests,   // new requests of callers
  kPeers,      // messages of other routers
  kSnapshots,  // new routing snapshots
  kTicks,      // periodic work
};

// Measures how late an event loop handles its events, and which work delays
// them. While the loop is busy, received bytes and closed connections wait in
// the system, where no other measurement of the process sees them.
// Single-threaded.
class LoopMonitor {
 public:
  // Attributes the time from its construction to its destruction to one kind of
  // work, without the time of scopes inside it.
  class Scope {
   public:
    Scope(LoopMonitor* monitor, LoopWork work)
        : monitor_(monitor), outer_(monitor->Enter(work)) {}
    ~Scope() { monitor_->Leave(outer_); }
    Scope(const Scope&) = delete;
    Scope& operator=(const Scope&) = delete;

   private:
    LoopMonitor* const monitor_;
    const std::optional<LoopWork> outer_;
  };

  explicit LoopMonitor(std::function<TimePoint()> now) : now_(std::move(now)) {}

  // Call when a timer that was due at `due` is handled. The delays of regular
  // timers are the measurement.
  void OnTimer(TimePoint due);

  // Sets when the next timer is due. If it is overdue, that counts as a delay
  // before the timer is handled.
  void SetNextTimer(TimePoint due) { next_due_ = due; }

  // Returns an estimate of how long events handled now have waited.
  Duration Delay() const;

  // Returns a kLoopDelayed event if a delay of kReportedDelay or more was
  // measured and the last such event is a second or more ago.
  std::optional<Event> TakeReport();

 private:
  static constexpr Duration kReportedDelay = std::chrono::milliseconds(200);
  static constexpr Duration kReportInterval = std::chrono::seconds(1);
  static constexpr size_t kWorkKinds = 4;

  // Begins `work` and returns the work that it interrupts.
  std::optional<LoopWork> Enter(LoopWork work);
  void Leave(std::optional<LoopWork> outer);
  // Adds the time since the last change to the current work.
  void Account(TimePoint now);

  const std::function<TimePoint()> now_;
  std::optional<LoopWork> current_;
  TimePoint changed_;
  // Time spent on each kind of work since the last interval began.
  std::array<Duration, kWorkKinds> spent_{};
  TimePoint interval_start_;
  Duration last_delay_{};
  // In the current interval.
  Duration longest_delay_{};
  std::optional<TimePoint> next_due_;
};

}  // namespace papaya

#endif  // INCLUDE_TELEMETRY_LOOP_MONITOR_H_
