#include "include/rollout/stats_sender.h"

#include <algorithm>
#include <map>
#include <utility>

#include "absl/algorithm/container.h"

namespace papaya {

namespace {

constexpr Duration kReportCheckInterval = std::chrono::seconds(1);

}  // namespace

StatsSender::StatsSender(const RouterId& self,
                         VersionStats* stats,
                         SendHook send)
    : self_(self), stats_(stats), send_(std::move(send)) {}

void StatsSender::OnTick(TimePoint now, const std::vector<RouterId>& routers) {
  if (!IsDue(now)) {
    return;
  }
  last_report_ = last_report_.value_or(now);
  next_check_ = now + kReportCheckInterval;
  send_(self_, stats_->MakeSnapshot());
  const std::set<PoolId> wanted = PoolsToReport(routers);
  const Duration interval = VersionStats::ReportInterval(
      std::min(routers.size(), kReportersPerPool),
      stats_->NextReportBytes(wanted), kJudgeBytesPerSecond);
  if (now - *last_report_ < interval) {
    return;
  }
  last_report_ = now;
  Send(stats_->MakeReport(wanted), routers);
}

std::set<PoolId> StatsSender::PoolsToReport(
    const std::vector<RouterId>& routers) const {
  std::set<PoolId> pools = stats_->CountedPools();
  std::erase_if(pools, [this, &routers](const PoolId& pool) {
    return !absl::c_linear_search(ReportersOf(pool, routers), self_);
  });
  return pools;
}

void StatsSender::Send(const StatsReport& report,
                       const std::vector<RouterId>& routers) {
  std::map<RouterId, StatsReport> by_judge;
  std::map<PoolId, std::vector<RouterId>> judges;
  for (const StatsRow& row : report.rows) {
    const auto [found, is_new] = judges.try_emplace(row.key.pool);
    if (is_new) {
      found->second = JudgesOf(row.key.pool, routers);
    }
    for (const RouterId& judge : found->second) {
      StatsReport& part = by_judge[judge];
      part.router = report.router;
      part.incarnation = report.incarnation;
      part.sequence = report.sequence;
      part.rows.push_back(row);
    }
  }
  by_judge.erase(self_);
  for (const auto& [judge, part] : by_judge) {
    send_(judge, part);
  }
}

}  // namespace papaya
