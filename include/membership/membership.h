#ifndef INCLUDE_MEMBERSHIP_MEMBERSHIP_H_
#define INCLUDE_MEMBERSHIP_MEMBERSHIP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "include/base/ids.h"
#include "include/base/random.h"
#include "include/base/units.h"
#include "include/config/fleet_view.h"
#include "include/membership/member_messages.h"
#include "include/membership/overlay.h"
#include "include/telemetry/event.h"

namespace papaya {

class MemberTable;
class Prober;
class ViewKeeper;
struct Member;

// Knows which routers of the fleet run, by gossip alone (after SWIM).
//
// Each router is probed by a few others, chosen by rendezvous hash (see
// Overlay). One that answers neither directly nor through others is suspected;
// all are told, and it has a short time to refute. Then it is dead, and is
// told on as such. A router that hears of its own suspicion or death refutes
// it, so a living one never stays buried. Digests with neighbours repair what
// was lost, and now and then a router calls a dead one or a seed, so that the
// parts of a split fleet find each other again.
class Membership {
 public:
  struct Options {
    RouterId self;
    Incarnation incarnation;
    // Where other routers reach this one, IP:PORT.
    std::string address;
    RegionId region;
    AvailabilityZoneId zone;
    // Addresses of routers to meet first, until SetSeeds; its own is passed
    // over.
    std::vector<std::string> seeds;
    OverlayShape overlay;
    // From one probe of a router to the next.
    Duration probe_period = std::chrono::seconds(1);
    // From the suspicion of a router to its death.
    Duration suspicion_time = std::chrono::milliseconds(1500);
    // Between digests to a random neighbour.
    Duration digest_period = std::chrono::seconds(1);
    // Between calls of dead routers and of seeds.
    Duration reconnect_period = std::chrono::seconds(5);
    // A dead router is forgotten after this.
    Duration dead_lifetime = std::chrono::minutes(30);
  };

  struct Hooks {
    // Sends to a router; may be lost, doubled or late.
    std::function<void(const PeerAddress& to, const MemberMessage&)> send;
    // The routers that run, their states or the neighbours have changed.
    std::function<void(const FleetView&)> view_changed;
    // This router goes on under a later incarnation, as the fleet knew one of
    // its name that was not earlier than its own.
    std::function<void(Incarnation)> incarnation_changed;
    EventHook event;
  };

  // Most routers known, dead ones included.
  static constexpr size_t kMaxMembers = 4096;

  // All hooks must be set. Calls `view_changed` for the first time in the
  // first OnTick.
  Membership(Options options, Hooks hooks, Random random, TimePoint now);
  ~Membership();

  // A message from the router `from`, as the connection proved its name.
  void OnMessage(const RouterId& from,
                 const MemberMessage& message,
                 TimePoint now);

  // Call every 100 ms.
  void OnTick(TimePoint now);

  // The routers that run according to the platform's VM list, which lags; names
  // of other machines do no harm. A suspect router that has gone from it has
  // less time to refute, and a dead one that stands there is called first.
  // Nothing else follows from it.
  void OnVmList(const std::vector<RouterId>& running, TimePoint now);

  // Replaces the seeds. One of them that no running router has the address of
  // is contacted within a second.
  void SetSeeds(std::vector<std::string> seeds, TimePoint now);

  // Tells the fleet that this router takes nothing new.
  void SetDraining(TimePoint now);

  // Tells the neighbours that this router stops now; call nothing after it.
  void Leave(TimePoint now);

  const FleetView& view() const;
  Incarnation incarnation() const;

 private:
  // One probe made for another router.
  struct Relay {
    RouterId requester;
    uint64_t sequence = 0;
    TimePoint made;
  };

  void Handle(const RouterId& from, const Probe& probe);
  void Handle(const RouterId& from, const ProbeAck& ack);
  void Handle(const RouterId& from, const ProbeRequest& request);
  void Handle(const RouterId& from, const MemberNews& news);
  void Handle(const RouterId& from, const MemberJoin& join);
  void Handle(const RouterId& from, const MemberRequest& request);
  void Handle(const RouterId& from, const MemberDigest& digest);
  void Handle(const RouterId& from, const MemberStamps& message);

  // What `from` says of routers.
  void TakeStamps(const RouterId& from, const std::vector<MemberStamp>& stamps);
  void TakeRecord(const RouterId& from, const MemberRecord& record);
  // What `from` says of itself; it is told if others said later things of it.
  void TakeSelfStamp(const RouterId& from, const MemberStamp& stamp);
  // Refutes what was said of this router, if it holds over its own word.
  void AnswerFor(const MemberStamp& said);
  void SetOwnState(RouterState state);
  void SetOwn(const MemberRecord& record);
  const MemberRecord& Own() const;
  MemberStamp OwnStamp() const;
  void OnChanged(const MemberRecord& record, bool is_new);

  void Suspect(const RouterId& id);
  void BurySuspects();
  Duration SuspicionTime(const RouterId& id) const;
  void FlushNews();
  void SendDigest();
  void Reconnect();
  // Makes the next call of Reconnect due at a random time within `spread`.
  void ReconnectWithin(Duration spread);
  void JoinNextSeed();
  void RefreshView();
  void SkipPause();
  void Send(const RouterId& to, const MemberMessage& message);
  void SendToNeighbours(const MemberMessage& message);
  std::vector<RouterId> PickHelpers(const RouterId& target);
  void Log(EventId id, const RouterId& router);

  const Options options_;
  const Hooks hooks_;
  Random random_;
  std::vector<std::string> seeds_;
  TimePoint now_;
  TimePoint last_tick_;

  std::unique_ptr<MemberTable> table_;
  // This router's own entry in the table.
  const Member* own_;
  std::unique_ptr<Prober> prober_;
  std::unique_ptr<ViewKeeper> view_;
  // Routers whose news is still to be told; true if with the whole record.
  std::map<RouterId, bool> news_;
  // Among them all routers that are suspect.
  std::set<RouterId> suspects_;
  // By the sequence of the probe made for the other router.
  absl::flat_hash_map<uint64_t, Relay> relays_;
  std::set<RouterId> vm_list_;
  // Routers known here that some list has shown.
  std::set<RouterId> listed_once_;
  size_t next_seed_ = 0;
  // True if the last call went to a seed or none was due.
  bool is_seed_next_ = false;
  TimePoint next_digest_;
  TimePoint next_forget_;
  TimePoint next_reconnect_;
  TimePoint next_join_;
  TimePoint next_incarnation_;
};

}  // namespace papaya

#endif  // INCLUDE_MEMBERSHIP_MEMBERSHIP_H_
