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

// The result of a call to ReleaseNoteStore.
struct NoteResult {
  // kOk                  `note` is the record now stored
  // kAborted             another operator wrote first; `note` is that record
  // kInvalidArgument     the text has errors, listed in `faults`
  // kFailedPrecondition  the state in the stored record `note` does not allow
  //                      the change
  // kNotFound            no note has this id
  // kUnavailable, kDeadlineExceeded, kResourceExhausted
  //                      the store did not answer or rejected the call; retry
  //                      with the same operation: if the write took effect
  //                      after all, the result is then kOk
  absl::Status status;
  StoredNote note;
  std::vector<TextFault> faults;
};

// A request of an operator to submit, revise or withdraw one note.
struct NoteRequest {
  NoteId id;
  std::string author;
  // Unique to this request and the same in each retry, so that a retry after a
  // lost answer reads the stored record instead of writing it twice.
  OperationId operation;
  // The object version that the operator last read; 0 to submit a new note.
  ObjectVersion expected;
  // The INI text of the note; ignored by Withdraw.
  std::string text;
};

// Reads and writes release notes in the Object API, one object per note under
// `<prefix>/notes/`. Every write is conditional on the object version that the
// writer read. The only state is the calls in flight, so any router can serve
// any operator.
class ReleaseNoteStore {
 public:
  using Done = std::function<void(const NoteResult&)>;
  using ListDone =
      std::function<void(absl::Status, std::vector<StoredNote> notes)>;

  // `store` must outlive this object, and this object must outlive its calls.
  // `chart` is charts/release_note.chart. Submit and Revise check texts with
  // `min_judged_move`.
  ReleaseNoteStore(ObjectStore* store,
                   const std::string& prefix,
                   std::shared_ptr<const StateChart> chart,
                   Duration min_judged_move = kMinJudgedMove);

  // Checks the text against the configuration in the store and creates the note
  // in the waiting state.
  void Submit(const NoteRequest& request, WallTime wall, const Done& done);

  // Checks and replaces the text of a note that has not ended. A move in
  // progress continues from the configuration in force.
  void Revise(const NoteRequest& request, WallTime wall, const Done& done);

  // Ends a waiting note as rolled back; starts to roll back a moving one.
  void Withdraw(const NoteRequest& request, WallTime wall, const Done& done);

  void Get(const NoteId& id, const Done& done);

  // Lists all notes ordered by id; skips objects that do not parse.
  void List(const ListDone& done);

  // Writes the progress of a note. Only the holder of the note lease calls
  // this; it must derive `record.state` through the chart from the state that
  // it read at `expected`.
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
