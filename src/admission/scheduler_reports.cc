// The part of SchedulerCore that tells the other routers of its demand.

#include <algorithm>
#include <utility>

#include "include/admission/demand_packing.h"
#include "src/admission/scheduler_core.h"

namespace papaya {

namespace {

// A report that says nothing new goes out this often.
constexpr Duration kStillInterval = std::chrono::seconds(1);

}  // namespace

DemandReport SchedulerCore::MakeReport() {
  DemandReport report;
  report.router = options_.router;
  report.incarnation = options_.incarnation;
  report.sequence = own_report_.sequence + 1;
  for (size_t i = 0; i < groups_.size(); ++i) {
    const GroupState& group = groups_.at(static_cast<int32_t>(i));
    if (group.IsIdle()) {
      continue;
    }
    GroupDemand demand;
    demand.group = group.name;
    demand.short_tier = group.own_short;
    for (size_t tier = 0; tier < kTierCount; ++tier) {
      demand.tiers[tier] = {group.running[tier],
                            static_cast<int32_t>(group.queues[tier].size())};
    }
    report.groups.push_back(std::move(demand));
  }
  for (size_t i = 0; i < upstreams_.size(); ++i) {
    const UpstreamState& state = upstreams_.at(static_cast<int32_t>(i));
    if (state.running == 0 && !state.straggler.set_aside && !state.is_leaving) {
      continue;
    }
    report.upstreams.push_back({state.id, state.running,
                                Tokens(static_cast<int64_t>(state.prefill)),
                                state.straggler.set_aside, state.is_leaving});
  }
  return report;
}

bool SchedulerCore::IsPressed() {
  if (has_critical_news_) {
    return true;
  }
  for (size_t i = 0; i < groups_.size(); ++i) {
    const GroupState& group = groups_.at(static_cast<int32_t>(i));
    if (group.own_short == Tier::kCritical ||
        (group.peer_short == Tier::kCritical && !group.IsIdle())) {
      return true;
    }
  }
  return false;
}

bool SchedulerCore::IsNews(const DemandReport& report, TimePoint now) const {
  if (has_short_news_ || now - last_report_ >= kStillInterval ||
      report.groups != own_report_.groups ||
      report.upstreams != own_report_.upstreams) {
    return true;
  }
  for (size_t i = 0; i < upstreams_.size(); ++i) {
    if (upstreams_.at(static_cast<int32_t>(i)).given_away > 0) {
      return true;
    }
  }
  // While one is short, the next one to give up a stream is drawn by report.
  return std::any_of(
      report.groups.begin(), report.groups.end(),
      [](const GroupDemand& demand) { return demand.short_tier.has_value(); });
}

void SchedulerCore::SendReport(TimePoint now) {
  DemandReport report = MakeReport();
  if (!IsNews(report, now)) {
    return;
  }
  last_report_ = now;
  has_short_news_ = false;
  has_critical_news_ = false;
  own_report_ = std::move(report);
  if (snapshot_ != nullptr) {
    pacer_.OnReport(DemandCost(own_report_, *snapshot_), now);
  }
  for (size_t i = 0; i < upstreams_.size(); ++i) {
    UpstreamState& state = upstreams_.at(static_cast<int32_t>(i));
    state.given_away = 0;
    state.reported_running = state.running;
  }
  has_peer_news_ = true;
  hooks_.send_demand(own_report_);
}

}  // namespace papaya
