#include "include/rollout/release_note_store.h"

#include <optional>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "include/base/error.h"
#include "include/chart/chart_machine.h"
#include "include/chart/state_chart.h"
#include "include/config/fleet_config_json.h"
#include "include/rollout/release_note.h"

namespace papaya {

namespace {

constexpr char kStep[] = "note.write";

// Returns an error of this step with the id of the note in the peer field.
absl::Status NoteError(absl::StatusCode code,
                       const NoteId& id,
                       const std::string& message) {
  return MakeError(code, {kStep, id.value()}, message);
}

// Parses `object`; the result has its version and operation.
absl::StatusOr<StoredNote> ParseNote(const StoredObject& object) {
  absl::StatusOr<NoteRecord> record = ParseNoteRecord(object.value);
  if (!record.ok()) {
    return record.status();
  }
  return StoredNote{*std::move(record), object.version, object.operation};
}

// Moves `record->state` along `event` in the chart; returns kFailedPrecondition
// if the state has no such transition.
absl::Status FireEvent(const std::shared_ptr<const StateChart>& chart,
                       const std::string& event,
                       NoteRecord* record) {
  ChartMachine machine(chart, record->state);
  if (!machine.Fire(event)) {
    return NoteError(
        absl::StatusCode::kFailedPrecondition, record->id,
        absl::StrCat("a note in state `", record->state, "` does not allow `",
                     event, "`; submit a new note"));
  }
  record->state = machine.state();
  return absl::OkStatus();
}

}  // namespace

ReleaseNoteStore::ReleaseNoteStore(ObjectStore* store,
                                   const std::string& prefix,
                                   std::shared_ptr<const StateChart> chart,
                                   Duration min_judged_move)
    : store_(store),
      prefix_(prefix),
      chart_(std::move(chart)),
      min_judged_move_(min_judged_move) {}

std::string ReleaseNoteStore::KeyOf(const NoteId& id) const {
  return absl::StrCat(prefix_, "/notes/", id.value());
}

void ReleaseNoteStore::Submit(const NoteRequest& request,
                              WallTime wall,
                              const Done& done) {
  CheckText(request, wall,
            [this, request, wall, done](std::vector<TextFault> faults,
                                        const absl::Status& status) {
              if (!status.ok()) {
                done({status, {}, std::move(faults)});
                return;
              }
              NoteRecord record;
              record.id = request.id;
              record.author = request.author;
              record.last_operation = request.operation;
              record.text = request.text;
              record.submitted = wall;
              record.reason = "accepted, nothing has moved yet";
              Write(record, ObjectVersion(0), request.operation, done);
            });
}

void ReleaseNoteStore::Revise(const NoteRequest& request,
                              WallTime wall,
                              const Done& done) {
  CheckText(request, wall,
            [this, request, done](std::vector<TextFault> faults,
                                  const absl::Status& status) {
              if (!status.ok()) {
                done({status, {}, std::move(faults)});
                return;
              }
              Modify(
                  request,
                  [this, request](NoteRecord* record) {
                    record->author = request.author;
                    record->last_operation = request.operation;
                    record->text = request.text;
                    ++record->text_revision;
                    record->reason =
                        absl::StrCat("revised by ", request.author,
                                     ", goes on from where it stands");
                    return FireEvent(chart_, "revise", record);
                  },
                  done);
            });
}

void ReleaseNoteStore::Withdraw(const NoteRequest& request,
                                WallTime wall,
                                const Done& done) {
  Modify(
      request,
      [this, request, wall](NoteRecord* record) {
        record->last_operation = request.operation;
        record->reason = absl::StrCat("withdrawn by ", request.author);
        absl::Status fired = FireEvent(chart_, "withdraw", record);
        if (IsFinalNoteState(record->state)) {
          absl::StrAppend(&record->reason, " before anything moved");
          record->ended = wall;
        }
        return fired;
      },
      done);
}

void ReleaseNoteStore::Get(const NoteId& id, const Done& done) {
  store_->Get(KeyOf(id), [id, done](const absl::StatusOr<StoredObject>& got) {
    if (!got.ok()) {
      done({got.status(), {}, {}});
      return;
    }
    const absl::StatusOr<StoredNote> note = ParseNote(*got);
    done({note.status(), note.ok() ? *note : StoredNote{}, {}});
  });
}

void ReleaseNoteStore::List(const ListDone& done) {
  store_->List(
      absl::StrCat(prefix_, "/notes/"),
      [done](const absl::StatusOr<std::vector<StoredObject>>& objects) {
        if (!objects.ok()) {
          done(objects.status(), {});
          return;
        }
        std::vector<StoredNote> notes;
        for (const StoredObject& object : *objects) {
          absl::StatusOr<StoredNote> note = ParseNote(object);
          if (note.ok()) {
            notes.push_back(*std::move(note));
          }
        }
        done(absl::OkStatus(), std::move(notes));
      });
}

void ReleaseNoteStore::Update(const NoteRecord& record,
                              ObjectVersion expected,
                              const OperationId& operation,
                              const Done& done) {
  Write(record, expected, operation, done);
}

void ReleaseNoteStore::CheckText(
    const NoteRequest& request,
    WallTime wall,
    const std::function<void(std::vector<TextFault>, absl::Status)>& done) {
  store_->Get(
      absl::StrCat(prefix_, "/config"),
      [request, wall, done,
       shortest = min_judged_move_](const absl::StatusOr<StoredObject>& got) {
        std::optional<FleetConfig> present;
        if (got.ok()) {
          absl::StatusOr<FleetConfig> parsed = ParseFleetConfigJson(got->value);
          if (!parsed.ok()) {
            done({}, parsed.status());
            return;
          }
          present = *std::move(parsed);
        } else if (got.status().code() != absl::StatusCode::kNotFound) {
          done({}, got.status());
          return;
        }
        std::vector<TextFault> faults = CheckReleaseNote(
            request.text, present ? &*present : nullptr, wall, shortest);
        const absl::Status status =
            faults.empty()
                ? absl::OkStatus()
                : NoteError(absl::StatusCode::kInvalidArgument, request.id,
                            "the text of the note has errors");
        done(std::move(faults), status);
      });
}

void ReleaseNoteStore::Modify(
    const NoteRequest& request,
    const std::function<absl::Status(NoteRecord*)>& change,
    const Done& done) {
  Get(request.id, [this, request, change, done](const NoteResult& result) {
    // A retry of an operation that has already taken effect.
    if (!result.status.ok() ||
        result.note.record.last_operation == request.operation) {
      done(result);
      return;
    }
    if (result.note.version != request.expected) {
      done({NoteError(absl::StatusCode::kAborted, request.id,
                      absl::StrCat("the note was changed in the meantime by ",
                                   result.note.record.author)),
            result.note,
            {}});
      return;
    }
    NoteRecord record = result.note.record;
    const absl::Status changed = change(&record);
    if (!changed.ok()) {
      done({changed, result.note, {}});
      return;
    }
    Write(record, request.expected, request.operation, done);
  });
}

void ReleaseNoteStore::Write(const NoteRecord& record,
                             ObjectVersion expected,
                             const OperationId& operation,
                             const Done& done) {
  const ConditionalWrite write = {KeyOf(record.id), expected, operation,
                                  FormatNoteRecord(record)};
  store_->Put(write, [this, record, operation,
                      done](const absl::StatusOr<ObjectVersion>& version) {
    if (version.ok()) {
      done({absl::OkStatus(), {record, *version, operation}, {}});
      return;
    }
    if (version.status().code() == absl::StatusCode::kResourceExhausted) {
      done({version.status(), {}, {}});
      return;
    }
    ReadBack(record.id, operation, version.status(), done);
  });
}

void ReleaseNoteStore::ReadBack(const NoteId& id,
                                const OperationId& operation,
                                const absl::Status& write_error,
                                const Done& done) {
  Get(id, [id, operation, write_error, done](const NoteResult& result) {
    if (result.status.ok() &&
        (result.note.operation == operation ||
         result.note.record.last_operation == operation)) {
      done(result);
      return;
    }
    // The write may still take effect later, so the result stays uncertain.
    if (MayHaveTakenEffect(write_error) || !result.status.ok()) {
      done({write_error, result.note, {}});
      return;
    }
    done({NoteError(absl::StatusCode::kAborted, id,
                    absl::StrCat("the note was changed in the meantime by ",
                                 result.note.record.author)),
          result.note,
          {}});
  });
}

}  // namespace papaya
