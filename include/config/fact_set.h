#ifndef INCLUDE_CONFIG_FACT_SET_H_
#define INCLUDE_CONFIG_FACT_SET_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <tuple>
#include <vector>

#include "include/config/config_messages.h"

namespace papaya {

// Facts that no later news takes back: versions stopped and upstreams leaving.
// They need neither lease nor store, so they hold in any outage. A fact is
// dropped only when a configuration later than it makes it moot; the last
// thousands of those dropped are remembered, so that a router that was cut off
// does not bring them back. Ids of upstreams are never used a second time.
class FactSet {
 public:
  static constexpr size_t kMaxStoppedVersions = 1024;
  static constexpr size_t kMaxLeavingUpstreams = 8192;
  static constexpr size_t kMaxDropped = 4096;

  enum class AddResult {
    kAdded,
    kKnown,  // already there
    kMoot,   // the configuration in force is later and needs it no more
    kFull,   // at the bound; refused
  };

  AddResult Add(const StoppedVersion& fact);
  AddResult Add(const LeavingUpstream& fact);

  // Drops what `config` makes moot, and refuses it from now on. A stopped
  // version is moot under a later revision that gives it no traffic; a leaving
  // upstream under a later revision without it.
  void OnConfig(std::shared_ptr<const FleetConfig> config);

  // True if any note stopped the whole of that version of that pool.
  bool IsStopped(const PoolId& pool, const VersionId& version) const;
  bool IsLeaving(const UpstreamId& id) const;

  // Sorted by note, pool, version and upstream.
  std::vector<StoppedVersion> stopped() const;
  // By id; the latest revision that it was learnt at.
  const std::map<UpstreamId, Revision>& leaving() const { return leaving_; }

  // Equal for equal sets.
  uint64_t hash() const { return hash_; }

 private:
  using StoppedKey = std::tuple<NoteId, PoolId, VersionId, UpstreamId>;

  static StoppedKey KeyOf(const StoppedVersion& fact);
  static uint64_t HashKey(const StoppedKey& key);

  bool IsMoot(const StoppedVersion& fact) const;
  bool IsMoot(const LeavingUpstream& fact) const;
  bool WasDropped(uint64_t fact_hash) const;
  void RememberDropped(uint64_t fact_hash);

  std::shared_ptr<const FleetConfig> config_;
  std::map<StoppedKey, StoppedVersion> stopped_;
  std::map<UpstreamId, Revision> leaving_;
  uint64_t hash_ = 0;
  // Hashes of facts dropped, oldest first, and the same sorted.
  std::deque<uint64_t> dropped_order_;
  std::set<uint64_t> dropped_;
};

}  // namespace papaya

#endif  // INCLUDE_CONFIG_FACT_SET_H_
