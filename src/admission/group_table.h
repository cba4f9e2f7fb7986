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

// All groups that a router has routes to, or still has requests of, by a
// number that stays the same over snapshots.
class GroupTable {
 public:
  // Takes over the groups of `snapshot`, whose upstreams `upstreams` must know.
  // Groups that are gone stay, unusable, until they are idle.
  void Apply(const RoutingSnapshot& snapshot, const UpstreamTable& upstreams);

  GroupState& at(int32_t number) {
    return *groups_[static_cast<size_t>(number)];
  }

  // The number of `name`; -1 if it is not known.
  int32_t Find(const PoolVersion& name) const;

  // Numbers run from 0 to below this; some may be unused.
  size_t size() const { return groups_.size(); }

  // Works out anew what the reports of other routers say.
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
