#ifndef SRC_MEMBERSHIP_MEMBER_SYNC_H_
#define SRC_MEMBERSHIP_MEMBER_SYNC_H_

#include <set>
#include <string>
#include <vector>

#include "include/base/ids.h"
#include "include/membership/member_messages.h"

namespace papaya {

class MemberTable;

// The answers that a router gives from its table to what others ask.

// Zones that the two digests do not have alike.
std::vector<AvailabilityZoneId> FindDifferingZones(const MemberDigest& a,
                                                   const MemberDigest& b);

// What `table` knows of the zones of `message` that holds over the stamps in
// it. Dead routers that the sender does not know are left out.
MemberNews MakeRepairs(const MemberTable& table, const MemberStamps& message);

// The records of all routers that run, and of `joining` in any case.
MemberNews MakeJoinAnswer(const MemberTable& table, const RouterId& joining);

// The records that `request` asks for, as far as known.
MemberNews MakeRecords(const MemberTable& table, const MemberRequest& request);

// Peers to call in case they can be reached again.
struct LostPeers {
  // Dead routers; only those in the VM list, if any is.
  std::vector<PeerAddress> dead;
  // Seeds that no running router has the address of.
  std::vector<PeerAddress> seeds;
};

LostPeers FindLostPeers(const MemberTable& table,
                        const std::vector<std::string>& seeds,
                        const std::set<RouterId>& vm_list);

}  // namespace papaya

#endif  // SRC_MEMBERSHIP_MEMBER_SYNC_H_
