#ifndef INCLUDE_MEMBERSHIP_MEMBER_MESSAGES_H_
#define INCLUDE_MEMBERSHIP_MEMBER_MESSAGES_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "include/base/ids.h"
#include "include/config/fleet_view.h"

namespace papaya {

// Whom to send to: a router, or the address of one whose name is not known.
struct PeerAddress {
  // Empty for a seed that was never met.
  RouterId router;
  std::string address;

  bool operator==(const PeerAddress&) const = default;
};

// All that is told of one router. Of two records of a router the one with the
// later incarnation holds, then the one with more refutations, then the one
// with the larger state.
struct MemberRecord {
  RouterId id;
  Incarnation incarnation;
  // Grows each time the router answers a suspicion of itself.
  uint32_t refutations = 0;
  RouterState state = RouterState::kAlive;
  // Where other routers reach it, IP:PORT.
  std::string address;
  RegionId region;
  AvailabilityZoneId zone;

  bool operator==(const MemberRecord&) const = default;
};

// The part of a record that changes while a router runs.
struct MemberStamp {
  // MemberKey of the router.
  uint64_t key = 0;
  Incarnation incarnation;
  uint32_t refutations = 0;
  RouterState state = RouterState::kAlive;

  bool operator==(const MemberStamp&) const = default;
};

// Asks whether the receiver runs. It answers with a ProbeAck of the same
// sequence.
struct Probe {
  uint64_t sequence = 0;
  // What the sender says of itself.
  MemberStamp sender;

  bool operator==(const Probe&) const = default;
};

struct ProbeAck {
  uint64_t sequence = 0;
  // Whom the answer is from: the sender, or the target of a ProbeRequest.
  MemberStamp target;

  bool operator==(const ProbeAck&) const = default;
};

// Asks the receiver to probe `target` for the sender, and to pass the answer
// on with this sequence.
struct ProbeRequest {
  uint64_t sequence = 0;
  RouterId target;

  bool operator==(const ProbeRequest&) const = default;
};

// News of routers: records where the receiver may not know them, else stamps.
struct MemberNews {
  std::vector<MemberRecord> records;
  std::vector<MemberStamp> stamps;

  bool operator==(const MemberNews&) const = default;
};

// Asks for all records. The receiver takes up the sender's own.
struct MemberJoin {
  MemberRecord sender;

  bool operator==(const MemberJoin&) const = default;
};

// Asks for the records of the routers with these keys.
struct MemberRequest {
  std::vector<uint64_t> keys;

  bool operator==(const MemberRequest&) const = default;
};

struct ZoneDigest {
  AvailabilityZoneId zone;
  uint64_t hash = 0;

  bool operator==(const ZoneDigest&) const = default;
};

// A digest of all routers that run. A receiver with another one answers with
// the digests of its zones, and is answered with MemberStamps of those that
// differ.
struct MemberDigest {
  uint64_t hash = 0;
  std::vector<ZoneDigest> zones;

  bool operator==(const MemberDigest&) const = default;
};

// All routers that the sender knows in `zones`, dead ones too.
struct MemberStamps {
  std::vector<AvailabilityZoneId> zones;
  std::vector<MemberStamp> stamps;

  bool operator==(const MemberStamps&) const = default;
};

// Every message between the Memberships of two routers.
using MemberMessage = std::variant<Probe,
                                   ProbeAck,
                                   ProbeRequest,
                                   MemberNews,
                                   MemberJoin,
                                   MemberRequest,
                                   MemberDigest,
                                   MemberStamps>;

// Stands for a router's id in messages that name many.
uint64_t MemberKey(const RouterId& router);

// The stamp of `record`.
MemberStamp StampOf(const MemberRecord& record);

// The estimated bytes of `message` on the wire.
size_t EncodedSize(const MemberMessage& message);

}  // namespace papaya

#endif  // INCLUDE_MEMBERSHIP_MEMBER_MESSAGES_H_
