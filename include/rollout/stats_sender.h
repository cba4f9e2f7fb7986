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

// Tells the judges of each pool what one router has counted, as often as what
// a judge may receive from all routers together allows: a report waits until
// the time since the last one has paid for it.
class StatsSender {
 public:
  // What a judge receives from all routers together, in bytes a second.
  static constexpr double kJudgeBytesPerSecond = 4000.0;

  using SendHook =
      std::function<void(const RouterId& judge, const StatsReport& report)>;

  // `stats` must outlive this. `send` is called for each judge, and once a
  // second for `self`: this router's own counts go to its own judge whether it
  // judges for others or not, so that it can stop by itself when it reaches
  // nobody.
  StatsSender(const RouterId& self, VersionStats* stats, SendHook send);

  // True if it is time for OnTick to look; false most of the time.
  bool IsDue(TimePoint now) const { return now >= next_check_; }

  // Call every 100 ms, or when IsDue, with the routers that live, this one
  // among them.
  void OnTick(TimePoint now, const std::vector<RouterId>& routers);

 private:
  // The pools whose judges hear this router's counts.
  std::set<PoolId> PoolsToReport(const std::vector<RouterId>& routers) const;

  void Send(const StatsReport& report, const std::vector<RouterId>& routers);

  const RouterId self_;
  VersionStats* const stats_;
  const SendHook send_;
  // Empty until the first tick.
  std::optional<TimePoint> last_report_;
  TimePoint next_check_;
};

}  // namespace papaya

#endif  // INCLUDE_ROLLOUT_STATS_SENDER_H_
