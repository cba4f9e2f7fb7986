#ifndef INCLUDE_ROLLOUT_RELEASE_NOTE_STORE_H_
#define INCLUDE_ROLLOUT_RELEASE_NOTE_STORE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "include/base/ids.h"
#include "include/base/ini_document.h"
#include "include/base/units.h"
#include "include/config/object_store.h"
#include "include/rollout/note_record.h"
#include "include/rollout/release_note.h"

namespace papaya {

class StateChart;

// What became of a request to the ReleaseNoteStore.
struct NoteResult {
  // kOk            `note` is what the store now holds
  // kAborted       another operator was first; `note` is what they wrote
  // kInvalidArgument  the text has `faults`
  // kFailedPrecondition  the note's state does not allow it; `note` shows it
  // kNotFound      there is no such note
  // kUnavailable, kDeadlineExceeded, kResourceExhausted  the store did not
  //                answer. Ask again with the same operation: if the write took
  //                effect after all, the answer is then kOk.
  absl::Status status;
  StoredNote note;
  std::vector<TextFault> faults;
};

// An operator's wish for one note.
struct NoteRequest {
  NoteId id;
  std::string author;
  // Unique for this wish and kept over repetitions, so that a lost answer is
  // read back instead of written twice.
  OperationId operation;
  // The version that the operator saw; 0 to submit a new note.
  ObjectVersion expected;
  // The note's INI text; unused by Withdraw.
  std::string text;
};

// The release notes in the Object API, one object each below `<prefix>/notes/`.
// Every write is conditional on the version that the writer saw. Owns no state
// but the calls in flight, so any router can serve any operator.
class ReleaseNoteStore {
 public:
  using Done = std::function<void(const NoteResult&)>;
  using ListDone =
      std::function<void(absl::Status, std::vector<StoredNote> notes)>;

  // `store` must outlive the book, and the book all its calls. `chart` is
  // charts/release_note.chart. Texts are checked with `min_judged_move`.
  ReleaseNoteStore(ObjectStore* store,
                   const std::string& prefix,
                   std::shared_ptr<const StateChart> chart,
                   Duration min_judged_move = kMinJudgedMove);

  // Checks the text against the configuration in the store and creates the
  // note, waiting.
  void Submit(const NoteRequest& request, WallTime wall, const Done& done);

  // Replaces the text. The note goes on from where things stand.
  void Revise(const NoteRequest& request, WallTime wall, const Done& done);

  // Ends a waiting note as taken back; starts taking back a moving one.
  void Withdraw(const NoteRequest& request, WallTime wall, const Done& done);

  void Get(const NoteId& id, const Done& done);

  // All notes, by id; broken objects are passed over.
  void List(const ListDone& done);

  // Writes the holder's progress. The holder takes `record.state` by the chart
  // from the state that it read at `expected`.
  void Update(const NoteRecord& record,
              ObjectVersion expected,
              const OperationId& operation,
              const Done& done);

 private:
  void CheckText(
      const NoteRequest& request,
      WallTime wall,
      const std::function<void(std::vector<TextFault>, absl::Status)>& done);
  void Modify(const NoteRequest& request,
              const std::function<absl::Status(NoteRecord*)>& change,
              const Done& done);
  void Write(const NoteRecord& record,
             ObjectVersion expected,
             const OperationId& operation,
             const Done& done);
  void ReadBack(const NoteId& id,
                const OperationId& operation,
                const absl::Status& write_error,
                const Done& done);
  std::string KeyOf(const NoteId& id) const;

  ObjectStore* const store_;
  const std::string prefix_;
  const std::shared_ptr<const StateChart> chart_;
  const Duration min_judged_move_;
};

}  // namespace papaya

#endif  // INCLUDE_ROLLOUT_RELEASE_NOTE_STORE_H_
