#ifndef INCLUDE_CTL_CTL_APP_H_
#define INCLUDE_CTL_CTL_APP_H_

#include <boost/json/object.hpp>
#include <functional>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "include/base/units.h"
#include "include/wire/http_message.h"

namespace papaya {

// What papayactl exits with.
enum class CtlExitCode : int {
  kOk = 0,
  // A router answered with an error that has no code of its own.
  kFailed = 1,
  // The command line is wrong, or a file can't be read.
  kUsage = 2,
  // The note has faults; each is printed with its line.
  kNoteErrors = 3,
  // Another operator was first; what they wrote is printed.
  kConflict = 4,
  // `note watch`: the note ended as taken back.
  kRolledBack = 5,
  // No router answered.
  kUnreachable = 6,
  kNotFound = 7,
  // The operators' token is wrong.
  kUnauthorized = 8,
  // `note watch`: the note had not ended in the time given.
  kTimeout = 9,
};

struct CtlOptions {
  // Operators' addresses of routers; the next one is tried if one does not
  // answer.
  std::vector<std::string> routers;
  // The operators' token.
  std::string token;
  // Prints the routers' JSON in place of tables.
  bool json = false;
  // Who writes notes.
  std::string author;
  // The note's version that `note revise` and `note withdraw` replace; without
  // it, the latest.
  std::optional<uint64_t> expected;
  // `note watch` looks this often, and gives up after `watch_limit` unless that
  // is zero.
  Duration watch_interval = std::chrono::milliseconds(500);
  Duration watch_limit{};
};

// What the commands use of the outside.
struct CtlHooks {
  // One call of a router; an error if no answer came.
  std::function<absl::StatusOr<HttpResponse>(const std::string& router,
                                             const HttpRequest& request)>
      fetch;
  std::function<absl::StatusOr<std::string>(const std::string& path)> read_file;
  // Gives each line of a file of any length.
  std::function<absl::Status(const std::string& path,
                             const std::function<void(const std::string&)>&)>
      read_lines;
  std::function<void(Duration)> sleep;
  // Names a write; another one for each call.
  std::function<std::string()> make_operation_id;
};

// The commands of papayactl. Results go to `out`, complaints to `err`.
class CtlApp {
 public:
  CtlApp(const CtlOptions& options,
         CtlHooks hooks,
         std::ostream* out,
         std::ostream* err);

  // Runs the command that `words` say, as `note`, `show`, `spring`.
  CtlExitCode Run(const std::vector<std::string>& words);

  // What the commands are, for --help.
  static const char* Usage();

 private:
  using Words = std::vector<std::string>;

  struct Command {
    // The words that choose it.
    Words name;
    // How many words follow; or more, with `takes_more`.
    size_t arguments;
    bool takes_more;
    CtlExitCode (CtlApp::*run)(const Words& arguments);
  };

  static const std::vector<Command>& Commands();

  CtlExitCode Status(const Words& arguments);
  CtlExitCode Upstreams(const Words& arguments);
  CtlExitCode Routers(const Words& arguments);
  CtlExitCode Explain(const Words& arguments);
  CtlExitCode Completion(const Words& arguments);
  CtlExitCode NoteCheck(const Words& arguments);
  CtlExitCode NoteSubmit(const Words& arguments);
  CtlExitCode NoteRevise(const Words& arguments);
  CtlExitCode NoteWithdraw(const Words& arguments);
  CtlExitCode NoteShow(const Words& arguments);
  CtlExitCode NoteList(const Words& arguments);
  CtlExitCode NoteWatch(const Words& arguments);

  // The object that a router answers `request` with, to be shown to people.
  // Empty, with the exit in `exit`, if it answers otherwise, or if its answer
  // has been printed as JSON.
  std::optional<boost::json::object> FetchForDisplay(HttpRequest request,
                                                     CtlExitCode& exit);
  // Gets `target` and prints the array `key` of the answer as a table.
  CtlExitCode ShowTable(const std::string& target, const std::string& key);
  // Submits or revises a note by the text in `file`.
  CtlExitCode PutNote(const std::string& note,
                      uint64_t expected,
                      const std::string& file);
  // Sends a change of a note, names it, and prints what came of it. `file` is
  // named in faults.
  CtlExitCode ChangeNote(HttpRequest request,
                         const std::string& note,
                         const std::string& file);
  // The version that a change of `note` replaces: that of the flags, or the
  // latest. Empty, with the exit in `exit`, if it can't be had.
  std::optional<uint64_t> ExpectedVersion(const std::string& note,
                                          CtlExitCode& exit);
  // Sends a request to the first router that answers; false, with the exit in
  // `exit`, if none does.
  bool SendRequest(HttpRequest request,
                   HttpResponse& response,
                   CtlExitCode& exit);
  CtlExitCode ExitCodeOf(const HttpResponse& response);
  CtlExitCode PrintNoteErrors(const std::string& file, const std::string& body);

  const CtlOptions options_;
  const CtlHooks hooks_;
  std::ostream& out_;
  std::ostream& err_;
};

}  // namespace papaya

#endif  // INCLUDE_CTL_CTL_APP_H_
