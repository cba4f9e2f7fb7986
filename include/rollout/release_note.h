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

// `[pool NAME]`: what shall become of a pool as a whole.
struct PoolChange {
  PoolId pool;
  int line = 0;  // of the section
  // All its upstreams shall serve this version; empty leaves versions alone.
  VersionId version;
  // Adapters that its model engines shall have loaded.
  std::vector<std::string> adapters;
  // True if the pool shall go, with all its upstreams.
  bool withdrawn = false;

  bool operator==(const PoolChange&) const = default;
};

// `[upstream NAME]`: an upstream to add, change or withdraw. Keys that an
// existing upstream's section leaves out stay as they are.
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
  // A role that the engine is ordered to take, as `prefill`.
  std::optional<std::string> role;

  bool operator==(const UpstreamChange&) const = default;
};

// A release note as operators write it: an INI text that says what shall be
// different and by when traffic must have moved. What it does not name stays as
// it is. Immutable once parsed.
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
  // One line for lists; may be empty.
  std::string summary;
  // By then traffic must have moved, or the note is taken back.
  WallTime traffic_by;
  // How long the last stage is watched; empty lets the plan choose.
  std::optional<Duration> bake;
  std::vector<PoolChange> pools;
  std::vector<UpstreamChange> upstreams;

  // Reads `text`. Every fault is added to `faults` with its line; the note
  // holds what could be read.
  static ReleaseNote Parse(const std::string& text,
                           std::vector<TextFault>* faults);

  bool operator==(const ReleaseNote&) const = default;
};

// A version that has to be judged needs at least this long, unless the settings
// say otherwise.
inline constexpr Duration kMinJudgedMove = std::chrono::minutes(10);

// All faults of a note's text, by line: those of the text itself, and those
// against the fleet as it is, such as an unknown upstream withdrawn, a new one
// without an address, a pool left without an upstream, a time that is past, or
// one that leaves a judged version less than `min_judged_move`. `present`
// is null on an empty fleet. Empty if the note may be submitted.
std::vector<TextFault> CheckReleaseNote(
    const std::string& text,
    const FleetConfig* present,
    WallTime wall,
    Duration min_judged_move = kMinJudgedMove);

// `2026-12-04T18:00:00Z`.
std::string FormatWallTime(WallTime time);

// The time that FormatWallTime wrote; empty if `text` is none.
std::optional<WallTime> ParseWallTime(const std::string& text);

}  // namespace papaya

#endif  // INCLUDE_ROLLOUT_RELEASE_NOTE_H_
