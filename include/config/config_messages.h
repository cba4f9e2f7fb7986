#ifndef INCLUDE_CONFIG_CONFIG_MESSAGES_H_
#define INCLUDE_CONFIG_CONFIG_MESSAGES_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "include/base/ids.h"
#include "include/config/fleet_config.h"

namespace papaya {

// A version, or one upstream of it, that some router saw to be bad while a
// note was bringing it in: no router sends it work any more. One fact for each
// note, pool, version and upstream.
struct StoppedVersion {
  NoteId note;
  PoolId pool;
  VersionId version;
  // Empty if the whole version is stopped.
  UpstreamId upstream;
  // The configuration in force when it was stopped.
  Revision revision;
  // For operators; the first one heard is kept.
  std::string reason;

  bool operator==(const StoppedVersion&) const = default;
};

// An upstream that some router learnt to be leaving.
struct LeavingUpstream {
  UpstreamId id;
  // The configuration in force when that was learnt.
  Revision since;

  auto operator<=>(const LeavingUpstream&) const = default;
};

// What a router has, sent to neighbours on a change and now and then.
struct ConfigDigest {
  // In force at the sender, with HashConfig of it; 0 if none is yet.
  Revision revision;
  uint64_t hash = 0;
  // The highest revision that the sender has heard to be in force anywhere.
  Revision highest_known;
  // Digests of its facts and of its table of applied revisions.
  uint64_t facts_hash = 0;
  uint64_t applied_hash = 0;

  bool operator==(const ConfigDigest&) const = default;
};

// Asks the receiver for what leads from `base` to its own revision. A `base`
// of 0 asks for the whole configuration.
struct ConfigRequest {
  Revision base;
  uint64_t base_hash = 0;

  bool operator==(const ConfigRequest&) const = default;
};

// What leads from one revision to a later one.
struct ConfigDelta {
  Revision base;
  uint64_t base_hash = 0;
  Revision revision;
  uint64_t result_hash = 0;
  NoteId note;
  // Upstreams added or changed, sorted by id.
  std::vector<UpstreamSpec> changed;
  // Upstreams withdrawn, sorted.
  std::vector<UpstreamId> removed;
  // All shares of the result.
  std::vector<VersionShare> shares;

  bool operator==(const ConfigDelta&) const = default;
};

// Deltas to be applied one after the other.
struct ConfigDeltas {
  std::vector<ConfigDelta> deltas;

  bool operator==(const ConfigDeltas&) const = default;
};

// A whole revision. `config` is never null.
struct ConfigSnapshot {
  uint64_t hash = 0;
  std::shared_ptr<const FleetConfig> config;
};

// Facts; the receiver adds those that it lacks.
struct FactNews {
  std::vector<StoppedVersion> stopped;
  std::vector<LeavingUpstream> leaving;

  bool operator==(const FactNews&) const = default;
};

// Routers that have one revision in force, each as RouterKey.
struct AppliedGroup {
  Revision revision;
  std::vector<uint64_t> routers;

  bool operator==(const AppliedGroup&) const = default;
};

// Revisions in force at other routers.
struct AppliedNews {
  std::vector<AppliedGroup> groups;

  bool operator==(const AppliedNews&) const = default;
};

// Every message between the ConfigSpreaders of two routers.
using ConfigMessage = std::variant<ConfigDigest,
                                   ConfigRequest,
                                   ConfigDeltas,
                                   ConfigSnapshot,
                                   FactNews,
                                   AppliedNews>;

// Stands for one incarnation of a router in messages that name many.
uint64_t RouterKey(const RouterId& router, Incarnation incarnation);

// The estimated bytes of `message` on the wire.
size_t EncodedSize(const ConfigMessage& message);

}  // namespace papaya

#endif  // INCLUDE_CONFIG_CONFIG_MESSAGES_H_
