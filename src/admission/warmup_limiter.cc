#include "include/admission/warmup_limiter.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "src/admission/known_routers.h"
#include "src/admission/warmup_entry.h"
#include "src/admission/zone_outages.h"

namespace papaya {

namespace {

constexpr Duration kSecond = std::chrono::seconds(1);
// A router discovers the others within about 1.2 s of its start, several times
// that on a slow VM.
constexpr Duration kDiscoveryTime = std::chrono::seconds(5);
// While it still discovers others, it waits for longer, but not beyond this.
constexpr Duration kMaxDiscoveryTime = std::chrono::seconds(10);
constexpr Duration kDiscoveryPause = std::chrono::seconds(2);
// A router that started on the smaller side of a partition knows only that
// side. Until this age it takes at most kYoungRate of each upstream.
constexpr Duration kYoungTime = std::chrono::seconds(30);
constexpr double kYoungRate = 1.0;
// A router that begins to use an upstream, after its start or because other
// routers left, saw no outage of it, and registrations may arrive seconds late.
// For this time it sends at most one request in any second.
constexpr Duration kUnverifiedTime = std::chrono::seconds(5);
constexpr Duration kUnverifiedInterval = std::chrono::milliseconds(1050);
// Upstreams that are no longer registered are remembered this long, because a
// registration can lapse and return during an outage of the store.
constexpr Duration kUnregisteredMemory = std::chrono::seconds(60);
// How long a report waits for the snapshot that has its upstream.
constexpr Duration kEarlyReportTime = std::chrono::seconds(60);

}  // namespace

WarmupLimiter::WarmupLimiter(Options options, EventHook event)
    : options_(std::move(options)),
      event_(std::move(event)),
      routers_(std::make_unique<KnownRouters>(options_.self)),
      outages_(std::make_unique<ZoneOutages>()) {}

WarmupLimiter::~WarmupLimiter() = default;

WarmupLimiter::Entry* WarmupLimiter::Find(const UpstreamId& id) {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : found->second.get();
}

const WarmupRate* WarmupLimiter::RateOf(const PoolId& pool) const {
  const auto found = rates_.find(pool);
  return bounds_.has_value() && found != rates_.end() &&
                 found->second.IsLimited()
             ? &found->second
             : nullptr;
}

void WarmupLimiter::SetLimits(std::optional<WarmupBounds> bounds,
                              absl::flat_hash_map<PoolId, WarmupRate> rates,
                              TimePoint now) {
  bounds_ = bounds;
  rates_ = std::move(rates);
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    const auto current = entry++;
    const WarmupRate* rate = RateOf(current->second->spec.pool);
    if (rate == nullptr) {
      *current->second->gate = ColdGate();
      cold_ -= current->second->is_cold ? 1 : 0;
      entries_.erase(current);
      continue;
    }
    current->second->rate = *rate;
    current->second->plan = PlanWarmup(*rate, *bounds_);
    Refresh(current->second.get(), PhaseAt(now), now);
  }
}

void WarmupLimiter::SetRouters(const std::vector<RouterLocation>& routers,
                               TimePoint now) {
  if (!started_.has_value()) {
    started_ = now;
  }
  routers_->Set(routers, now);
}

WarmupLimiter::Entry* WarmupLimiter::Add(const UpstreamSpec& spec,
                                         TimePoint now) {
  auto owned = std::make_unique<Entry>();
  Entry* entry = owned.get();
  entry->spec = spec;
  entry->rate = *RateOf(spec.pool);
  entry->plan = PlanWarmup(entry->rate, *bounds_);
  const auto report = early_reports_.find(spec.id);
  if (report != early_reports_.end()) {
    entry->has_reported = true;
    if (report->second > now) {
      SetCold(entry, report->second, "registration");
    }
    early_reports_.erase(report);
  }
  entries_[spec.id] = std::move(owned);
  return entry;
}

void WarmupLimiter::SetUpstreams(const RoutingSnapshot& snapshot,
                                 TimePoint now) {
  routers_->SetPreference(snapshot.zone_preference());
  std::vector<Entry*> used;
  for (const auto& [id, entry] : entries_) {
    if (!entry->unregistered_since.has_value()) {
      entry->unregistered_since = now;
    }
  }
  std::map<PoolVersion, size_t> group_sizes;
  for (const UpstreamSpec& spec : snapshot.config()->upstreams) {
    if (RateOf(spec.pool) == nullptr) {
      continue;
    }
    ++group_sizes[{spec.pool, spec.version}];
    Entry* entry = Find(spec.id);
    if (entry == nullptr) {
      entry = Add(spec, now);
    }
    entry->unregistered_since.reset();
  }
  for (const RoutedUpstream& upstream : snapshot.upstreams()) {
    Entry* entry = Find(upstream.spec.id);
    if (entry == nullptr) {
      continue;
    }
    used.push_back(entry);
    if (!entry->is_used && !entry->is_cold && MayBeOutdated(now)) {
      entry->is_unverified = true;
      entry->gate->cold_until = now + kUnverifiedTime;
    }
    // In a large fleet with few upstreams, many routers use each of them. Their
    // requests in search of an answer add up to about one a second.
    const size_t group =
        group_sizes[{upstream.spec.pool, upstream.spec.version}];
    const size_t users = RoutingSnapshot::kMinUpstreamsPerGroup *
                         routers_->size() / std::max<size_t>(group, 1);
    entry->trial_interval =
        kSecond *
        static_cast<int64_t>(std::max({users, upstream.routers.size(),
                                       RoutingSnapshot::kRoutersPerUpstream}));
  }
  const Phase phase = PhaseAt(now);
  for (const auto& [id, entry] : entries_) {
    entry->is_used = false;
    Refresh(entry.get(), phase, now);
  }
  for (Entry* entry : used) {
    entry->is_used = true;
  }
}

bool WarmupLimiter::MayBeOutdated(TimePoint now) const {
  const bool is_first =
      options_.is_first_start &&
      (!started_.has_value() || now - *started_ < kMaxDiscoveryTime);
  return options_.has_peers && !is_first;
}

void WarmupLimiter::OnSent(const UpstreamId& id, TimePoint now) {
  Entry* entry = Find(id);
  if (entry == nullptr || !entry->gate->IsCold(now)) {
    return;
  }
  entry->gate->last_sent = now;
  entry->trial_at = now + entry->trial_interval;
  ++cold_requests_;
  Refresh(entry, PhaseAt(now), now);
}

WarmupLimiter::Phase WarmupLimiter::PhaseAt(TimePoint now) const {
  if (!options_.has_peers) {
    return Phase::kSettled;
  }
  if (!started_.has_value()) {
    return Phase::kStarting;
  }
  const Duration age = now - *started_;
  const bool is_discovering =
      age < kMaxDiscoveryTime && now - routers_->last_added() < kDiscoveryPause;
  if (age < kDiscoveryTime || is_discovering) {
    return Phase::kStarting;
  }
  if (routers_->size() == 1) {
    return Phase::kAlone;
  }
  return age < kYoungTime ? Phase::kYoung : Phase::kSettled;
}

bool WarmupLimiter::IsWarmer(Entry* entry, size_t count) {
  if (entry->routers_version != routers_->version() ||
      entry->warmer_count != count) {
    entry->routers_version = routers_->version();
    entry->warmer_count = count;
    entry->is_warmer = routers_->IsSelfAmong(entry->spec, count);
  }
  return entry->is_warmer;
}

void WarmupLimiter::Refresh(Entry* entry, Phase phase, TimePoint now) {
  ColdGate& gate = *entry->gate;
  if (!gate.IsCold(now)) {
    if (entry->is_cold || entry->is_unverified) {
      EndCold(entry, now);
    }
    return;
  }
  gate.last_resort_at = TimePoint::max();
  gate.send_at = TimePoint::max();
  if (entry->is_unverified) {
    gate.send_at = gate.last_sent + kUnverifiedInterval;
    return;
  }
  if (phase == Phase::kStarting || entry->plan.warmers == 0) {
    return;
  }
  if (phase == Phase::kAlone) {
    gate.last_resort_at =
        std::max(gate.last_sent + kSecond, entry->paused_until);
    return;
  }
  const size_t warmers = static_cast<size_t>(entry->plan.warmers);
  if (!IsWarmer(entry, warmers)) {
    if (entry->is_presumed) {
      gate.send_at = entry->trial_at;
    }
    return;
  }
  double rate = 0.0;
  if (phase == Phase::kYoung) {
    rate = std::min(entry->plan.per_second / static_cast<double>(warmers),
                    kYoungRate);
  } else {
    rate = entry->plan.per_second /
           static_cast<double>(std::min(warmers, routers_->size()));
  }
  gate.send_at = std::max(gate.last_sent + SecondsToDuration(1.0 / rate),
                          entry->paused_until);
}

void WarmupLimiter::OnTick(TimePoint now) {
  routers_->OnTick(now);
  absl::erase_if(early_reports_, [now](const auto& report) {
    return now - report.second > kEarlyReportTime;
  });
  const Phase phase = PhaseAt(now);
  absl::erase_if(entries_, [this, phase, now](const auto& item) {
    Entry* entry = item.second.get();
    if (entry->unregistered_since.has_value() &&
        now - *entry->unregistered_since > kUnregisteredMemory) {
      cold_ -= entry->is_cold ? 1 : 0;
      *entry->gate = ColdGate();
      return true;
    }
    if (entry->is_cold || entry->is_unverified) {
      Refresh(entry, phase, now);
    }
    return false;
  });
  LogHeldBack(phase);
}

void WarmupLimiter::LogHeldBack(Phase phase) {
  const bool is_held_back = cold_ > 0 && phase == Phase::kAlone;
  if (is_held_back && !is_held_back_) {
    event_({EventId::kWarmupHeldBack,
            {{"router", options_.self.id.value()},
             {"cold", absl::StrCat(cold_)}}});
  }
  is_held_back_ = is_held_back;
}

std::shared_ptr<ColdGate> WarmupLimiter::GateOf(const UpstreamId& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : found->second->gate;
}

}  // namespace papaya
