#ifndef INCLUDE_ADMISSION_WARMUP_LIMITER_H_
#define INCLUDE_ADMISSION_WARMUP_LIMITER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "include/base/ids.h"
#include "include/base/units.h"
#include "include/routing/routing_snapshot.h"
#include "include/telemetry/event.h"

namespace papaya {

class KnownRouters;
class ZoneOutages;

// The bound on requests to a cold upstream. In any second, all routers together
// may send `WarmupRate::per_second` x `over` + `slack`.
struct WarmupBounds {
  double over = 1.0;
  double slack = 0.0;

  bool operator==(const WarmupBounds&) const = default;
};

// How the upstreams of one service warm up.
struct WarmupRate {
  // How long an upstream is cold. Zero for services without warm-up.
  Duration time{};
  // The requests a second that a cold upstream sustains.
  double per_second = 0.0;

  bool IsLimited() const { return time > Duration() && per_second > 0.0; }
  bool operator==(const WarmupRate&) const = default;
};

// Whether this router may send to one upstream. Shared with the scheduler, so
// that the check of a warm upstream is one comparison.
struct ColdGate {
  // The upstream is warm from this time on.
  TimePoint cold_until;
  // While it is cold, the earliest time of the next request.
  TimePoint send_at;
  // The same if no other upstream accepts work.
  TimePoint last_resort_at = TimePoint::max();
  TimePoint last_sent;

  bool IsCold(TimePoint now) const { return now < cold_until; }
  bool IsClosed(TimePoint now) const { return IsCold(now) && now < send_at; }
};

// Limits the requests to cold upstreams. An upstream is cold for some seconds
// after a start or an outage, and crashes if all routers send their full load
// to it at once, as they do when a whole zone returns.
//
// Each router applies the limit by itself. Of the routers known lately, a few
// are the warmers of an upstream, by the same rendezvous hash that assigns
// upstreams to routers. Each warmer may send one request at a time at its part
// of the rate; the other routers send nothing. The sum stays below the bound
// with room for some warmers too many, as views differ for some seconds.
//
// An upstream is cold if its registration or a response says so. It is presumed
// cold after it was unreachable, or after a part of its zone was. The
// presumption ends WarmupRate::time after the upstream answers, or when its
// registration has counted down to zero. Routers that are not warmers learn of
// the answer by rare requests of their own.
//
// Does nothing while it has no bounds, and for services without a WarmupRate.
// `now` must not decrease. Not thread-safe.
class WarmupLimiter {
 public:
  struct Options {
    RouterLocation self;
    // False if the settings name no other router. Such a router takes the whole
    // rate.
    bool has_peers = false;
    // True if the whole fleet starts for the first time, so that the upstreams
    // that are registered have had no traffic and no outage.
    bool is_first_start = false;
  };

  enum class Source : uint8_t { kRegistration, kResponse };

  WarmupLimiter(Options options, EventHook event);
  ~WarmupLimiter();

  // Sets the bound, or switches the limiter off, and the services' rates.
  void SetLimits(std::optional<WarmupBounds> bounds,
                 absl::flat_hash_map<PoolId, WarmupRate> rates,
                 TimePoint now);

  // Sets the live routers. The first call starts the time during which this
  // router discovers the others.
  void SetRouters(const std::vector<RouterLocation>& routers, TimePoint now);

  // Sets the registered upstreams and those that this router uses.
  void SetUpstreams(const RoutingSnapshot& snapshot, TimePoint now);

  // The upstream said that it stays cold for `left`, which may be zero.
  void OnReport(const UpstreamId& id,
                Duration left,
                Source source,
                TimePoint now);
  // An attempt found the upstream unreachable or lost its connection.
  void OnUnreachable(const UpstreamId& id, TimePoint now);
  // An attempt ended without a response. The upstream may be unreachable,
  // unless it has answered others meanwhile.
  void OnSilent(const UpstreamId& id, TimePoint now);
  // The upstream has sent something.
  void OnAnswer(const UpstreamId& id, TimePoint now);
  // The upstream may have become cold unnoticed.
  void PresumeCold(const UpstreamId& id, TimePoint now);
  // A request was sent to the upstream.
  void OnSent(const UpstreamId& id, TimePoint now);

  // Call at least every 50 ms.
  void OnTick(TimePoint now);

  // Returns null for unlimited upstreams.
  std::shared_ptr<ColdGate> GateOf(const UpstreamId& id) const;

  // The routers known lately, which other limits depend on, too.
  const KnownRouters& known_routers() const { return *routers_; }

  // Number of upstreams that are or may be cold.
  size_t cold_upstreams() const { return cold_; }
  // Number of requests that this router has sent to cold upstreams.
  uint64_t cold_requests() const { return cold_requests_; }

 private:
  struct Entry;
  using Entries = absl::flat_hash_map<UpstreamId, std::unique_ptr<Entry>>;
  // Which part of the rate this router may take.
  enum class Phase : uint8_t {
    kStarting,  // nothing, as it does not know the other routers yet
    kAlone,     // next to nothing, as it has lost the other routers
    kYoung,     // a small part, as it may know few of the other routers
    kSettled,   // its whole part
  };

  Entry* Find(const UpstreamId& id);
  const WarmupRate* RateOf(const PoolId& pool) const;
  Entry* Add(const UpstreamSpec& spec, TimePoint now);
  // True if an outage of an upstream that this router begins to use now may
  // have gone unnoticed.
  bool MayBeOutdated(TimePoint now) const;
  void Presume(Entry* entry, const char* source, TimePoint now);
  void EndCold(Entry* entry, TimePoint now);
  void SetCold(Entry* entry, TimePoint until, const char* source);
  Phase PhaseAt(TimePoint now) const;
  bool IsWarmer(Entry* entry, size_t count);
  // Recomputes when the next request may be sent.
  void Refresh(Entry* entry, Phase phase, TimePoint now);
  void LogHeldBack(Phase phase);

  const Options options_;
  const EventHook event_;
  std::optional<WarmupBounds> bounds_;
  absl::flat_hash_map<PoolId, WarmupRate> rates_;
  Entries entries_;
  // Reports of upstreams that no snapshot has yet, as the end of the cold time.
  absl::flat_hash_map<UpstreamId, TimePoint> early_reports_;
  std::unique_ptr<KnownRouters> routers_;
  std::unique_ptr<ZoneOutages> outages_;
  std::optional<TimePoint> started_;
  size_t cold_ = 0;
  uint64_t cold_requests_ = 0;
  bool is_held_back_ = false;
};

}  // namespace papaya

#endif  // INCLUDE_ADMISSION_WARMUP_LIMITER_H_
