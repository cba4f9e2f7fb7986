#ifndef INCLUDE_ROLLOUT_RELEASE_NOTE_H_
#define INCLUDE_ROLLOUT_RELEASE_NOTE_H_

#include <optional>
#include <string>
#include <vector>

#include "include/base/ids.h"
#include "include/base/ini_document.h"
#include "include/base/units.h"
#include "include/config/fleet_config.h"

namespace papaya {

// `[pool NAME]`: changes to a pool as a whole.
struct PoolChange {
  PoolId pool;
  int line = 0;  // of the section
  // The version that all its upstreams serve after the note; empty leaves their
  // versions unchanged.
  VersionId version;
  // Adapters to load on its model engines.
  std::vector<std::string> adapters;
  // True to remove the pool and all its upstreams.
  bool withdrawn = false;

  bool operator==(const PoolChange&) const = default;
};

// `[upstream NAME]`: an upstream to add, change or remove. For an existing
// upstream, keys that the section omits keep their values.
struct UpstreamChange {
  UpstreamId id;
  int line = 0;  // of the section
  bool withdrawn = false;
  std::optional<VmId> vm;
  std::optional<std::string> address;
  std::optional<AvailabilityZoneId> zone;
  std::optional<UpstreamKind> kind;
  std::optional<PoolId> pool;
  std::optional<VersionId> version;
  std::optional<GenerationId> generation;
  std::optional<int> slots;
  std::optional<bool> checks_fencing;
  std::optional<bool> refusal_means_not_run;
  // The role that the engine is ordered to take, such as `prefill`.
  std::optional<std::string> role;

  bool operator==(const UpstreamChange&) const = default;
};

// A release note as written by an operator: an INI text with the changes and
// the time by which traffic must have moved. Whatever it does not name stays
// unchanged. Immutable once parsed.
//
//   [note]
//   summary = Plans move to v2
//   traffic_by = 2026-12-04T18:00:00Z
//   bake = 20m
//
//   [pool plans]
//   version = v2
//
//   [upstream plans-b-4]
//   vm = vm-31
//   address = 10.0.2.4:8000
//   zone = sk-west-b
//   kind = model_engine
//   pool = plans
//   generation = g2
//   slots = 8
struct ReleaseNote {
  // One line shown in lists of notes; may be empty.
  std::string summary;
  // Traffic must have moved by this time, or the note is rolled back.
  WallTime traffic_by;
  // Duration of the last stage; empty lets the plan choose.
  std::optional<Duration> bake;
  std::vector<PoolChange> pools;
  std::vector<UpstreamChange> upstreams;

  // Parses `text`. Appends every error with its line to `faults`; the result
  // holds the parts that could be read.
  static ReleaseNote Parse(const std::string& text,
                           std::vector<TextFault>* faults);

  bool operator==(const ReleaseNote&) const = default;
};

// Least time until `traffic_by` for a note that moves a pool in stages; the
// settings may override it.
inline constexpr Duration kMinJudgedMove = std::chrono::minutes(10);

// Returns all errors of the text of a note, ordered by line: syntax errors and
// conflicts with the present fleet. Conflicts include the withdrawal of an
// unknown upstream, a new upstream without an address, a pool left without
// upstreams, a time in the past, and less than `min_judged_move` for a version
// that has to be judged. `present` is null for an empty fleet. Empty if the
// note may be submitted.
std::vector<TextFault> CheckReleaseNote(
    const std::string& text,
    const FleetConfig* present,
    WallTime wall,
    Duration min_judged_move = kMinJudgedMove);

// Formats `time` in UTC with whole seconds, such as `2026-12-04T18:00:00Z`.
std::string FormatWallTime(WallTime time);

// Parses the format of FormatWallTime; empty if `text` does not match it or is
// not a valid time.
std::optional<WallTime> ParseWallTime(const std::string& text);

}  // namespace papaya

#endif  // INCLUDE_ROLLOUT_RELEASE_NOTE_H_
