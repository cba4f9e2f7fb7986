#ifndef SRC_ADMISSION_DEMAND_PACER_H_
#define SRC_ADMISSION_DEMAND_PACER_H_

#include <algorithm>

#include "include/base/units.h"

namespace papaya {

// Decides when a router may send its next demand report, so that all reports
// together stay within a budget of bytes a second. In a small fleet reports go
// out at the minimum interval; the interval grows with the size of the reports.
class DemandPacer {
 public:
  // Longest interval between reports to any router. Must stay well below the
  // time after which a router counts as unresponsive.
  static constexpr Duration kMaxReportInterval = std::chrono::seconds(2);

  // Reports are at least `interval` apart and take at most `bytes_per_second`
  // on average. Exceptions are reports allowed by MayReportShortage, and
  // reports that alone exceed the budget of kMaxReportInterval.
  DemandPacer(Duration interval, Bytes bytes_per_second)
      : interval_(interval),
        bytes_per_second_(static_cast<double>(bytes_per_second.value())) {}

  // True if a regular report may go out.
  bool MayReport(TimePoint now) const {
    return now - last_ >= interval_ &&
           (now >= debt_cleared_at_ || now - last_ >= kMaxReportInterval);
  }

  // True if an urgent report may go out. It may exceed the budget for now; the
  // next regular reports then wait longer.
  bool MayReportUrgently(TimePoint now) const {
    return now - last_ >= kUrgentInterval && debt_cleared_at_ - now <= kMaxDebt;
  }

  // True if a report about a shortage of slots for critical requests may go
  // out. It ignores the budget, because no critical request may be shed before
  // lower tiers.
  bool MayReportShortage(TimePoint now) const {
    return now - last_ >= kShortageInterval;
  }

  // Records that a report of `cost` bytes was sent.
  void OnReport(Bytes cost, TimePoint now) {
    const Duration time = SecondsToDuration(static_cast<double>(cost.value()) /
                                            bytes_per_second_);
    current_interval_ =
        std::clamp(now - last_, interval_, std::max(interval_, time));
    last_ = now;
    // Debt above kMaxDebt comes from MayReportShortage and is dropped: a router
    // must not stop reporting after a shortage.
    debt_cleared_at_ = std::clamp(debt_cleared_at_, now, now + kMaxDebt) + time;
  }

  // Current interval between reports.
  Duration interval() const { return current_interval_; }

 private:
  // Minimum interval between urgent reports, which say that a shortage begins
  // or ends.
  static constexpr Duration kUrgentInterval = std::chrono::milliseconds(50);
  static constexpr Duration kShortageInterval = std::chrono::milliseconds(250);
  static constexpr Duration kMaxDebt = std::chrono::seconds(1);

  Duration interval_;
  double bytes_per_second_;
  TimePoint last_;
  // Time when the budget covers all reports sent so far.
  TimePoint debt_cleared_at_;
  Duration current_interval_ = interval_;
};

}  // namespace papaya

#endif  // SRC_ADMISSION_DEMAND_PACER_H_
