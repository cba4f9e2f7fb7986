#ifndef INCLUDE_ROLLOUT_NOTE_RECORD_H_
#define INCLUDE_ROLLOUT_NOTE_RECORD_H_

#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "include/base/ids.h"
#include "include/base/units.h"
#include "include/config/fleet_config.h"

namespace papaya {

// Names of the states in charts/release_note.chart. Operators read them with
// blanks in place of underscores.
inline constexpr char kNoteWaiting[] = "waiting";
inline constexpr char kNoteMoving[] = "moving";
inline constexpr char kNoteDone[] = "done";
inline constexpr char kNoteRollingBack[] = "taking_back";
inline constexpr char kNoteRolledBack[] = "taken_back";

// The role of one engine.
struct EngineRole {
  UpstreamId upstream;
  std::string role;

  bool operator==(const EngineRole&) const = default;
};

// What stood before a note began, of the parts that it touches: what taking it
// back restores.
struct RollbackState {
  // Upstreams that the note changes or withdraws, as they were.
  std::vector<UpstreamSpec> upstreams;
  // Upstreams that the note adds.
  std::vector<UpstreamId> added;
  // Shares of the pools that it touches.
  std::vector<VersionShare> shares;
  // Pools that it touches.
  std::vector<PoolId> pools;
  // Engines that it gives another role, and the one that they had.
  std::vector<EngineRole> roles;

  bool operator==(const RollbackState&) const = default;
};

// One release note as it stands in the Object API: the operator's text and how
// far it has come. The one truth that operators are shown.
struct NoteRecord {
  NoteId id;
  // Who wrote the text, as the operator's client gave it.
  std::string author;
  // The operator's last wish that took effect; kept over the holder's writes so
  // that a lost answer can be read back later.
  OperationId last_operation;
  std::string text;
  // Grows with each revision of the text, from 1.
  int text_revision = 1;
  WallTime submitted;
  // A state of charts/release_note.chart.
  std::string state = kNoteWaiting;
  // Plain words for the operator: why the note stands where it does. Never
  // empty in a final state.
  std::string reason;
  // Index of the stage that is in force, and the share that its new versions
  // have; meaningful while moving.
  int stage = 0;
  Permille share;
  // The versions that the stages bring in, as `pool=version`. A revision of the
  // text that asks for others starts at the first stage again.
  std::vector<std::string> stage_versions;
  // When that stage was fully in force; the epoch if it is not yet.
  WallTime stage_since;
  WallTime began;
  WallTime ended;
  // Upstreams that were found bad by themselves and get no work.
  std::vector<UpstreamId> ejected;
  RollbackState before;

  bool operator==(const NoteRecord&) const = default;
};

// A record with the object version that it was read at.
struct StoredNote {
  NoteRecord record;
  ObjectVersion version;
  OperationId operation;

  bool operator==(const StoredNote&) const = default;
};

// The record as the value of its object: JSON.
std::string FormatNoteRecord(const NoteRecord& record);

// Reads FormatNoteRecord's text. Fails with kInvalidArgument if it is broken.
absl::StatusOr<NoteRecord> ParseNoteRecord(const std::string& text);

// True in `done` and `taken_back`.
bool IsFinalNoteState(const std::string& state);

}  // namespace papaya

#endif  // INCLUDE_ROLLOUT_NOTE_RECORD_H_
