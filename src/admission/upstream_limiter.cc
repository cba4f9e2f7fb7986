#include "include/admission/upstream_limiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "absl/strings/str_cat.h"
#include "include/base/stable_hash.h"
#include "src/admission/known_routers.h"

namespace papaya {

namespace {

// An upstream counts over kWindow and bears this multiple of what its limit
// allows then, plus kWindowSlack requests.
constexpr double kWindowSeconds = 4.0;
constexpr double kOverage = 1.5;
constexpr double kWindowSlack = 5.0;
// The part of what the limit leaves beside its rate that is used for bursts of
// the senders. The rest covers senders too many while views differ.
constexpr double kBurstPart = 0.8;
// The rest of the requests in a window that routers without a part send to
// learn of changes, and the time between two of them for each router of the
// fleet.
constexpr double kTrialsInWindow = 2.0;
constexpr Duration kTrialIntervalPerRouter = std::chrono::seconds(4);
constexpr Duration kMinTrialInterval = std::chrono::seconds(10);
// Demand differs between routers, so that some of them leave a part of an even
// share unused. The shares therefore add up to more than the limit, as far as
// it bears if all of them are used: up to this part of a window, and up to this
// multiple of the limit.
constexpr double kSharedPart = 0.9;
constexpr double kMaxOversubscription = 1.35;
// Lower limits are kept as this one.
constexpr double kMinPerSecond = 0.01;
// A router that has discovered another one this lately knows only a part of the
// fleet, and takes it for at least kUnknownFleet routers.
constexpr Duration kFleetDiscoveryTime = std::chrono::seconds(5);
constexpr size_t kUnknownFleet = 16;
// A response without a limit that comes this shortly after one with it may have
// been sent before.
constexpr Duration kWithdrawalMargin = std::chrono::milliseconds(300);
// The limit of an upstream that this router does not use is remembered so long.
constexpr Duration kUnusedMemory = std::chrono::seconds(60);

// How many of `routers` may send to an upstream with this limit.
size_t CountSenders(double per_second, size_t routers) {
  const double rest =
      (kOverage - 1.0) * kWindowSeconds * per_second + kWindowSlack;
  const double bursts = kBurstPart * rest;
  if (bursts >= static_cast<double>(routers)) {
    return routers;
  }
  return static_cast<size_t>(std::max(1.0, bursts - kTrialsInWindow));
}

// Returns the requests a second of all senders together.
double RateOfSenders(double per_second, size_t senders, size_t routers) {
  const double in_window = kWindowSeconds * per_second;
  const double trials = senders < routers ? kTrialsInWindow : 0.0;
  const double borne = kSharedPart * (kOverage * in_window + kWindowSlack) -
                       static_cast<double>(senders) - trials;
  return per_second * std::clamp(borne / in_window, 1.0, kMaxOversubscription);
}

}  // namespace

UpstreamLimiter::UpstreamLimiter(const RouterId& self,
                                 const KnownRouters* routers,
                                 EventHook event)
    : self_(self), routers_(routers), event_(std::move(event)) {}

UpstreamLimiter::~UpstreamLimiter() = default;

void UpstreamLimiter::SetUpstreams(const RoutingSnapshot& snapshot,
                                   TimePoint now) {
  for (auto& [id, entry] : entries_) {
    entry.unused_since = entry.unused_since.value_or(now);
  }
  for (const RoutedUpstream& upstream : snapshot.upstreams()) {
    Entry& entry = entries_[upstream.spec.id];
    entry.spec = upstream.spec;
    entry.unused_since.reset();
  }
}

void UpstreamLimiter::OnResponse(const UpstreamId& id,
                                 std::optional<double> per_second,
                                 TimePoint now) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    return;
  }
  Entry& entry = found->second;
  if (!per_second.has_value()) {
    if (entry.per_second.has_value() &&
        now - entry.named_at > kWithdrawalMargin) {
      EndLimit(&entry);
    }
    return;
  }
  entry.named_at = now;
  const double limit = std::max(*per_second, kMinPerSecond);
  if (entry.per_second == limit) {
    return;
  }
  const bool is_new = !entry.per_second.has_value();
  limited_ += is_new ? 1 : 0;
  entry.per_second = limit;
  event_({EventId::kUpstreamLimited,
          {{"upstream", id.value()}, {"per_second", absl::StrCat(limit)}}});
  // Routers learn of a limit together, and must not send together.
  const double turn =
      HashToUnit(StableHash(self_.value(), StableHash(id.value())));
  const TimePoint from =
      is_new ? now - SecondsToDuration(turn * ToSeconds(IntervalOf(entry, now)))
             : entry.last_sent;
  Refresh(&entry, from, now);
}

void UpstreamLimiter::OnSent(const UpstreamId& id, TimePoint now) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    return;
  }
  found->second.last_sent = now;
  if (found->second.per_second.has_value()) {
    Refresh(&found->second, now, now);
  }
}

void UpstreamLimiter::OnTick(TimePoint now) {
  absl::erase_if(entries_, [this, now](auto& item) {
    Entry& entry = item.second;
    if (entry.unused_since.has_value() &&
        now - *entry.unused_since > kUnusedMemory) {
      limited_ -= entry.per_second.has_value() ? 1 : 0;
      *entry.gate = LimitGate();
      return true;
    }
    if (entry.per_second.has_value() &&
        entry.routers_version != routers_->version()) {
      Refresh(&entry, std::max(entry.last_sent, entry.named_at), now);
    }
    return false;
  });
}

std::shared_ptr<const LimitGate> UpstreamLimiter::GateOf(
    const UpstreamId& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : found->second.gate;
}

Duration UpstreamLimiter::IntervalOf(const Entry& entry, TimePoint now) const {
  size_t routers = routers_->size();
  if (now - routers_->last_added() < kFleetDiscoveryTime) {
    routers = std::max(routers, kUnknownFleet);
  }
  const size_t senders = CountSenders(*entry.per_second, routers);
  if (senders >= routers_->size() ||
      routers_->IsSelfAmong(entry.spec, senders)) {
    return SecondsToDuration(
        static_cast<double>(senders) /
        RateOfSenders(*entry.per_second, senders, routers));
  }
  return std::max(kMinTrialInterval,
                  kTrialIntervalPerRouter * static_cast<int64_t>(routers));
}

void UpstreamLimiter::Refresh(Entry* entry, TimePoint from, TimePoint now) {
  entry->routers_version = routers_->version();
  entry->gate->is_limited = true;
  entry->gate->open_at = from + IntervalOf(*entry, now);
}

void UpstreamLimiter::EndLimit(Entry* entry) {
  entry->per_second.reset();
  *entry->gate = LimitGate();
  --limited_;
  event_({EventId::kUpstreamUnlimited, {{"upstream", entry->spec.id.value()}}});
}

}  // namespace papaya
