#ifndef SRC_GATEWAY_ZONE_CONTROL_H_
#define SRC_GATEWAY_ZONE_CONTROL_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "include/gateway/gateway_settings.h"
#include "include/gateway/object_watcher.h"
#include "include/gateway/platform_binding.h"
#include "include/gateway/upstream_record.h"
#include "include/gateway/zone_evacuations.h"

namespace papaya {

class GatewayMetrics;

// What this router knows of availability zones: their regions from the
// settings, and their evacuations, which it watches in the platform's store if
// the settings have a bound for them. Single-threaded.
class ZoneControl {
 public:
  struct Hooks {
    // The result of Mark has changed.
    std::function<void()> changed;
    // The evacuation of a zone has ended; its upstreams may be cold.
    std::function<void(const AvailabilityZoneId&)> lifted;
    // See ObjectWatcher::Hooks.
    std::function<void(const KindFeed&)> read;
    std::function<TimePoint()> now;
    std::function<WallTime()> wall_time;
    EventHook event;
  };

  // `store` must outlive the object.
  ZoneControl(const GatewaySettings& settings,
              const PlatformBinding& binding,
              PlatformStore* store,
              Duration first_watch_delay,
              Hooks hooks);
  ~ZoneControl();

  // Begins to watch evacuations if `bounds` call for it and it does not watch
  // yet. It goes on until the process ends, because an evacuation must not end
  // by an edit of the settings.
  void SetBounds(const GatewayBounds& bounds);

  // The watcher of evacuations; null if they are not watched.
  ObjectWatcher* watcher() const { return watcher_.get(); }

  // False until the evacuations are known, if they are watched from the start.
  // A bound that is set later does not count, so that a router that serves does
  // not cease to be ready.
  bool IsListed() const { return !must_list_ || watcher_->IsListed(); }

  void OnTick(TimePoint now);

  // Returns `records` with the regions of the upstreams and with those in
  // evacuated zones marked.
  std::vector<UpstreamRecord> Mark(std::vector<UpstreamRecord> records);

  // A request to `service` was rejected for `reason`, a RejectionReasonName.
  // Logs it if evacuations or regions are the cause.
  void OnRejected(const PoolId& service,
                  const std::string& reason,
                  TimePoint now);

  // Sets the metrics of evacuated zones. `running` is the number of requests at
  // the upstreams of each zone.
  void Export(const std::map<AvailabilityZoneId, size_t>& running,
              GatewayMetrics* metrics) const;

 private:
  ZoneEvacuations::Hooks MakeEvacuationHooks(const PlatformBinding& binding);
  ObjectWatcher::Hooks MakeWatcherHooks();

  const std::string kind_;
  PlatformStore* const store_;
  const Duration first_watch_delay_;
  const Hooks hooks_;
  std::map<AvailabilityZoneId, RegionId> regions_;
  // Zones that a registration has had.
  absl::flat_hash_set<AvailabilityZoneId> registered_;
  ZoneEvacuations evacuations_;
  std::unique_ptr<ObjectWatcher> watcher_;
  bool must_list_ = false;
  // When the next line about rejections may be logged.
  std::map<std::pair<PoolId, std::string>, TimePoint> next_line_;
};

}  // namespace papaya

#endif  // SRC_GATEWAY_ZONE_CONTROL_H_
