// The part of SchedulerCore that reports its demand to the other routers.

#include <algorithm>
#include <utility>
#include <vector>

#include "include/admission/demand_packing.h"
#include "include/admission/demand_share.h"
#include "src/admission/scheduler_core.h"

namespace papaya {

namespace {

// Interval between reports without changes.
constexpr Duration kUnchangedInterval = std::chrono::seconds(1);

// True if critical requests of `group` lack slots here, or lack them at another
// router while this router has work in the group.
bool HasCriticalShortage(const GroupState& group) {
  return group.own_short == Tier::kCritical ||
         (group.peer_short == Tier::kCritical && !group.IsIdle());
}

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
                            static_cast<int32_t>(group.WaitingOf(tier))};
    }
    report.groups.push_back(std::move(demand));
  }
  for (size_t i = 0; i < upstreams_.size(); ++i) {
    const UpstreamState& state = upstreams_.at(static_cast<int32_t>(i));
    if (state.running == 0 && !state.straggler.ejected && !state.is_leaving) {
      continue;
    }
    report.upstreams.push_back({state.id, state.running,
                                Tokens(static_cast<int64_t>(state.prefill)),
                                state.straggler.ejected, state.is_leaving});
  }
  return report;
}

SlotShortage SchedulerCore::FindSlotShortage() {
  SlotShortage shortage;
  for (size_t i = 0; i < groups_.size(); ++i) {
    const GroupState& group = groups_.at(static_cast<int32_t>(i));
    if (!HasCriticalShortage(group)) {
      continue;
    }
    shortage.groups.insert(group.name);
    for (int32_t number : group.upstreams) {
      const UpstreamState& state = upstreams_.at(number);
      shortage.upstreams.insert(state.id);
      if (group.own_short == Tier::kCritical && state.prefill > 0.0 &&
          state.TotalReported() > state.slots) {
        shortage.oversubscribed.insert(state.id);
      }
    }
  }
  for (size_t i = 0; i < upstreams_.size(); ++i) {
    const UpstreamState& state = upstreams_.at(static_cast<int32_t>(i));
    if (state.yielded_slots > 0) {
      shortage.upstreams.insert(state.id);
    }
  }
  return shortage;
}

bool SchedulerCore::HasAnyCriticalShortage() {
  if (has_critical_shortage_change_) {
    return true;
  }
  for (size_t i = 0; i < groups_.size(); ++i) {
    if (HasCriticalShortage(groups_.at(static_cast<int32_t>(i)))) {
      return true;
    }
  }
  return false;
}

bool SchedulerCore::HasChanges(const DemandReport& report,
                               TimePoint now) const {
  if (has_shortage_change_ || now - last_report_ >= kUnchangedInterval ||
      report.groups != own_report_.groups ||
      report.upstreams != own_report_.upstreams) {
    return true;
  }
  for (size_t i = 0; i < upstreams_.size(); ++i) {
    if (upstreams_.at(static_cast<int32_t>(i)).yielded_slots > 0) {
      return true;
    }
  }
  // During a shortage, the sequence number of each report selects the next
  // router that preempts an attempt.
  return std::any_of(
      report.groups.begin(), report.groups.end(),
      [](const GroupDemand& demand) { return demand.short_tier.has_value(); });
}

void SchedulerCore::ReportIfDue(TimePoint now) {
  if (pacer_.MayReport(now)) {
    SendToAll(now);
    return;
  }
  const bool may_check =
      pacer_.MayReportShortage(now) && now >= next_due_check_;
  if ((has_shortage_change_ && pacer_.MayReportUrgently(now)) ||
      (may_check &&
       (HasAnyCriticalShortage() || sent_demand_.IsAnyOverdue(now)))) {
    SendToDue(now);
  }
}

void SchedulerCore::SendToAll(TimePoint now) {
  DemandReport report = MakeReport();
  if (!HasChanges(report, now)) {
    return;
  }
  DemandParts parts;
  if (snapshot_ != nullptr) {
    parts = SplitDemandReport(report, *snapshot_);
    sent_demand_.RecordAllSent(parts, FindSlotShortage(), now);
    pacer_.OnReport(DemandWireSize(parts), now);
  }
  Send(std::move(report), parts, now);
}

void SchedulerCore::SendToDue(TimePoint now) {
  if (snapshot_ == nullptr) {
    return;
  }
  next_due_check_ = now + options_.report_interval;
  DemandReport report = MakeReport();
  DemandParts parts = SplitDemandReport(report, *snapshot_);
  const auto has_recent_report = [this, now](const RouterId& router) {
    return peers_.Find(router, now) != nullptr;
  };
  const std::vector<RouterId> due =
      sent_demand_.SelectDue(parts, FindSlotShortage(), has_recent_report, now);
  // SelectDue has returned every router that did not know of the changes.
  has_shortage_change_ = false;
  has_critical_shortage_change_ = false;
  if (due.empty()) {
    return;
  }
  std::erase_if(parts, [&due](const auto& item) {
    return !std::binary_search(due.begin(), due.end(), item.first);
  });
  pacer_.OnReport(DemandWireSize(parts), now);
  Send(std::move(report), parts, now);
}

void SchedulerCore::Send(DemandReport report,
                         const DemandParts& parts,
                         TimePoint now) {
  last_report_ = now;
  has_shortage_change_ = false;
  has_critical_shortage_change_ = false;
  own_report_ = std::move(report);
  for (size_t i = 0; i < upstreams_.size(); ++i) {
    UpstreamState& state = upstreams_.at(static_cast<int32_t>(i));
    state.yielded_slots = 0;
    state.reported_running = state.running;
  }
  has_new_peer_reports_ = true;
  hooks_.send_demand(own_report_, parts);
}

}  // namespace papaya
