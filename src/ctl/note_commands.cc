#include <ostream>
#include <utility>

#include "absl/strings/str_cat.h"
#include "include/ctl/ctl_app.h"
#include "include/rollout/note_record.h"
#include "include/rollout/release_note.h"
#include "include/settings/value_parsers.h"
#include "src/ctl/json_text.h"

namespace papaya {

namespace {

namespace json = boost::json;

HttpRequest NoteRequestTo(const std::string& note) {
  HttpRequest request;
  request.target = absl::StrCat("/v1/notes/", note);
  return request;
}

// Returns the name of a state with spaces instead of underscores.
std::string FormatState(std::string state) {
  for (char& c : state) {
    c = c == '_' ? ' ' : c;
  }
  return state;
}

// Formats the state of a release note. `note watch` prints this line whenever
// it changes.
std::string FormatNoteStatus(const json::object& note) {
  const json::value* share = note.if_contains("share_permille");
  std::string line = FormatState(JsonString(note, "state"));
  if (JsonString(note, "state") == kNoteMoving && share != nullptr) {
    absl::StrAppend(&line, ", new versions at ", FormatJsonValue(*share),
                    " permille");
  }
  return absl::StrCat(line, ": ", JsonString(note, "reason"));
}

void PrintErrorLines(std::ostream& err,
                     const std::string& file,
                     const std::vector<TextFault>& faults) {
  for (const TextFault& fault : faults) {
    err << file << ":" << fault.line << ": " << fault.message << "\n";
  }
}

}  // namespace

CtlExitCode CtlApp::NoteCheck(const Words& arguments) {
  const std::string& file = arguments[0];
  const absl::StatusOr<std::string> text = hooks_.read_file(file);
  if (!text.ok()) {
    err_ << "papayactl: " << text.status().message() << "\n";
    return CtlExitCode::kUsage;
  }
  std::vector<TextFault> faults;
  ReleaseNote::Parse(*text, &faults);
  if (!faults.empty()) {
    PrintErrorLines(err_, file, faults);
    return CtlExitCode::kNoteErrors;
  }
  if (options_.routers.empty()) {
    out_ << file << ": valid; not checked against the fleet (no --router)\n";
    return CtlExitCode::kOk;
  }
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/notes/check";
  request.body = *text;
  HttpResponse response;
  CtlExitCode exit = CtlExitCode::kOk;
  if (!SendRequest(request, response, exit)) {
    return exit;
  }
  if (response.status == 422) {
    return PrintNoteErrors(file, response.body);
  }
  exit = ExitCodeOf(response);
  if (exit == CtlExitCode::kOk) {
    out_ << file << ": valid\n";
  }
  return exit;
}

CtlExitCode CtlApp::PrintNoteErrors(const std::string& file,
                                    const std::string& body) {
  const json::object parsed_body = ParseResponseBody(body);
  const json::value* faults = parsed_body.if_contains("faults");
  std::vector<TextFault> lines;
  if (faults != nullptr && faults->is_array()) {
    for (const json::value& fault : faults->as_array()) {
      const json::object* object = fault.if_object();
      const json::value* line =
          object == nullptr ? nullptr : object->if_contains("line");
      if (line != nullptr && line->is_int64()) {
        lines.push_back({.line = static_cast<int>(line->as_int64()),
                         .message = JsonString(*object, "message")});
      }
    }
  }
  PrintErrorLines(err_, file, lines);
  return CtlExitCode::kNoteErrors;
}

CtlExitCode CtlApp::NoteSubmit(const Words& arguments) {
  return PutNote(arguments[0], 0, arguments[1]);
}

CtlExitCode CtlApp::NoteRevise(const Words& arguments) {
  CtlExitCode exit = CtlExitCode::kOk;
  const std::optional<uint64_t> expected = ExpectedVersion(arguments[0], exit);
  return expected ? PutNote(arguments[0], *expected, arguments[1]) : exit;
}

CtlExitCode CtlApp::NoteWithdraw(const Words& arguments) {
  CtlExitCode exit = CtlExitCode::kOk;
  const std::optional<uint64_t> expected = ExpectedVersion(arguments[0], exit);
  if (!expected) {
    return exit;
  }
  HttpRequest request = NoteRequestTo(arguments[0]);
  request.method = "DELETE";
  absl::StrAppend(&request.target, "?expected=", *expected);
  return ChangeNote(std::move(request), arguments[0], "");
}

std::optional<uint64_t> CtlApp::ExpectedVersion(const std::string& note,
                                                CtlExitCode& exit) {
  if (options_.expected) {
    return options_.expected;
  }
  HttpResponse response;
  if (!SendRequest(NoteRequestTo(note), response, exit)) {
    return std::nullopt;
  }
  if (response.status != 200) {
    exit = ExitCodeOf(response);
    return std::nullopt;
  }
  const json::object body = ParseResponseBody(response.body);
  const json::value* version = body.if_contains("version");
  if (version == nullptr || !version->is_int64()) {
    err_ << "papayactl: the router's response has no integer `version`\n";
    exit = CtlExitCode::kFailed;
    return std::nullopt;
  }
  return static_cast<uint64_t>(version->as_int64());
}

CtlExitCode CtlApp::PutNote(const std::string& note,
                            uint64_t expected,
                            const std::string& file) {
  const absl::StatusOr<std::string> text = hooks_.read_file(file);
  if (!text.ok() || !IsName(note)) {
    err_ << "papayactl: "
         << (text.ok() ? "a note name consists of letters, digits, -, _ and ."
                       : std::string(text.status().message()))
         << "\n";
    return CtlExitCode::kUsage;
  }
  HttpRequest request = NoteRequestTo(note);
  request.method = "PUT";
  absl::StrAppend(&request.target, "?expected=", expected);
  request.body = *text;
  return ChangeNote(std::move(request), note, file);
}

CtlExitCode CtlApp::ChangeNote(HttpRequest request,
                               const std::string& note,
                               const std::string& file) {
  // Retries use the same operation id, so that a retry after a lost response
  // does not fail with a conflict.
  request.headers.Set("papaya-operation", hooks_.make_operation_id());
  request.headers.Set("papaya-author", options_.author);
  HttpResponse response;
  CtlExitCode exit = CtlExitCode::kOk;
  if (!SendRequest(std::move(request), response, exit)) {
    return exit;
  }
  if (response.status == 422) {
    return PrintNoteErrors(file, response.body);
  }
  if (options_.json) {
    out_ << response.body << "\n";
  }
  const json::object body = ParseResponseBody(response.body);
  if (response.status == 409) {
    const json::value* current_note = body.if_contains("note");
    err_ << "papayactl: the release note has another version than expected; "
            "its current content is:\n";
    if (current_note != nullptr && current_note->is_object()) {
      err_ << FormatJsonLines(current_note->as_object());
    }
    return CtlExitCode::kConflict;
  }
  exit = ExitCodeOf(response);
  if (exit == CtlExitCode::kOk && !options_.json) {
    out_ << note << ": " << FormatNoteStatus(body) << "\n";
  }
  return exit;
}

CtlExitCode CtlApp::NoteShow(const Words& arguments) {
  CtlExitCode exit = CtlExitCode::kOk;
  std::optional<json::object> note =
      FetchForDisplay(NoteRequestTo(arguments[0]), exit);
  if (note.has_value()) {
    const std::string text = JsonString(*note, "text");
    note->erase("text");
    out_ << FormatJsonLines(*note) << "\n" << text;
  }
  return exit;
}

CtlExitCode CtlApp::NoteList(const Words& /*arguments*/) {
  return ShowTable("/v1/notes", "notes");
}

CtlExitCode CtlApp::NoteWatch(const Words& arguments) {
  std::string last;
  Duration waited{};
  while (true) {
    HttpResponse response;
    CtlExitCode exit = CtlExitCode::kOk;
    const bool has_response =
        SendRequest(NoteRequestTo(arguments[0]), response, exit);
    if (!has_response && exit != CtlExitCode::kUnreachable) {
      return exit;
    }
    // Server errors and unreachable routers are retried: a store outage or a
    // restart of a router is temporary and does not end the release note.
    if (has_response && response.status == 200) {
      const json::object note = ParseResponseBody(response.body);
      const std::string line = FormatNoteStatus(note);
      if (line != last) {
        out_ << (options_.json ? response.body : line) << std::endl;
        last = line;
      }
      const std::string state = JsonString(note, "state");
      if (IsFinalNoteState(state)) {
        return state == kNoteDone ? CtlExitCode::kOk : CtlExitCode::kRolledBack;
      }
    } else if (has_response && response.status < 500) {
      return ExitCodeOf(response);
    }
    if (options_.watch_limit > Duration::zero() &&
        waited >= options_.watch_limit) {
      err_ << "papayactl: timed out before the release note ended\n";
      return CtlExitCode::kTimeout;
    }
    hooks_.sleep(options_.watch_interval);
    waited += options_.watch_interval;
  }
}

}  // namespace papaya
