#ifndef SRC_MEMBERSHIP_MEMBER_TABLE_H_
#define SRC_MEMBERSHIP_MEMBER_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "include/base/ids.h"
#include "include/base/units.h"
#include "include/membership/member_messages.h"

namespace papaya {

struct Member {
  MemberRecord record;
  // When the state was learnt.
  TimePoint since;
};

// True unless the router is dead.
inline bool IsRunning(const MemberRecord& record) {
  return record.state != RouterState::kDead;
}

// True if `a` holds over `b`, which is of the same router.
bool IsNewer(const MemberStamp& a, const MemberStamp& b);

// All routers known, by id and by key.
class MemberTable {
 public:
  enum class Outcome {
    kChanged,  // taken; it holds over what was known
    kSame,     // nothing new
    kOlder,    // what is known holds over it
    kUnknown,  // of a router or incarnation whose record is not known
    kIgnored,  // a dead router that was not known, or no room
  };

  explicit MemberTable(size_t max_members) : max_members_(max_members) {}

  Outcome Apply(const MemberRecord& record, TimePoint now);
  Outcome Apply(const MemberStamp& stamp, TimePoint now);

  // Null if not known.
  const Member* Find(const RouterId& id) const;
  const Member* FindKey(uint64_t key) const;

  const std::map<RouterId, Member>& members() const { return members_; }

  // A digest of the routers that run, whole and by zone.
  const MemberDigest& Digest() const;

  // Stamps of the routers of those zones, dead ones too.
  MemberStamps StampsOf(const std::vector<AvailabilityZoneId>& zones) const;

  // Forgets routers that are dead since before `before`.
  void ForgetDead(TimePoint before);

  // Moves all times forward, after a pause of this process.
  void Shift(Duration pause);

 private:
  Outcome Insert(const MemberRecord& record, TimePoint now);
  // Makes room by forgetting the router that is dead for longest.
  bool ForgetOldestDead();
  void Forget(const RouterId& id);

  const size_t max_members_;
  std::map<RouterId, Member> members_;
  absl::flat_hash_map<uint64_t, Member*> by_key_;
  // The digest of the members as they were when it was last asked for.
  mutable MemberDigest digest_;
  mutable bool is_digest_stale_ = true;
};

}  // namespace papaya

#endif  // SRC_MEMBERSHIP_MEMBER_TABLE_H_
