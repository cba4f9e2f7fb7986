#include "src/gateway/zone_control.h"

#include <algorithm>
#include <utility>

#include "include/admission/attempt_result.h"
#include "src/gateway/gateway_metrics.h"

namespace papaya {

namespace {

// The bound on evacuations covers the wait of a watch on a connection that went
// silent, the timeout of the call, and this time: a list, the pause between two
// routing snapshots and the messages that feed other routers.
constexpr Duration kInForceMargin = std::chrono::milliseconds(1500);
constexpr Duration kMinWait = std::chrono::milliseconds(300);
constexpr Duration kMaxWait = std::chrono::seconds(2);
// Interval between two log lines about rejections of one service.
constexpr Duration kRejectionLineInterval = std::chrono::seconds(10);

}  // namespace

ZoneControl::ZoneControl(const GatewaySettings& settings,
                         const PlatformBinding& binding,
                         PlatformStore* store,
                         Duration first_watch_delay,
                         Hooks hooks)
    : kind_(binding.evacuation_kind),
      store_(store),
      first_watch_delay_(first_watch_delay),
      hooks_(std::move(hooks)),
      regions_(settings.zone_regions),
      evacuations_(MakeEvacuationHooks(binding)) {
  regions_.try_emplace(settings.zone, settings.region);
  SetBounds(settings.bounds);
  must_list_ = watcher_ != nullptr;
}

ZoneControl::~ZoneControl() = default;

void ZoneControl::SetBounds(const GatewayBounds& bounds) {
  if (!bounds.evacuate_after.has_value() || watcher_ != nullptr) {
    return;
  }
  const Duration wait =
      *bounds.evacuate_after - kStoreCallTimeout - kInForceMargin;
  ObjectWatcher::Options options;
  options.kind = kind_;
  options.wait = std::clamp(wait, kMinWait, kMaxWait);
  options.first_watch_delay = first_watch_delay_;
  // Evacuations are rare, and a pause in which no watch is open would lose a
  // second one if the store becomes unavailable right after it.
  options.coalesce_delay = Duration();
  options.feeding_coalesce_delay = Duration();
  options.settling_coalesce_delay = Duration();
  watcher_ = std::make_unique<ObjectWatcher>(store_, std::move(options),
                                             MakeWatcherHooks());
}

ZoneEvacuations::Hooks ZoneControl::MakeEvacuationHooks(
    const PlatformBinding& binding) {
  ZoneEvacuations::Hooks hooks;
  hooks.decode = binding.decode_evacuation;
  hooks.is_known = [this](const AvailabilityZoneId& zone) {
    return regions_.contains(zone) || registered_.contains(zone);
  };
  hooks.changed = hooks_.changed;
  hooks.lifted = hooks_.lifted;
  hooks.event = hooks_.event;
  return hooks;
}

ObjectWatcher::Hooks ZoneControl::MakeWatcherHooks() {
  ObjectWatcher::Hooks hooks;
  hooks.replaced = [this](const std::vector<PlatformObject>& objects) {
    evacuations_.Replace(objects, hooks_.now());
  };
  hooks.changed = [this](const PlatformObject& object) {
    evacuations_.Apply(object, hooks_.now());
  };
  hooks.store_recovered = [] {};
  hooks.read = hooks_.read;
  hooks.now = hooks_.now;
  hooks.event = hooks_.event;
  return hooks;
}

void ZoneControl::OnTick(TimePoint now) {
  if (watcher_ != nullptr) {
    watcher_->OnTick(now);
    evacuations_.OnTick(now);
  }
}

std::vector<UpstreamRecord> ZoneControl::Mark(
    std::vector<UpstreamRecord> records) {
  registered_.clear();
  for (UpstreamRecord& record : records) {
    registered_.insert(record.zone);
    const auto region = regions_.find(record.zone);
    if (region != regions_.end()) {
      record.region = region->second;
    }
    record.is_evacuated = evacuations_.IsEvacuated(record.zone);
  }
  return records;
}

void ZoneControl::OnRejected(const PoolId& service,
                             const std::string& reason,
                             TimePoint now) {
  if (reason != RejectionReasonName(RejectionReason::kZonesEvacuated) &&
      reason != RejectionReasonName(RejectionReason::kNoAllowedRegion)) {
    return;
  }
  TimePoint& next = next_line_[{service, reason}];
  if (now < next) {
    return;
  }
  next = now + kRejectionLineInterval;
  hooks_.event({EventId::kNoUpstreamAllowed,
                {{"service", service.value()}, {"reason", reason}}});
}

void ZoneControl::Export(const std::map<AvailabilityZoneId, size_t>& running,
                         GatewayMetrics* metrics) const {
  std::vector<EvacuatedZoneState> zones;
  const TimePoint now = hooks_.now();
  for (const auto& [zone, evacuation] : evacuations_.zones()) {
    const WallTime since =
        hooks_.wall_time() -
        std::chrono::duration_cast<std::chrono::milliseconds>(now -
                                                              evacuation.since);
    const auto requests = running.find(zone);
    zones.push_back(
        {.zone = zone,
         .since = since,
         .running = requests == running.end() ? 0 : requests->second});
  }
  metrics->SetEvacuatedZones(zones);
}

}  // namespace papaya
