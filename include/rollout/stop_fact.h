#ifndef INCLUDE_ROLLOUT_STOP_FACT_H_
#define INCLUDE_ROLLOUT_STOP_FACT_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "include/base/ids.h"
#include "include/config/fleet_config.h"

namespace papaya {

// The reason why routers stopped sending requests to a version or a replica.
enum class StopCause : uint8_t { kFailures, kLatency };

// Returns `failures` or `latency`.
const char* StopCauseName(StopCause cause);

// States that a new version of a pool, or one of its replicas, was found bad
// while a release note was introducing it. A fact is never retracted; it is
// dropped when its note has ended.
struct StopFact {
  NoteId note;
  PoolId pool;
  VersionId version;
  // The bad replica; empty if the whole version is bad.
  UpstreamId upstream;
  StopCause cause = StopCause::kFailures;
  // The route with the strongest evidence; empty if the evidence over all
  // routes together was stronger.
  RouteId route;

  auto operator<=>(const StopFact&) const = default;
};

// Formats the fact as one line for gossip: `stop` and the escaped fields,
// separated by spaces.
std::string FormatStopFact(const StopFact& fact);

// Parses a line written by FormatStopFact. Returns nothing for any other text.
std::optional<StopFact> ParseStopFact(const std::string& text);

// The stop facts known to one router. Facts are only ever added, except that
// the facts of a note are removed after it has ended.
class StopSet {
 public:
  // Returns true if `fact` was not in the set yet.
  bool Add(const StopFact& fact);

  // Returns the fact of `note` that stops the whole `version`, or null.
  const StopFact* FindVersionFact(const NoteId& note,
                                  const PoolId& pool,
                                  const VersionId& version) const;

  // Returns the facts of `note` that stop single upstreams.
  std::vector<StopFact> UpstreamFactsOf(const NoteId& note) const;

  // Returns all facts of `note`, for versions and for single upstreams.
  std::vector<StopFact> FactsOf(const NoteId& note) const;

  // Removes the facts of a note that has ended.
  void Forget(const NoteId& note);

  // Returns the configuration that routing must use in place of `config`.
  // Stopped upstreams, and all upstreams of stopped versions, are removed. A
  // version that is stopped or has no upstream left gets a share of zero, and
  // the shares of the pool's other versions grow in proportion to a sum of
  // 1000 permille. A fact applies only to shares that carry its note.
  FleetConfig Apply(const FleetConfig& config) const;

  size_t size() const { return facts_.size(); }

 private:
  std::set<StopFact> facts_;
};

}  // namespace papaya

#endif  // INCLUDE_ROLLOUT_STOP_FACT_H_
