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

// The exit codes of papayactl.
enum class CtlExitCode : int {
  kOk = 0,
  // A router responded with an error that has no exit code of its own.
  kFailed = 1,
  // The command line is invalid, or a file cannot be read.
  kUsage = 2,
  // The release note has errors. Each one is printed with its line number.
  kNoteErrors = 3,
  // The release note was changed by someone else in the meantime. Its current
  // content is printed.
  kConflict = 4,
  // `note watch`: the release note was rolled back.
  kRolledBack = 5,
  // No router responded.
  kUnreachable = 6,
  kNotFound = 7,
  // The router did not accept the operator token.
  kUnauthorized = 8,
  // `note watch`: the release note did not end within the time limit.
  kTimeout = 9,
};

struct CtlOptions {
  // Operator addresses of routers, tried in this order until one responds.
  std::vector<std::string> routers;
  // The operator token, sent as a bearer token.
  std::string token;
  // Prints JSON instead of tables.
  bool json = false;
  // Recorded as the author of release notes that are written.
  std::string author;
  // The version of the release note that `note revise` and `note withdraw`
  // replace. Defaults to the latest version.
  std::optional<uint64_t> expected;
  // `note watch` polls at this interval and stops after `watch_limit`. A limit
  // of zero means no limit.
  Duration watch_interval = std::chrono::milliseconds(500);
  Duration watch_limit{};
};

// The I/O functions that the commands use. Tests replace them.
struct CtlHooks {
  // Sends `request` to `router`. Fails if no response arrived.
  std::function<absl::StatusOr<HttpResponse>(const std::string& router,
                                             const HttpRequest& request)>
      fetch;
  std::function<absl::StatusOr<std::string>(const std::string& path)> read_file;
  // Calls the function with each line of a file, so that logs of any size can
  // be read without loading them whole.
  std::function<absl::Status(const std::string& path,
                             const std::function<void(const std::string&)>&)>
      read_lines;
  std::function<void(Duration)> sleep;
  // Returns a new operation id for each write.
  std::function<std::string()> make_operation_id;
};

// Implements the commands of papayactl. Prints results to `out` and errors to
// `err`, both of which must outlive this object.
class CtlApp {
 public:
  CtlApp(const CtlOptions& options,
         CtlHooks hooks,
         std::ostream* out,
         std::ostream* err);

  // Runs the command given as `words`, for example {"note", "show", "spring"}.
  CtlExitCode Run(const std::vector<std::string>& words);

  // Returns the help text that lists all commands.
  static const char* Usage();

 private:
  using Words = std::vector<std::string>;

  struct Command {
    // The leading words that select the command.
    Words name;
    // The number of arguments, or their minimum if `takes_more` is set.
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

  // Sends `request` and returns the JSON object in the response. Returns
  // nullopt and sets `exit` if the request failed, or if the response was
  // already printed because JSON output is requested.
  std::optional<boost::json::object> FetchForDisplay(HttpRequest request,
                                                     CtlExitCode& exit);
  // Fetches `target` and prints the array `key` of the response as a table.
  CtlExitCode ShowTable(const std::string& target, const std::string& key);
  // Submits or revises a release note with the text in `file`.
  CtlExitCode PutNote(const std::string& note,
                      uint64_t expected,
                      const std::string& file);
  // Sends `request`, which changes `note`, with a new operation id and prints
  // the result. Errors in the text are printed with `file` as their source.
  CtlExitCode ChangeNote(HttpRequest request,
                         const std::string& note,
                         const std::string& file);
  // Returns the version that a change of `note` replaces: the one given in the
  // options, or else the latest one. Returns nullopt and sets `exit` if the
  // latest version cannot be fetched.
  std::optional<uint64_t> ExpectedVersion(const std::string& note,
                                          CtlExitCode& exit);
  // Tries the routers in order until one responds. Returns false and sets
  // `exit` if none does.
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
