#ifndef INCLUDE_ROLLOUT_NOTE_RECORD_H_
#define INCLUDE_ROLLOUT_NOTE_RECORD_H_

#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "include/base/ids.h"
#include "include/base/units.h"
#include "include/config/fleet_config.h"

namespace papaya {

// States of charts/release_note.chart. Operators see them with spaces in place
// of underscores.
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

// The part of the configuration that a note affects, as it was before the note
// began. A rollback restores it.
struct RollbackState {
  // Upstreams of the affected pools, as they were.
  std::vector<UpstreamSpec> upstreams;
  // Upstreams that the note adds.
  std::vector<UpstreamId> added;
  // Traffic shares of the affected pools.
  std::vector<VersionShare> shares;
  // Affected pools.
  std::vector<PoolId> pools;
  // Engines whose role the note sets, with their role before the note.
  std::vector<EngineRole> roles;

  bool operator==(const RollbackState&) const = default;
};

// A release note as stored in the Object API: the text of the operator and the
// progress. Operators are shown this record and nothing else.
struct NoteRecord {
  NoteId id;
  // Author of the text, as given by the client of the operator.
  std::string author;
  // The last operation of an operator that took effect. Writes of the lease
  // holder keep it, so that an operator whose answer was lost can recognize the
  // operation later. Stored as `wish`.
  OperationId last_operation;
  std::string text;
  // Starts at 1 and grows with each revision of the text.
  int text_revision = 1;
  WallTime submitted;
  // A state of charts/release_note.chart.
  std::string state = kNoteWaiting;
  // Explanation of the state for operators. Never empty in a final state.
  std::string reason;
  // Index of the present stage from 0, and the traffic share of the new
  // versions in it; meaningful only in the moving state.
  int stage = 0;
  Permille share;
  // New versions of the pools that move, as `pool=version`. If a revised text
  // asks for other versions, the note restarts at the first stage.
  std::vector<std::string> stage_versions;
  // Time at which the present stage was fully in force; the epoch until then.
  WallTime stage_since;
  WallTime began;
  WallTime ended;
  // Upstreams that were ejected as unreachable, failing or slow. They receive
  // no requests.
  std::vector<UpstreamId> ejected;
  RollbackState before;

  bool operator==(const NoteRecord&) const = default;
};

// A record with the version of its object and the operation that wrote it.
struct StoredNote {
  NoteRecord record;
  ObjectVersion version;
  OperationId operation;

  bool operator==(const StoredNote&) const = default;
};

// Returns the record as JSON, the value of its object.
std::string FormatNoteRecord(const NoteRecord& record);

// Parses the result of FormatNoteRecord. Returns kInvalidArgument if `text` is
// not JSON or a field is missing or has the wrong type.
absl::StatusOr<NoteRecord> ParseNoteRecord(const std::string& text);

// Returns true for `done` and `taken_back`.
bool IsFinalNoteState(const std::string& state);

}  // namespace papaya

#endif  // INCLUDE_ROLLOUT_NOTE_RECORD_H_
