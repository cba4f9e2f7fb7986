#include "src/admission/crash_evidence.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace papaya {

bool CrashEvidence::AddCrash(PromptPartId part,
                             CrashId crash,
                             TimePoint when,
                             bool is_innermost,
                             TimePoint now,
                             bool is_own) {
  if (now - when >= kLifetime) {
    return false;
  }
  const auto [seen, is_first] = crashed_.emplace(crash, when);
  if (!is_first) {
    seen->second = std::min(seen->second, when);
  }
  Record* record = Upsert(part, now);
  if (record == nullptr) {
    return false;
  }
  const auto known = record->crashes.find(crash);
  if (known != record->crashes.end()) {
    // Busy routers notice a crash late.
    known->second = std::min(known->second, when);
    return false;
  }
  const bool is_culprit = record->culprit_since.has_value();
  const bool is_void = record->proven.has_value() && when <= *record->proven;
  if (is_void || (!is_culprit && IsExplained(crash))) {
    return false;
  }
  if (record->crashes.size() >= kMaxCrashesPerPart) {
    record->crashes.erase(std::min_element(
        record->crashes.begin(), record->crashes.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
  record->crashes[crash] = when;
  record->is_innermost = record->is_innermost && is_innermost;
  record->is_own |= is_own;
  record->changed = now;
  if (is_culprit) {
    ExplainAway(part);
  }
  return true;
}

bool CrashEvidence::Prove(PromptPartId part, TimePoint when) {
  const auto found = records_.find(part);
  if (found == records_.end()) {
    return false;
  }
  Record& record = found->second;
  if (record.proven.has_value() && when <= *record.proven) {
    return false;
  }
  const bool is_first = !record.proven.has_value();
  record.proven = when;
  const size_t voided =
      std::erase_if(record.crashes,
                    [when](const auto& crash) { return crash.second <= when; });
  const bool is_cleared = record.is_known_culprit && record.crashes.empty() &&
                          (voided > 0 || !record.culprit_since.has_value() ||
                           when >= *record.culprit_since);
  if (is_cleared) {
    record.culprit_since.reset();
    record.is_known_culprit = false;
  }
  return voided > 0 || is_cleared || (is_first && !record.crashes.empty());
}

std::vector<TimePoint> CrashEvidence::SettledTimes(const Record& record,
                                                   TimePoint now) {
  std::vector<TimePoint> times;
  times.reserve(record.crashes.size());
  for (const auto& [crash, when] : record.crashes) {
    if (now - when >= kSettleTime) {
      times.push_back(when);
    }
  }
  std::sort(times.begin(), times.end());
  return times;
}

int CrashEvidence::CountSeparate(const std::vector<TimePoint>& times) {
  int count = 0;
  std::optional<TimePoint> last;
  for (TimePoint when : times) {
    if (!last.has_value() || when - *last >= kMassCrashWindow) {
      last = when;
      ++count;
    }
  }
  return count;
}

bool CrashEvidence::HasBurst(const std::vector<TimePoint>& times) {
  size_t first = 0;
  for (size_t last = 0; last < times.size(); ++last) {
    while (times[last] - times[first] > kBurstWindow) {
      ++first;
    }
    if (last - first + 1 >= kMinBurstCrashes &&
        times[last] - times[first] >= kMassCrashWindow) {
      return true;
    }
  }
  return false;
}

bool CrashEvidence::IsExclusive(const Record& record,
                                const std::vector<TimePoint>& times) const {
  if (times.size() < kMinExclusiveCrashes ||
      times.back() - times.front() > kMassCrashWindow) {
    return false;
  }
  const bool has_other =
      std::any_of(crashed_.begin(), crashed_.end(), [&](const auto& crash) {
        return crash.second >= times.front() - kMassCrashWindow &&
               crash.second <= times.back() + kMassCrashWindow &&
               !record.crashes.contains(crash.first);
      });
  return !has_other &&
         std::any_of(alive_.begin(), alive_.end(), [&](const auto& upstream) {
           return upstream.second > times.back() + kMassCrashWindow &&
                  !crashed_.contains(upstream.first);
         });
}

int CrashEvidence::RequiredCrashes(const Record& record) {
  if (record.is_known_culprit) {
    return 1;
  }
  return record.is_innermost && !record.proven.has_value() ? kMinCrashes
                                                           : kMinOuterCrashes;
}

bool CrashEvidence::HasEnough(const Record& record, TimePoint now) const {
  const int required = RequiredCrashes(record);
  if (record.crashes.size() < static_cast<size_t>(required)) {
    return false;
  }
  const std::vector<TimePoint> times = SettledTimes(record, now);
  return CountSeparate(times) >= required ||
         (required == kMinCrashes &&
          (HasBurst(times) || IsExclusive(record, times)));
}

std::optional<PromptPartId> CrashEvidence::FindCulprit(TimePoint now) const {
  std::optional<PromptPartId> culprit;
  int least_required = 0;
  size_t most_crashes = 0;
  bool is_own = false;
  for (const auto& [part, record] : records_) {
    if (record.culprit_since.has_value() || !HasEnough(record, now)) {
      continue;
    }
    const int required = RequiredCrashes(record);
    const size_t crashes = record.crashes.size();
    const bool is_better =
        required < least_required || (required == least_required &&
                                      std::make_pair(crashes, record.is_own) >
                                          std::make_pair(most_crashes, is_own));
    if (!culprit.has_value() || is_better) {
      culprit = part;
      least_required = required;
      most_crashes = crashes;
      is_own = record.is_own;
    }
  }
  return culprit;
}

void CrashEvidence::MarkCulprit(PromptPartId part,
                                TimePoint since,
                                TimePoint now) {
  Record* record = Upsert(part, now);
  if (record == nullptr) {
    return;
  }
  record->culprit_since = since;
  record->is_known_culprit = true;
  record->changed = now;
  ExplainAway(part);
}

void CrashEvidence::EndCulprit(PromptPartId part, TimePoint now) {
  const auto found = records_.find(part);
  if (found != records_.end()) {
    found->second.culprit_since.reset();
    found->second.crashes.clear();
    found->second.changed = now;
  }
}

void CrashEvidence::ForgetCulprit(PromptPartId part) {
  const auto found = records_.find(part);
  if (found != records_.end()) {
    found->second.is_known_culprit = false;
  }
}

bool CrashEvidence::IsSuspect(PromptPartId part,
                              CrashId crash,
                              TimePoint now) const {
  const Record* record = Find(part);
  return record != nullptr && !record->proven.has_value() &&
         std::any_of(record->crashes.begin(), record->crashes.end(),
                     [crash, now](const auto& other) {
                       return other.first != crash &&
                              now - other.second >= kMassCrashWindow;
                     });
}

const CrashEvidence::Record* CrashEvidence::Find(PromptPartId part) const {
  const auto found = records_.find(part);
  return found == records_.end() ? nullptr : &found->second;
}

void CrashEvidence::Expire(TimePoint now) {
  for (auto* times : {&crashed_, &alive_}) {
    absl::erase_if(*times, [now](const auto& entry) {
      return now - entry.second >= kLifetime;
    });
  }
  for (auto& [part, record] : records_) {
    std::erase_if(record.crashes, [now](const auto& crash) {
      return now - crash.second >= kLifetime;
    });
  }
  std::erase_if(records_, [now](const auto& entry) {
    const Record& record = entry.second;
    return record.crashes.empty() && !record.is_known_culprit &&
           now - record.changed >= kLifetime;
  });
}

CrashEvidence::Record* CrashEvidence::Upsert(PromptPartId part, TimePoint now) {
  const auto found = records_.find(part);
  if (found != records_.end()) {
    return &found->second;
  }
  if (records_.size() >= kMaxParts) {
    MakeRoom();
  }
  if (records_.size() >= kMaxParts) {
    return nullptr;
  }
  Record& record = records_[part];
  record.changed = now;
  return &record;
}

void CrashEvidence::MakeRoom() {
  // Many at once, as each choice looks at all records.
  constexpr size_t kDropped = kMaxParts / 4;
  // Parts with several crashes matter most, and among these the latest.
  const auto rank = [](const Record& record) {
    return std::make_tuple(record.crashes.size() > 1, record.changed);
  };
  std::vector<Records::iterator> candidates;
  for (auto entry = records_.begin(); entry != records_.end(); ++entry) {
    if (!entry->second.is_known_culprit) {
      candidates.push_back(entry);
    }
  }
  const auto end = candidates.begin() + static_cast<ptrdiff_t>(std::min(
                                            kDropped, candidates.size()));
  std::nth_element(candidates.begin(), end, candidates.end(),
                   [&rank](const auto& a, const auto& b) {
                     return rank(a->second) < rank(b->second);
                   });
  std::for_each(candidates.begin(), end,
                [this](const auto& entry) { records_.erase(entry); });
}

bool CrashEvidence::IsExplained(CrashId crash) const {
  return std::any_of(records_.begin(), records_.end(),
                     [crash](const auto& entry) {
                       return entry.second.culprit_since.has_value() &&
                              entry.second.crashes.contains(crash);
                     });
}

void CrashEvidence::ExplainAway(PromptPartId culprit) {
  const std::map<CrashId, TimePoint>& explained = records_[culprit].crashes;
  for (auto& [part, record] : records_) {
    if (!record.culprit_since.has_value()) {
      std::erase_if(record.crashes, [&explained](const auto& crash) {
        return explained.contains(crash.first);
      });
    }
  }
}

}  // namespace papaya
