#ifndef SRC_ADMISSION_DEMAND_PACER_H_
#define SRC_ADMISSION_DEMAND_PACER_H_

#include <algorithm>

#include "include/base/units.h"

namespace papaya {

// Says when a router's next demand report may go out, so that all of them
// together keep to a budget of bytes a second. A small fleet reports at the
// shortest interval; where a report takes many bytes, the interval grows.
class DemandPacer {
 public:
  // All are told this often at least. Must stay well below the time after which
  // a router counts as silent.
  static constexpr Duration kMaxReportInterval = std::chrono::seconds(2);

  // Reports come `interval` apart at least, and take `bytes_per_second` at
  // most on the average, but for those sent because of MayReportShortage and
  // those that take more than the budget of kMaxReportInterval.
  DemandPacer(Duration interval, Bytes bytes_per_second)
      : interval_(interval),
        bytes_per_second_(static_cast<double>(bytes_per_second.value())) {}

  // True if a report may go out as a matter of course.
  bool MayReport(TimePoint now) const {
    return now - last_ >= interval_ &&
           (now >= debt_cleared_at_ || now - last_ >= kMaxReportInterval);
  }

  // True if one may go out that must not wait: it may be paid for later.
  bool MayReportUrgently(TimePoint now) const {
    return now - last_ >= kUrgentInterval && debt_cleared_at_ - now <= kMaxDebt;
  }

  // True if one may go out while critical requests are short of slots anywhere:
  // that none is shed before lower tiers comes before the budget.
  bool MayReportShortage(TimePoint now) const {
    return now - last_ >= kShortageInterval;
  }

  // Counts a report that went out and takes `cost`.
  void OnReport(Bytes cost, TimePoint now) {
    const Duration time = SecondsToDuration(static_cast<double>(cost.value()) /
                                            bytes_per_second_);
    current_interval_ =
        std::clamp(now - last_, interval_, std::max(interval_, time));
    last_ = now;
    // What is beyond the debt allowed was sent under MayReportShortage, and is
    // not made up for: a router must not fall silent after a shortage.
    debt_cleared_at_ = std::clamp(debt_cleared_at_, now, now + kMaxDebt) + time;
  }

  // The time between reports of late.
  Duration interval() const { return current_interval_; }

 private:
  // Reports about a shortage that begins or ends go out at most this often.
  static constexpr Duration kUrgentInterval = std::chrono::milliseconds(50);
  static constexpr Duration kShortageInterval = std::chrono::milliseconds(250);
  static constexpr Duration kMaxDebt = std::chrono::seconds(1);

  Duration interval_;
  double bytes_per_second_;
  TimePoint last_;
  // When all that went out is within the budget.
  TimePoint debt_cleared_at_;
  Duration current_interval_ = interval_;
};

}  // namespace papaya

#endif  // SRC_ADMISSION_DEMAND_PACER_H_
