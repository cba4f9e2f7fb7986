#include "src/admission/demand_ledger.h"

#include <algorithm>
#include <cstdlib>

namespace papaya {

namespace {

// A count that changes by more than one part in so many is news.
constexpr int kPartsOfCount = 4;

bool IsMuch(int before, int after) {
  if ((before == 0) != (after == 0)) {
    return true;
  }
  return std::abs(after - before) * kPartsOfCount > std::max(before, after);
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

bool IsGroupNews(const GroupDemand& told,
                 const GroupDemand& part,
                 const DemandPress& press) {
  if (told.short_tier != part.short_tier) {
    return true;
  }
  if (!press.groups.contains(part.group)) {
    return false;
  }
  const TierDemand& before = told.tiers[TierIndex(Tier::kCritical)];
  const TierDemand& after = part.tiers[TierIndex(Tier::kCritical)];
  return IsMuch(before.waiting, after.waiting) ||
         IsMuch(before.running + before.waiting,
                after.running + after.waiting) ||
         IsMuch(LowerRunning(told), LowerRunning(part));
}

bool IsUseNews(const UpstreamUse& told,
               const UpstreamUse& part,
               const DemandPress& press) {
  return told.leaving != part.leaving ||
         (told.running != part.running &&
          press.upstreams.contains(part.upstream)) ||
         (part.running > 0 && press.overfull.contains(part.upstream));
}

// True if `part` says something that matters and that `told` does not. What is
// missing in one of them has ended or begun.
bool HasNews(const DemandReport& told,
             const DemandReport& part,
             const DemandPress& press) {
  const auto is_new_group = [&](const GroupDemand& demand) {
    return IsGroupNews(DemandOf(told, demand.group), demand, press);
  };
  const auto is_old_group = [&](const GroupDemand& demand) {
    return IsGroupNews(demand, DemandOf(part, demand.group), press);
  };
  const auto is_new_use = [&](const UpstreamUse& use) {
    return IsUseNews(UseOf(told, use.upstream), use, press);
  };
  const auto is_old_use = [&](const UpstreamUse& use) {
    return IsUseNews(use, UseOf(part, use.upstream), press);
  };
  return std::any_of(part.groups.begin(), part.groups.end(), is_new_group) ||
         std::any_of(told.groups.begin(), told.groups.end(), is_old_group) ||
         std::any_of(part.upstreams.begin(), part.upstreams.end(),
                     is_new_use) ||
         std::any_of(told.upstreams.begin(), told.upstreams.end(), is_old_use);
}

bool IsPressed(const DemandReport& part, const DemandPress& press) {
  return std::any_of(part.groups.begin(), part.groups.end(),
                     [&press](const GroupDemand& demand) {
                       return press.groups.contains(demand.group);
                     });
}

}  // namespace

void DemandLedger::NoteAll(const DemandParts& parts,
                           const DemandPress& press,
                           TimePoint now) {
  DropOthers(parts);
  for (const auto& [router, part] : parts) {
    Note(router, part, press, now);
  }
  FindOldest();
}

std::vector<RouterId> DemandLedger::TakeDue(
    const DemandParts& parts,
    const DemandPress& press,
    const std::function<bool(const RouterId&)>& is_heard,
    TimePoint now) {
  DropOthers(parts);
  std::vector<RouterId> due;
  for (const auto& [router, part] : parts) {
    const auto found = told_.find(router);
    const bool is_due = found == told_.end() ||
                        now - found->second.when >= DemandPacer::kMaxSilence ||
                        (found->second.repeats_left > 0 &&
                         now - found->second.when >= kRepeatInterval) ||
                        (IsPressed(part, press) && !is_heard(router)) ||
                        HasNews(found->second.part, part, press);
    if (is_due) {
      due.push_back(router);
      Note(router, part, press, now);
    }
  }
  FindOldest();
  return due;
}

void DemandLedger::Note(const RouterId& router,
                        const DemandReport& part,
                        const DemandPress& press,
                        TimePoint now) {
  Told& told = told_[router];
  const bool is_news = HasNews(told.part, part, press);
  told.repeats_left = is_news ? kRepeats : std::max(told.repeats_left - 1, 0);
  told.part = part;
  told.when = now;
}

void DemandLedger::DropOthers(const DemandParts& parts) {
  std::erase_if(told_, [&parts](const auto& item) {
    return !parts.contains(item.first);
  });
}

void DemandLedger::FindOldest() {
  oldest_ = TimePoint::max();
  for (const auto& [router, told] : told_) {
    oldest_ = std::min(oldest_, told.when);
  }
}

}  // namespace papaya
