#ifndef INCLUDE_ROLLOUT_STATS_SENDER_H_
#define INCLUDE_ROLLOUT_STATS_SENDER_H_

#include <functional>
#include <optional>
#include <set>
#include <vector>

#include "include/base/ids.h"
#include "include/base/units.h"
#include "include/rollout/version_stats.h"

namespace papaya {

// Sends one router's counts to the judges of each pool. A report is sent only
// once enough time has passed since the last one for its size, so that a judge
// receives at most kJudgeBytesPerSecond from all routers together.
class StatsSender {
 public:
  // The limit on what one judge receives from all routers together.
  static constexpr double kJudgeBytesPerSecond = 4000.0;

  using SendHook =
      std::function<void(const RouterId& judge, const StatsReport& report)>;

  // `stats` must outlive this object. `send` is called for each judge that
  // receives a report, and once a second with `self` and all counts: every
  // router judges by its own counts, also if it is not a judge of the pool, so
  // that it can stop a bad version when it cannot reach other routers.
  StatsSender(const RouterId& self, VersionStats* stats, SendHook send);

  // True if OnTick would send a report or check whether one is due. False
  // except once a second.
  bool IsDue(TimePoint now) const { return now >= next_check_; }

  // Sends the reports that are due. Call every 100 ms, or when IsDue() is true.
  // `routers` are the live routers, including this one.
  void OnTick(TimePoint now, const std::vector<RouterId>& routers);

 private:
  // The counted pools for which this router is one of the reporting routers.
  std::set<PoolId> PoolsToReport(const std::vector<RouterId>& routers) const;

  void Send(const StatsReport& report, const std::vector<RouterId>& routers);

  const RouterId self_;
  VersionStats* const stats_;
  const SendHook send_;
  // The time of the last report to other routers; the time of the first tick
  // until there was one; empty before the first tick.
  std::optional<TimePoint> last_report_;
  TimePoint next_check_;
};

}  // namespace papaya

#endif  // INCLUDE_ROLLOUT_STATS_SENDER_H_
