#ifndef SRC_ADMISSION_KNOWN_ROUTERS_H_
#define SRC_ADMISSION_KNOWN_ROUTERS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "include/base/ids.h"
#include "include/base/units.h"
#include "include/routing/routing_snapshot.h"
#include "src/routing/router_subset.h"

namespace papaya {

// The routers that are live or were live lately. Both sides of a partition keep
// counting the routers of the other side, so that they choose the same ones.
class KnownRouters {
 public:
  explicit KnownRouters(RouterLocation self);

  // Sets which routers are preferred for an upstream.
  void SetPreference(ZonePreference preference);
  // Sets the live routers.
  void Set(const std::vector<RouterLocation>& live, TimePoint now);
  // Forgets routers that have been gone for long.
  void OnTick(TimePoint now);

  // The same rendezvous hash as in RoutingSnapshot, but over all known routers.
  // A live router that is among the first `count` of the known ones is also
  // among the first `count` of the live ones, so it uses the upstream.
  bool IsSelfAmong(const UpstreamSpec& upstream, size_t count) const {
    return subset_->IsSelfAmong(upstream, count);
  }

  // The number of known routers, including this one.
  size_t size() const { return routers_.size(); }
  // Changes whenever the known routers change.
  uint64_t version() const { return version_; }
  // When a router that was unknown before was last added.
  TimePoint last_added() const { return last_added_; }

 private:
  struct Known {
    AvailabilityZoneId zone;
    TimePoint last_live;
    bool is_live = false;
  };

  void Rebuild();

  const RouterLocation self_;
  ZonePreference preference_ = ZonePreference::kOwnZone;
  std::map<RouterId, Known> routers_;
  std::unique_ptr<RouterSubset> subset_;
  uint64_t version_ = 0;
  TimePoint last_added_;
};

}  // namespace papaya

#endif  // SRC_ADMISSION_KNOWN_ROUTERS_H_
