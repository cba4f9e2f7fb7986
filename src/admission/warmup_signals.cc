// The part of WarmupLimiter that decides which upstreams are cold.

#include <algorithm>
#include <optional>

#include "include/admission/warmup_limiter.h"
#include "include/base/stable_hash.h"
#include "src/admission/warmup_entry.h"
#include "src/admission/zone_outages.h"

namespace papaya {

namespace {

// The bound counts requests within any time of this length.
constexpr Duration kBoundWindow = std::chrono::seconds(1);
// What arrives from an upstream this shortly after a failure may have been sent
// before the outage.
constexpr Duration kAnswerMargin = std::chrono::milliseconds(300);
// A registration that arrives this shortly after a failure may have been
// written before the outage.
constexpr Duration kReportDelay = std::chrono::milliseconds(2500);
// An upstream that has answered within this time is slow, not unreachable.
// Outages last for longer.
constexpr Duration kRecentAnswer = std::chrono::seconds(1);

}  // namespace

void WarmupLimiter::OnReport(const UpstreamId& id,
                             Duration left,
                             Source source,
                             TimePoint now) {
  Entry* entry = Find(id);
  if (entry == nullptr) {
    if (left > Duration()) {
      early_reports_[id] = now + left;
    } else {
      early_reports_.erase(id);
    }
    return;
  }
  const bool is_recent_failure = now - entry->last_failure < kReportDelay;
  if (left <= Duration()) {
    const bool is_later = source == Source::kResponse
                              ? now - entry->last_failure > kAnswerMargin
                              : entry->has_reported;
    if (is_later && entry->is_cold) {
      EndCold(entry, now);
    }
    return;
  }
  const bool is_news = !entry->is_cold;
  if (is_news && now - entry->gate->last_sent < kBoundWindow) {
    entry->paused_until = entry->gate->last_sent + kBoundWindow;
  }
  if (entry->is_presumed && is_recent_failure &&
      source == Source::kRegistration) {
    left = std::max(left, entry->rate.time);
  }
  entry->is_presumed = false;
  entry->has_reported = true;
  SetCold(entry, now + left,
          source == Source::kResponse ? "response" : "registration");
  Refresh(entry, PhaseAt(now), now);
}

void WarmupLimiter::OnUnreachable(const UpstreamId& id, TimePoint now) {
  Entry* entry = Find(id);
  if (entry == nullptr) {
    return;
  }
  entry->last_failure = now;
  Presume(entry, "unreachable", now);
  const ZoneOutages::Place place(entry->spec.zone, entry->spec.pool);
  size_t used = 0;
  for (const auto& [other, item] : entries_) {
    used += item->is_used && item->spec.zone == place.first &&
                    item->spec.pool == place.second
                ? 1
                : 0;
  }
  const std::optional<TimePoint> lost_since =
      outages_->OnUnreachable(place, id, used, now);
  if (!lost_since.has_value()) {
    return;
  }
  for (const auto& [other, item] : entries_) {
    if (item->spec.zone == place.first && item->spec.pool == place.second &&
        item->last_answer <= *lost_since) {
      Presume(item.get(), "zone", now);
    }
  }
}

void WarmupLimiter::OnSilent(const UpstreamId& id, TimePoint now) {
  const Entry* entry = Find(id);
  if (entry != nullptr && now - entry->last_answer > kRecentAnswer) {
    OnUnreachable(id, now);
  }
}

void WarmupLimiter::OnAnswer(const UpstreamId& id, TimePoint now) {
  Entry* entry = Find(id);
  if (entry == nullptr) {
    return;
  }
  entry->last_answer = now;
  if (!entry->is_presumed ||
      now - std::max(entry->last_failure, entry->presumed_since) <=
          kAnswerMargin) {
    return;
  }
  outages_->OnAnswer({entry->spec.zone, entry->spec.pool}, id);
  entry->is_presumed = false;
  entry->gate->cold_until = now + entry->rate.time;
  Refresh(entry, PhaseAt(now), now);
}

void WarmupLimiter::PresumeCold(const UpstreamId& id, TimePoint now) {
  Entry* entry = Find(id);
  if (entry != nullptr) {
    Presume(entry, "evacuation", now);
  }
}

void WarmupLimiter::Presume(Entry* entry, const char* source, TimePoint now) {
  entry->has_reported = false;
  if (!entry->is_presumed) {
    entry->is_presumed = true;
    entry->presumed_since = now;
    const double turn = HashToUnit(StableHash(
        options_.self.id.value(), StableHash(entry->spec.id.value())));
    entry->trial_at =
        now + SecondsToDuration(turn * ToSeconds(entry->trial_interval));
  }
  SetCold(entry, TimePoint::max(), source);
  Refresh(entry, PhaseAt(now), now);
}

void WarmupLimiter::SetCold(Entry* entry, TimePoint until, const char* source) {
  entry->gate->cold_until = until;
  entry->is_unverified = false;
  if (entry->is_cold) {
    return;
  }
  entry->is_cold = true;
  ++cold_;
  event_({EventId::kUpstreamCold,
          {{"upstream", entry->spec.id.value()}, {"source", source}}});
}

void WarmupLimiter::EndCold(Entry* entry, TimePoint now) {
  entry->gate->cold_until = now;
  entry->is_presumed = false;
  entry->is_unverified = false;
  if (entry->is_cold) {
    entry->is_cold = false;
    --cold_;
    event_({EventId::kUpstreamWarm, {{"upstream", entry->spec.id.value()}}});
  }
}

}  // namespace papaya
