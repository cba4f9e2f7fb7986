#ifndef INCLUDE_GATEWAY_STORE_FEED_H_
#define INCLUDE_GATEWAY_STORE_FEED_H_

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "include/base/ids.h"
#include "include/base/units.h"
#include "include/routing/routing_snapshot.h"
#include "include/wire/feed_messages.h"

namespace papaya {

// Decides which routers read the platform's store and which are fed by them, so
// that the calls to the store do not grow with the fleet.
//
// In a large fleet, a few routers of each availability zone read the store.
// The others ask two of these to pass on what they read, and turn to the next
// one if one of them is silent. There is no election: each router computes the
// order of the readers of its zone by rendezvous hash, and a router that is
// asked passes on what it has, whatever it takes itself for. Does no I/O;
// single-threaded.
class StoreFeed {
 public:
  // Smaller fleets gain little, so all of their routers read for themselves.
  static constexpr size_t kMinFleet = 24;
  // Readers of an availability zone, and routers that one router asks.
  static constexpr size_t kReadersPerZone = 2;
  // Interval of the requests, and of the updates without changes.
  static constexpr Duration kRequestInterval = std::chrono::seconds(1);
  static constexpr Duration kUpdateInterval = std::chrono::milliseconds(300);
  // A router is fed until this long after its last request.
  static constexpr Duration kRequestLifetime = std::chrono::milliseconds(3500);
  // A reader that sent nothing for so long is passed over for kRetryInterval.
  static constexpr Duration kSilenceLimit = std::chrono::milliseconds(900);
  static constexpr Duration kRetryInterval = std::chrono::seconds(10);

  struct Hooks {
    std::function<void(const RouterId&, const FeedRequest&)> request;
    std::function<void(const RouterId&, const FeedUpdate&)> update;
    // Returns what this router knows, one entry per kind, without changes.
    std::function<std::vector<KindFeed>(TimePoint now)> snapshot;
    // Other routers have begun or ceased to depend on this one.
    std::function<void(bool is_feeding)> feeding_changed;
  };

  StoreFeed(RouterLocation self, Hooks hooks);

  // Sets the live routers; this one may be among them.
  void SetRouters(const std::vector<RouterLocation>& routers);

  // Another router asks to be fed.
  void OnRequest(const RouterId& from, TimePoint now);
  // Another router has passed on what it knows.
  void OnUpdate(const RouterId& from, TimePoint now);
  // This router has read changes from the store.
  void OnRead(const KindFeed& feed);

  // Call every 100 ms.
  void OnTick(TimePoint now);

  // True if this router asks others instead of reading for itself.
  bool IsFollower() const { return !readers_.empty(); }
  bool IsFeeding() const { return !followers_.empty(); }
  // The routers that this one asks now.
  std::vector<RouterId> Sources(TimePoint now) const;

 private:
  struct Reader {
    TimePoint last_update;
    // Since when this router asks it; empty if it does not.
    std::optional<TimePoint> asked_since;
    TimePoint avoided_until;
  };

  // Passes over the sources that are silent. Returns true if there were any.
  bool AvoidSilent(TimePoint now);
  void RequestUpdates(TimePoint now);
  void ForgetFollowers(TimePoint now);

  const RouterLocation self_;
  const Hooks hooks_;
  // The other routers of the zone in the order in which this router asks them.
  // Empty if it reads for itself.
  std::vector<RouterId> readers_;
  std::map<RouterId, Reader> states_;
  // Time of the last request of each router that is fed by this one.
  std::map<RouterId, TimePoint> followers_;
  TimePoint next_request_;
  TimePoint next_update_;
};

}  // namespace papaya

#endif  // INCLUDE_GATEWAY_STORE_FEED_H_
