#ifndef SRC_ADMISSION_GROUP_TABLE_H_
#define SRC_ADMISSION_GROUP_TABLE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "include/base/units.h"
#include "include/routing/routing_snapshot.h"
#include "src/admission/group_state.h"
#include "src/admission/peer_table.h"
#include "src/admission/upstream_table.h"

namespace papaya {

// All groups that a router has routes to or still holds requests of. Each has
// an index that is stable across snapshots.
class GroupTable {
 public:
  // Adds and updates the groups of `snapshot`, whose upstreams must be in
  // `upstreams`. Removed groups stay, unusable, until they are idle.
  void Apply(const RoutingSnapshot& snapshot, const UpstreamTable& upstreams);

  GroupState& at(int32_t number) {
    return *groups_[static_cast<size_t>(number)];
  }

  // Returns the index of `name`; -1 if it is unknown.
  int32_t Find(const PoolVersion& name) const;

  // Indexes run from 0 to below this; some may be unused.
  size_t size() const { return groups_.size(); }

  // Recomputes the demand of other routers from their reports.
  void ApplyPeers(const PeerTable& peers, TimePoint now);

 private:
  int32_t Add(const PoolVersion& name);
  void AddPeerDemand(const DemandReport& report);

  std::vector<std::unique_ptr<GroupState>> groups_;
  std::vector<int32_t> unused_;
  std::map<PoolVersion, int32_t> numbers_;
};

}  // namespace papaya

#endif  // SRC_ADMISSION_GROUP_TABLE_H_
