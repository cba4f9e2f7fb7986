#ifndef TESTS_FAKES_ROLLOUT_NOTES_H_
#define TESTS_FAKES_ROLLOUT_NOTES_H_

#include <memory>
#include <string>

#include "absl/strings/str_cat.h"
#include "include/chart/state_chart.h"
#include "include/rollout/release_note.h"
#include "tests/fakes/fake_rollout_fleet.h"

namespace papaya {

// The id and text of a note.
struct SampleNote {
  NoteId id;
  std::string text;
};

inline std::shared_ptr<const StateChart> NoteChart() {
  static const std::shared_ptr<const StateChart> chart =
      std::make_shared<const StateChart>(
          *StateChart::Load(PAPAYA_SOURCE_DIR "/charts/release_note.chart"));
  return chart;
}

// Options for tests with many schedules: short loads and timeouts.
inline FakeRolloutOptions QuickOptions() {
  FakeRolloutOptions options;
  options.load_time = std::chrono::seconds(5);
  options.runner.load_time = std::chrono::seconds(10);
  options.runner.unreachable_after = std::chrono::minutes(1);
  options.runner.concurrent_loads = 2;
  options.runner.drain_time = std::chrono::seconds(10);
  return options;
}

inline std::string NoteHeader(const FakeRolloutFleet& fleet, Duration window) {
  return absl::StrCat(
      "[note]\ntraffic_by = ",
      FormatWallTime(
          fleet.wall() +
          std::chrono::duration_cast<std::chrono::milliseconds>(window)),
      "\n");
}

inline std::string UpstreamSection(size_t index,
                                   const std::string& pool,
                                   bool checks_fencing) {
  return absl::StrCat("[upstream ", pool, "-", index, "]\nvm = vm-", pool, "-",
                      index, "\naddress = 10.0.", index / 250, ".",
                      index % 250 + 1, ":8000\nzone = zone-", index % 3,
                      "\nkind = model_engine\npool = ", pool,
                      "\ngeneration = g2\nslots = 8\nchecks_fencing = ",
                      checks_fencing ? "yes" : "no", "\n");
}

// Returns a note that adds `count` engines with v1 to an empty fleet; every
// second engine does not check fencing numbers.
inline SampleNote FirstNote(FakeRolloutFleet* fleet, size_t count) {
  SampleNote note = {NoteId("first"),
                     NoteHeader(*fleet, std::chrono::minutes(30))};
  absl::StrAppend(&note.text, "[pool plans]\nversion = v1\n");
  for (size_t i = 0; i < count; ++i) {
    absl::StrAppend(&note.text, UpstreamSection(i, "plans", i % 2 == 0));
    FakeEngine& engine = fleet->engines[UpstreamId(absl::StrCat("plans-", i))];
    engine.checks_fencing = i % 2 == 0;
    engine.state.loaded = {VersionId("v1")};
    engine.state.active = VersionId("v1");
  }
  return note;
}

inline SampleNote VersionNote(const FakeRolloutFleet& fleet,
                              const std::string& id,
                              const std::string& version,
                              Duration window) {
  return {NoteId(id), absl::StrCat(NoteHeader(fleet, window),
                                   "[pool plans]\nversion = ", version, "\n")};
}

inline NoteRequest MakeRequest(const SampleNote& note,
                               const std::string& author,
                               ObjectVersion expected) {
  return {note.id, author,
          OperationId(absl::StrCat(author, "/", note.id.value(), "/",
                                   expected.value())),
          expected, note.text};
}

// Submits `note` and runs the fleet until the note has ended, or for `longest`
// at most; returns its record.
inline NoteRecord RunNote(FakeRolloutFleet* fleet,
                          const SampleNote& note,
                          Duration longest) {
  fleet->note_store.Submit(MakeRequest(note, "anna", ObjectVersion(0)),
                           fleet->wall(), [](const NoteResult&) {});
  const TimePoint end = fleet->now() + longest;
  while (fleet->now() < end) {
    fleet->Tick();
    const std::optional<NoteRecord> record = fleet->ReadNote(note.id);
    if (record && IsFinalNoteState(record->state)) {
      break;
    }
  }
  return fleet->ReadNote(note.id).value_or(NoteRecord());
}

}  // namespace papaya

#endif  // TESTS_FAKES_ROLLOUT_NOTES_H_
