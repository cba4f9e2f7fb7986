#include "src/admission/sent_demand_tracker.h"

#include <algorithm>
#include <cstdlib>

namespace papaya {

namespace {

// A count has changed much if it differs by more than 1/kLargeChangeDivisor of
// the larger value.
constexpr int kLargeChangeDivisor = 4;

bool IsLargeChange(int before, int after) {
  if ((before == 0) != (after == 0)) {
    return true;
  }
  return std::abs(after - before) * kLargeChangeDivisor >
         std::max(before, after);
}

int LowerRunning(const GroupDemand& demand) {
  int sum = 0;
  for (size_t i = TierIndex(Tier::kCritical) + 1; i < kTierCount; ++i) {
    sum += demand.tiers[i].running;
  }
  return sum;
}

GroupDemand DemandOf(const DemandReport& part, const PoolVersion& name) {
  const GroupDemand* found = FindGroup(part, name);
  return found != nullptr ? *found : GroupDemand{.group = name};
}

UpstreamUse UseOf(const DemandReport& part, const UpstreamId& id) {
  for (const UpstreamUse& use : part.upstreams) {
    if (use.upstream == id) {
      return use;
    }
  }
  return {.upstream = id};
}

bool IsRelevantGroupChange(const GroupDemand& sent,
                           const GroupDemand& part,
                           const SlotShortage& shortage) {
  if (sent.short_tier != part.short_tier) {
    return true;
  }
  if (!shortage.groups.contains(part.group)) {
    return false;
  }
  const TierDemand& before = sent.tiers[TierIndex(Tier::kCritical)];
  const TierDemand& after = part.tiers[TierIndex(Tier::kCritical)];
  return IsLargeChange(before.waiting, after.waiting) ||
         IsLargeChange(before.running + before.waiting,
                       after.running + after.waiting) ||
         IsLargeChange(LowerRunning(sent), LowerRunning(part));
}

bool IsRelevantUseChange(const UpstreamUse& sent,
                         const UpstreamUse& part,
                         const SlotShortage& shortage) {
  return sent.leaving != part.leaving ||
         (sent.running != part.running &&
          shortage.upstreams.contains(part.upstream)) ||
         (part.running > 0 && shortage.oversubscribed.contains(part.upstream));
}

// True if `part` differs from `sent` in a way that the receiver must know at
// once. A group or upstream that is missing in one of the reports counts as
// having no work there.
bool HasRelevantChange(const DemandReport& sent,
                       const DemandReport& part,
                       const SlotShortage& shortage) {
  const auto is_new_group = [&](const GroupDemand& demand) {
    return IsRelevantGroupChange(DemandOf(sent, demand.group), demand,
                                 shortage);
  };
  const auto is_old_group = [&](const GroupDemand& demand) {
    return IsRelevantGroupChange(demand, DemandOf(part, demand.group),
                                 shortage);
  };
  const auto is_new_use = [&](const UpstreamUse& use) {
    return IsRelevantUseChange(UseOf(sent, use.upstream), use, shortage);
  };
  const auto is_old_use = [&](const UpstreamUse& use) {
    return IsRelevantUseChange(use, UseOf(part, use.upstream), shortage);
  };
  return std::any_of(part.groups.begin(), part.groups.end(), is_new_group) ||
         std::any_of(sent.groups.begin(), sent.groups.end(), is_old_group) ||
         std::any_of(part.upstreams.begin(), part.upstreams.end(),
                     is_new_use) ||
         std::any_of(sent.upstreams.begin(), sent.upstreams.end(), is_old_use);
}

bool HasShortGroup(const DemandReport& part, const SlotShortage& shortage) {
  return std::any_of(part.groups.begin(), part.groups.end(),
                     [&shortage](const GroupDemand& demand) {
                       return shortage.groups.contains(demand.group);
                     });
}

}  // namespace

void SentDemandTracker::RecordAllSent(const DemandParts& parts,
                                      const SlotShortage& shortage,
                                      TimePoint now) {
  RemoveOtherRouters(parts);
  for (const auto& [router, part] : parts) {
    RecordSent(router, part, shortage, now);
  }
  UpdateOldest();
}

std::vector<RouterId> SentDemandTracker::SelectDue(
    const DemandParts& parts,
    const SlotShortage& shortage,
    const std::function<bool(const RouterId&)>& has_recent_report,
    TimePoint now) {
  RemoveOtherRouters(parts);
  std::vector<RouterId> due;
  for (const auto& [router, part] : parts) {
    const auto found = sent_.find(router);
    const bool is_due =
        found == sent_.end() ||
        now - found->second.sent_at >= DemandPacer::kMaxReportInterval ||
        (found->second.repeats_left > 0 &&
         now - found->second.sent_at >= kRepeatInterval) ||
        (HasShortGroup(part, shortage) && !has_recent_report(router)) ||
        HasRelevantChange(found->second.part, part, shortage);
    if (is_due) {
      due.push_back(router);
      RecordSent(router, part, shortage, now);
    }
  }
  UpdateOldest();
  return due;
}

void SentDemandTracker::RecordSent(const RouterId& router,
                                   const DemandReport& part,
                                   const SlotShortage& shortage,
                                   TimePoint now) {
  Sent& sent = sent_[router];
  const bool is_changed = HasRelevantChange(sent.part, part, shortage);
  sent.repeats_left =
      is_changed ? kRepeats : std::max(sent.repeats_left - 1, 0);
  sent.part = part;
  sent.sent_at = now;
}

void SentDemandTracker::RemoveOtherRouters(const DemandParts& parts) {
  std::erase_if(sent_, [&parts](const auto& item) {
    return !parts.contains(item.first);
  });
}

void SentDemandTracker::UpdateOldest() {
  oldest_ = TimePoint::max();
  for (const auto& [router, sent] : sent_) {
    oldest_ = std::min(oldest_, sent.sent_at);
  }
}

}  // namespace papaya
