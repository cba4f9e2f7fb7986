#ifndef INCLUDE_CONFIG_CONFIG_SPREADER_H_
#define INCLUDE_CONFIG_CONFIG_SPREADER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "include/base/ids.h"
#include "include/base/random.h"
#include "include/base/units.h"
#include "include/config/config_messages.h"
#include "include/config/fact_set.h"
#include "include/config/fleet_view.h"
#include "include/config/revision_report.h"
#include "include/telemetry/event.h"

namespace papaya {

class AppliedTable;
class ConfigHistory;
class ConfigReader;
class FactGossip;
class ObjectStore;

// Brings each accepted revision of the configuration to this router, and on to
// others.
//
// A few routers of each availability zone, chosen by rendezvous hash over the
// routers that live, watch the configuration object in the store. The others
// learn from neighbours: digests tell who has more, and whoever has less asks
// for the deltas from its own revision, or for the whole if those are gone. A
// router that hears nothing for long reads the store itself, within a budget.
//
// Only a higher revision is adopted, whole and checked. The first one goes in
// force only when the store gave it, or when the neighbours asked have nothing
// higher; in an outage of the store that is the highest they hold.
//
// Beside it spread facts (see FactSet) and the revisions that other routers
// have in force.
class ConfigSpreader {
 public:
  struct Options {
    RouterId self;
    // Key of the configuration in the store.
    std::string store_key;
    // Readers in each availability zone.
    size_t readers_per_zone = 2;
    // Between digests to a few random neighbours.
    Duration digest_period = std::chrono::seconds(1);
    // A request without answer is made anew, elsewhere if possible.
    Duration delta_timeout = std::chrono::milliseconds(600);
    Duration snapshot_timeout = std::chrono::seconds(3);
    // A router without gossip for so long reads the store itself.
    Duration silence_limit = std::chrono::seconds(10);
    // Longest wait for the highest known revision before a starting router
    // takes what it has.
    Duration start_limit = std::chrono::seconds(8);
    // Whole configurations sent to others, each second.
    int snapshots_per_second = 8;
  };

  struct Hooks {
    // Sends to a neighbour; may be lost.
    std::function<void(const RouterId& to, const ConfigMessage&)> send;
    // A revision is in force here; called once for each, ever higher. The
    // first call makes the router ready.
    std::function<void(std::shared_ptr<const FleetConfig>)> in_force;
    // The facts grew, or a revision made some moot.
    std::function<void(const FactSet&)> facts_changed;
    EventHook event;
  };

  // `store` must outlive this. All hooks must be set.
  ConfigSpreader(Options options,
                 ObjectStore* store,
                 Hooks hooks,
                 Random random,
                 TimePoint now);
  ~ConfigSpreader();

  // The routers that run, from Membership; call on each change.
  void OnView(const FleetView& view, TimePoint now);

  // A message from the router `from`, in any order, any number of times.
  void OnMessage(const RouterId& from,
                 const ConfigMessage& message,
                 TimePoint now);

  // Call every 100 ms.
  void OnTick(TimePoint now);

  // A configuration that the store has accepted from this router; spares the
  // way round through a watch. False if it is not higher or has faults.
  bool Offer(std::shared_ptr<const FleetConfig> config, TimePoint now);

  // Adds a fact here and tells others. False if the set is full.
  bool AddFact(const StoppedVersion& fact, TimePoint now);
  bool AddFact(const LeavingUpstream& fact, TimePoint now);

  // In force here; null if none is yet.
  std::shared_ptr<const FleetConfig> config() const { return config_; }
  const FactSet& facts() const;

  // Which revision is in force where, as far as known here.
  RevisionReport Report() const;

  // True while this router watches the store for its availability zone.
  bool IsReader() const;

 private:
  void Handle(const RouterId& from, const ConfigDigest& digest);
  void Handle(const RouterId& from, const ConfigRequest& request);
  void Handle(const RouterId& from, const ConfigDeltas& message);
  void Handle(const RouterId& from, const ConfigSnapshot& message);
  void Handle(const RouterId& from, const FactNews& message);
  void Handle(const RouterId& from, const AppliedNews& message);

  // Takes `config` if it is higher than what is held, and checks it first.
  // `steps` lead to it from what is held; empty works them out.
  bool Adopt(std::shared_ptr<const FleetConfig> config,
             uint64_t hash,
             const std::string& source,
             std::vector<ConfigDelta> steps);
  void OnStoreConfig(std::shared_ptr<const FleetConfig> config);
  // Puts the held revision in force if it may be.
  void EnforceIfDue();
  bool MayEnforceFirst() const;
  void Enforce();
  void LearnOwnRevision();

  // The revision held, in force or waiting to be; 0 if none.
  Revision HeldRevision() const;
  ConfigDigest MakeDigest() const;
  void Ask(const RouterId& peer, Revision base);
  void SendSnapshot(const RouterId& to);
  void SendDigests();
  void SendToSome(size_t count, const ConfigMessage& message);
  void SendFacts(const RouterId& to);
  void SendApplied(const RouterId& to);
  void FlushFacts();
  void FlushApplied();
  void NoteKnown(Revision revision);
  void ChooseReaders();
  void ReadStoreIfSilent();
  void Log(EventId id, const std::string& key, const std::string& value) const;

  const Options options_;
  const Hooks hooks_;
  Random random_;
  TimePoint now_;
  const TimePoint started_;

  FleetView view_;
  // Highest revision here; becomes config_ when it goes in force.
  std::shared_ptr<const FleetConfig> held_;
  uint64_t held_hash_ = 0;
  std::shared_ptr<const FleetConfig> config_;
  std::unique_ptr<ConfigHistory> history_;
  std::unique_ptr<AppliedTable> applied_;
  std::unique_ptr<ConfigReader> reader_;
  std::unique_ptr<FactGossip> facts_;

  Revision highest_known_;
  // When highest_known_ first passed what is held here.
  TimePoint behind_since_;
  // Neighbours whose digest came since the start.
  std::set<RouterId> heard_;
  TimePoint last_heard_;
  // The highest revision that the store gave; 0 if it gave none.
  Revision store_revision_;
  // Until then a request for a revision may still be answered.
  TimePoint pending_until_;
  bool is_reader_chosen_ = false;
  TimePoint next_digest_;
  TimePoint next_applied_flush_;
  TimePoint next_applied_table_;
  TimePoint snapshot_second_;
  int snapshots_sent_ = 0;
};

}  // namespace papaya

#endif  // INCLUDE_CONFIG_CONFIG_SPREADER_H_
