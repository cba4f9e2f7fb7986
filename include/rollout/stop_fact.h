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

// Why a router stopped sending.
enum class StopCause : uint8_t { kFailures, kLatency };

// `failures` or `latency`.
const char* StopCauseName(StopCause cause);

// A version of a pool, or one replica of it, that was found bad while a note
// was bringing it in. Never taken back; it ends with its note.
struct StopFact {
  NoteId note;
  PoolId pool;
  VersionId version;
  // Empty if the whole version is bad.
  UpstreamId upstream;
  StopCause cause = StopCause::kFailures;
  // Where the evidence was; empty if over all routes.
  RouteId route;

  auto operator<=>(const StopFact&) const = default;
};

// The fact as one line for gossip: `stop` and its parts, escaped, with blanks
// between them.
std::string FormatStopFact(const StopFact& fact);

// Reads FormatStopFact's line; empty if it is none.
std::optional<StopFact> ParseStopFact(const std::string& text);

// The stop facts that one router knows. Grows only, but for facts of notes that
// are no longer in progress.
class StopSet {
 public:
  // True if `fact` is news.
  bool Add(const StopFact& fact);

  // The fact that stops the whole of `version` for `note`; null if none does.
  const StopFact* FindVersionFact(const NoteId& note,
                                  const PoolId& pool,
                                  const VersionId& version) const;

  // The facts that stop single upstreams for `note`.
  std::vector<StopFact> UpstreamFactsOf(const NoteId& note) const;

  // Facts of any kind for `note`.
  std::vector<StopFact> FactsOf(const NoteId& note) const;

  // Forgets the facts of a note that has ended.
  void Forget(const NoteId& note);

  // `config` without what is stopped: stopped versions have no share any more,
  // the others of their pool grow in proportion, and upstreams that are stopped
  // are gone unless that left their version without any; then their version
  // loses its share. What routing must follow in place of `config`. Facts apply
  // only to shares that carry their note.
  FleetConfig Apply(const FleetConfig& config) const;

  size_t size() const { return facts_.size(); }

 private:
  std::set<StopFact> facts_;
};

}  // namespace papaya

#endif  // INCLUDE_ROLLOUT_STOP_FACT_H_
