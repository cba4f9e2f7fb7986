#include "include/admission/prompt_quarantine.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "include/base/stable_hash.h"
#include "src/admission/broken_attempts.h"
#include "src/admission/crash_evidence.h"
#include "src/admission/proven_parts.h"

namespace papaya {

namespace {

// How long parts that upstreams survived are remembered, at least.
constexpr Duration kProofLifetime = std::chrono::seconds(60);

CrashId CrashOf(const UpstreamId& upstream) {
  return CrashId(StableHash(upstream.value()));
}

std::string PartName(PromptPartId part) {
  return absl::StrCat(absl::Hex(part.value()));
}

}  // namespace

PromptQuarantine::PromptQuarantine(RouterId self, Hooks hooks)
    : self_(std::move(self)),
      hooks_(std::move(hooks)),
      broken_(std::make_unique<BrokenAttempts>()),
      evidence_(std::make_unique<CrashEvidence>()),
      proven_(std::make_unique<ProvenParts>(kProofLifetime)) {}

PromptQuarantine::~PromptQuarantine() = default;

Duration PromptQuarantine::DurationOf(int count) {
  Duration duration = kFirstQuarantine;
  for (int i = 1; i < count && duration < kLongestQuarantine; ++i) {
    duration *= 2;
  }
  return std::min(duration, kLongestQuarantine);
}

TimePoint PromptQuarantine::EndOf(PromptPartId part,
                                  const Quarantine& quarantine) const {
  const Duration duration = DurationOf(quarantine.count);
  const double spread =
      kEndSpread * HashToUnit(StableHash(self_.value(), part.value()));
  return quarantine.since + duration +
         SecondsToDuration(spread * ToSeconds(duration));
}

void PromptQuarantine::SetNeighbours(const std::vector<RouterId>& neighbours,
                                     TimePoint now) {
  const std::vector<RouterId> known = std::exchange(neighbours_, neighbours);
  const CrashNews summary = MakeSummary(now);
  if (summary.parts.empty()) {
    return;
  }
  for (const RouterId& neighbour : neighbours_) {
    if (std::find(known.begin(), known.end(), neighbour) == known.end()) {
      hooks_.send(neighbour, summary);
    }
  }
}

void PromptQuarantine::OnBroken(const UpstreamId& upstream,
                                const std::vector<PromptPartId>& parts,
                                TimePoint now,
                                std::optional<PromptPartId> own) {
  broken_->Add(CrashOf(upstream), parts, own, now);
}

void PromptQuarantine::OnAlive(const UpstreamId& upstream, TimePoint now) {
  const CrashId id = CrashOf(upstream);
  evidence_->OnAlive(id, now);
  if (!broken_->empty()) {
    broken_->OnAlive(id, now);
  }
}

void PromptQuarantine::OnSurvived(const std::vector<PromptPartId>& parts,
                                  TimePoint now,
                                  std::optional<PromptPartId> own) {
  for (PromptPartId part : parts) {
    proven_->Add(part, now);
    Prove(part, now, now);
  }
  if (own.has_value()) {
    Prove(*own, now, now);
  }
}

void PromptQuarantine::Prove(PromptPartId part, TimePoint when, TimePoint now) {
  // Only what changes something is passed on, so that a proof, whose time is
  // less exact after each router, is not passed on for ever.
  if (!evidence_->Prove(part, when)) {
    return;
  }
  MarkUnsent(part);
  const auto found = quarantines_.find(part);
  if (found != quarantines_.end() && !evidence_->Find(part)->is_known_culprit) {
    hooks_.event({EventId::kQuarantineEnded,
                  {{"part", PartName(part)},
                   {"reason", "survived"},
                   {"lasted_ms", absl::StrCat((now - found->second.since) /
                                              std::chrono::milliseconds(1))}}});
    quarantines_.erase(found);
  }
}

void PromptQuarantine::AddCrash(PromptPartId part,
                                CrashId crash,
                                TimePoint when,
                                bool is_innermost,
                                TimePoint now,
                                bool is_own) {
  const bool is_new = evidence_->Find(part) == nullptr;
  if (!evidence_->AddCrash(part, crash, when, is_innermost, now, is_own)) {
    return;
  }
  if (std::vector<CrashId>* unsent = MarkUnsent(part)) {
    unsent->push_back(crash);
  }
  const std::optional<TimePoint> proven = proven_->Find(part);
  if (is_new && proven.has_value()) {
    evidence_->Prove(part, *proven);
  }
}

void PromptQuarantine::AddCrashes(TimePoint now) {
  for (const BrokenAttempts::Crash& crash : broken_->TakeCrashes(now)) {
    for (const BrokenAttempts::Attempt& attempt : crash.attempts) {
      for (size_t i = 0; i < attempt.parts.size(); ++i) {
        AddCrash(attempt.parts[i], crash.id, attempt.broken,
                 /*is_innermost=*/i + 1 == attempt.parts.size(), now);
      }
      if (attempt.own.has_value()) {
        AddCrash(*attempt.own, crash.id, attempt.broken, /*is_innermost=*/true,
                 now, /*is_own=*/true);
      }
    }
  }
}

void PromptQuarantine::OnNews(const CrashNews& news, TimePoint now) {
  // Quarantines first, because a culprit explains the crashes of other parts.
  for (const PartNews& part : news.parts) {
    if (part.quarantine_age.has_value()) {
      OnQuarantineNews(part, now);
    }
  }
  for (const PartNews& part : news.parts) {
    for (const PartCrash& crash : part.crashes) {
      AddCrash(part.part, crash.crash, now - crash.age, part.is_innermost, now,
               part.is_own);
    }
    if (part.proven_age.has_value()) {
      Prove(part.part, now - *part.proven_age, now);
    }
  }
}

void PromptQuarantine::OnQuarantineNews(const PartNews& news, TimePoint now) {
  const TimePoint since = now - *news.quarantine_age;
  const CrashEvidence::Record* record = evidence_->Find(news.part);
  const auto found = quarantines_.find(news.part);
  const int known = found == quarantines_.end() ? 0 : found->second.count;
  const bool is_disproved = record != nullptr && record->proven.has_value() &&
                            *record->proven >= since;
  if (news.quarantines > known && !is_disproved &&
      since + DurationOf(news.quarantines) > now) {
    Begin(news.part, since, news.quarantines, now);
  }
}

void PromptQuarantine::Begin(PromptPartId part,
                             TimePoint since,
                             int count,
                             TimePoint now) {
  if (quarantines_.size() >= kMaxQuarantined && !quarantines_.contains(part)) {
    return;
  }
  const CrashEvidence::Record* record = evidence_->Find(part);
  hooks_.event(
      {EventId::kPartQuarantined,
       {{"part", PartName(part)},
        {"crashes",
         absl::StrCat(record == nullptr ? 0 : record->crashes.size())},
        {"times", absl::StrCat(count)},
        {"age_ms", absl::StrCat((now - since) / std::chrono::milliseconds(1))},
        {"for_ms",
         absl::StrCat(DurationOf(count) / std::chrono::milliseconds(1))}}});
  quarantines_[part] = {.since = since, .count = count, .is_over = false};
  ++begun_;
  evidence_->MarkCulprit(part, since, now);
  MarkUnsent(part);
  hooks_.begun(part);
}

void PromptQuarantine::Judge(TimePoint now) {
  while (quarantines_.size() < kMaxQuarantined) {
    const std::optional<PromptPartId> culprit = evidence_->FindCulprit(now);
    if (!culprit.has_value()) {
      return;
    }
    const auto found = quarantines_.find(*culprit);
    Begin(*culprit, now,
          found == quarantines_.end() ? 1 : found->second.count + 1, now);
  }
}

void PromptQuarantine::EndQuarantines(TimePoint now) {
  for (auto entry = quarantines_.begin(); entry != quarantines_.end();) {
    auto& [part, quarantine] = *entry;
    const TimePoint end = EndOf(part, quarantine);
    if (now >= end && !quarantine.is_over) {
      quarantine.is_over = true;
      evidence_->EndCulprit(part, now);
      hooks_.event(
          {EventId::kQuarantineEnded,
           {{"part", PartName(part)},
            {"reason", "expired"},
            {"lasted_ms", absl::StrCat((now - quarantine.since) /
                                       std::chrono::milliseconds(1))}}});
    }
    // The next crash counts as one in a row for as long as the quarantine was.
    const bool is_forgotten = now >= end + DurationOf(quarantine.count);
    if (is_forgotten) {
      evidence_->ForgetCulprit(part);
    }
    entry = is_forgotten ? quarantines_.erase(entry) : std::next(entry);
  }
}

std::optional<Duration> PromptQuarantine::TimeLeftOf(PromptPartId part,
                                                     TimePoint now) const {
  const auto found = quarantines_.find(part);
  return found == quarantines_.end() || found->second.is_over
             ? std::nullopt
             : std::optional<Duration>(EndOf(part, found->second) - now);
}

std::optional<Duration> PromptQuarantine::TimeLeft(
    const std::vector<PromptPartId>& parts,
    TimePoint now,
    std::optional<PromptPartId> own) const {
  std::optional<Duration> left;
  if (quarantines_.empty()) {
    return left;
  }
  if (own.has_value()) {
    left = TimeLeftOf(*own, now);
  }
  for (PromptPartId part : parts) {
    left = std::max(left, TimeLeftOf(part, now));
  }
  return left;
}

bool PromptQuarantine::IsSuspect(PromptPartId part,
                                 CrashId crash,
                                 TimePoint now) const {
  return evidence_->IsSuspect(part, crash, now) &&
         !proven_->Find(part).has_value();
}

bool PromptQuarantine::MayRepeat(const UpstreamId& upstream,
                                 const std::vector<PromptPartId>& parts,
                                 TimePoint now,
                                 std::optional<PromptPartId> own) const {
  const CrashId crash = CrashOf(upstream);
  return !TimeLeft(parts, now, own).has_value() &&
         !(own.has_value() && IsSuspect(*own, crash, now)) &&
         std::none_of(parts.begin(), parts.end(), [&](PromptPartId part) {
           return IsSuspect(part, crash, now);
         });
}

void PromptQuarantine::OnTick(TimePoint now) {
  AddCrashes(now);
  if (!evidence_->records().empty()) {
    Judge(now);
  }
  EndQuarantines(now);
  if (now >= next_send_) {
    next_send_ = now + kSendInterval;
    SendUnsent(now);
  }
  if (now >= next_repair_) {
    next_repair_ = now + kRepairInterval;
    evidence_->Expire(now);
    proven_->OnTick(now);
    SendSummary(now);
  }
}

PartNews PromptQuarantine::MakeNews(PromptPartId part,
                                    const std::vector<CrashId>& crashes,
                                    TimePoint now) const {
  PartNews news;
  news.part = part;
  const CrashEvidence::Record* record = evidence_->Find(part);
  if (record != nullptr) {
    news.is_innermost = record->is_innermost;
    news.is_own = record->is_own;
    for (CrashId crash : crashes) {
      const auto found = record->crashes.find(crash);
      if (found != record->crashes.end()) {
        news.crashes.push_back({.crash = crash, .age = now - found->second});
      }
    }
    if (record->proven.has_value()) {
      news.proven_age = now - *record->proven;
    }
  }
  const auto found = quarantines_.find(part);
  if (found != quarantines_.end() && !found->second.is_over) {
    news.quarantine_age = now - found->second.since;
    news.quarantines = found->second.count;
  }
  return news;
}

std::vector<CrashId>* PromptQuarantine::MarkUnsent(PromptPartId part) {
  const auto found = unsent_.find(part);
  if (found != unsent_.end()) {
    return &found->second;
  }
  // What is left out is repaired by the summaries if it matters.
  return unsent_.size() < CrashEvidence::kMaxParts ? &unsent_[part] : nullptr;
}

void PromptQuarantine::SendUnsent(TimePoint now) {
  CrashNews news;
  while (!unsent_.empty() && news.parts.size() < kMaxPartsPerMessage) {
    const auto first = unsent_.begin();
    std::vector<CrashId>& waiting = first->second;
    const size_t count = std::min(waiting.size(), kMaxCrashesPerEntry);
    const auto end = waiting.begin() + static_cast<ptrdiff_t>(count);
    news.parts.push_back(MakeNews(first->first, {waiting.begin(), end}, now));
    waiting.erase(waiting.begin(), end);
    if (waiting.empty()) {
      unsent_.erase(first);
    }
  }
  if (news.parts.empty()) {
    return;
  }
  for (const RouterId& neighbour : neighbours_) {
    hooks_.send(neighbour, news);
  }
}

CrashNews PromptQuarantine::MakeSummary(TimePoint now) const {
  CrashNews summary;
  const auto add = [&](PromptPartId part) {
    const CrashEvidence::Record* record = evidence_->Find(part);
    std::vector<CrashId> crashes;
    if (record != nullptr) {
      for (const auto& [crash, when] : record->crashes) {
        if (crashes.size() < kMaxCrashesPerEntry) {
          crashes.push_back(crash);
        }
      }
    }
    summary.parts.push_back(MakeNews(part, crashes, now));
  };
  for (const auto& [part, quarantine] : quarantines_) {
    if (!quarantine.is_over) {
      add(part);
    }
  }
  for (const auto& [part, record] : evidence_->records()) {
    if (summary.parts.size() >= kMaxPartsPerMessage) {
      break;
    }
    // Single crashes are of no use to a router that missed them.
    if (record.crashes.size() > 1 && !quarantines_.contains(part)) {
      add(part);
    }
  }
  return summary;
}

void PromptQuarantine::SendSummary(TimePoint now) {
  if (neighbours_.empty()) {
    return;
  }
  const CrashNews summary = MakeSummary(now);
  if (!summary.parts.empty()) {
    hooks_.send(neighbours_[next_neighbour_++ % neighbours_.size()], summary);
  }
}

std::vector<PartNews> PromptQuarantine::Quarantines(TimePoint now) const {
  std::vector<PartNews> parts;
  for (const auto& [part, quarantine] : quarantines_) {
    if (!quarantine.is_over) {
      parts.push_back(MakeNews(part, {}, now));
    }
  }
  return parts;
}

size_t PromptQuarantine::size() const {
  return static_cast<size_t>(
      std::count_if(quarantines_.begin(), quarantines_.end(),
                    [](const auto& entry) { return !entry.second.is_over; }));
}

}  // namespace papaya
