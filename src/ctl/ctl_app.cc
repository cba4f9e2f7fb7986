#include "include/ctl/ctl_app.h"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <map>
#include <ostream>
#include <utility>

#include "absl/strings/str_cat.h"
#include "include/ctl/request_history.h"
#include "src/ctl/json_text.h"

namespace papaya {

namespace {

namespace json = boost::json;

HttpRequest GetRequest(const std::string& target) {
  HttpRequest request;
  request.target = target;
  return request;
}

}  // namespace

CtlApp::CtlApp(const CtlOptions& options,
               CtlHooks hooks,
               std::ostream* out,
               std::ostream* err)
    : options_(options), hooks_(std::move(hooks)), out_(*out), err_(*err) {}

const char* CtlApp::Usage() {
  return "papayactl [flags] COMMAND\n"
         "  note check FILE         checks a release note and prints its "
         "errors by\n"
         "                          line; with --router, checks it against "
         "the fleet\n"
         "  note submit NAME FILE   submits a new release note\n"
         "  note revise NAME FILE   replaces the text of a release note\n"
         "  note withdraw NAME      withdraws a release note and rolls it "
         "back\n"
         "  note show NAME          prints one release note with its text\n"
         "  note list               lists all release notes\n"
         "  note watch NAME         prints each change until the release note "
         "is done\n"
         "                          or rolled back\n"
         "  status                  prints the configuration in force and "
         "the routers\n"
         "                          that lack it\n"
         "  upstreams               lists the upstreams known to the router\n"
         "  routers                 lists the routers known to the router\n"
         "  explain REQUEST LOG...  prints what these router logs contain "
         "about a\n"
         "                          request\n"
         "  completion              prints a completion script for bash\n"
         "Exit codes: 0 success, 1 failure, 2 usage error, 3 errors in the "
         "release\n"
         "note, 4 conflict with another change, 5 the release note was rolled "
         "back,\n"
         "6 no router responded, 7 not found, 8 wrong token, 9 timeout.";
}

const std::vector<CtlApp::Command>& CtlApp::Commands() {
  static const std::vector<Command>& commands = *new std::vector<Command>{
      {{"note", "check"}, 1, false, &CtlApp::NoteCheck},
      {{"note", "submit"}, 2, false, &CtlApp::NoteSubmit},
      {{"note", "revise"}, 2, false, &CtlApp::NoteRevise},
      {{"note", "withdraw"}, 1, false, &CtlApp::NoteWithdraw},
      {{"note", "show"}, 1, false, &CtlApp::NoteShow},
      {{"note", "list"}, 0, false, &CtlApp::NoteList},
      {{"note", "watch"}, 1, false, &CtlApp::NoteWatch},
      {{"status"}, 0, false, &CtlApp::Status},
      {{"upstreams"}, 0, false, &CtlApp::Upstreams},
      {{"routers"}, 0, false, &CtlApp::Routers},
      {{"explain"}, 2, true, &CtlApp::Explain},
      {{"completion"}, 0, false, &CtlApp::Completion},
  };
  return commands;
}

CtlExitCode CtlApp::Run(const Words& words) {
  for (const Command& command : Commands()) {
    const size_t named = command.name.size();
    const size_t needed = named + command.arguments;
    if ((words.size() == needed ||
         (command.takes_more && words.size() > needed)) &&
        std::equal(command.name.begin(), command.name.end(), words.begin())) {
      return (this->*command.run)(Words(words.begin() + named, words.end()));
    }
  }
  err_ << Usage() << "\n";
  return CtlExitCode::kUsage;
}

bool CtlApp::SendRequest(HttpRequest request,
                         HttpResponse& response,
                         CtlExitCode& exit) {
  if (options_.routers.empty()) {
    err_ << "papayactl: this command requires --router\n";
    exit = CtlExitCode::kUsage;
    return false;
  }
  request.headers.Set("Authorization", "Bearer " + options_.token);
  for (const std::string& router : options_.routers) {
    absl::StatusOr<HttpResponse> result = hooks_.fetch(router, request);
    if (result.ok()) {
      response = *std::move(result);
      return true;
    }
    err_ << "papayactl: " << result.status().message() << "\n";
  }
  exit = CtlExitCode::kUnreachable;
  return false;
}

CtlExitCode CtlApp::ExitCodeOf(const HttpResponse& response) {
  if (response.status == 200) {
    return CtlExitCode::kOk;
  }
  const json::object body = ParseResponseBody(response.body);
  const json::value* error = body.if_contains("error");
  err_ << "papayactl: the router responded with status " << response.status;
  if (error != nullptr && error->is_object()) {
    err_ << ": " << JsonString(error->as_object(), "message");
  }
  err_ << "\n";
  switch (response.status) {
    case 401:
      return CtlExitCode::kUnauthorized;
    case 404:
      return CtlExitCode::kNotFound;
    default:
      return CtlExitCode::kFailed;
  }
}

std::optional<json::object> CtlApp::FetchForDisplay(HttpRequest request,
                                                    CtlExitCode& exit) {
  HttpResponse response;
  if (!SendRequest(std::move(request), response, exit)) {
    return std::nullopt;
  }
  exit = ExitCodeOf(response);
  if (exit != CtlExitCode::kOk) {
    return std::nullopt;
  }
  if (options_.json) {
    out_ << response.body << "\n";
    return std::nullopt;
  }
  return ParseResponseBody(response.body);
}

CtlExitCode CtlApp::ShowTable(const std::string& target,
                              const std::string& key) {
  CtlExitCode exit = CtlExitCode::kOk;
  const std::optional<json::object> body =
      FetchForDisplay(GetRequest(target), exit);
  if (!body.has_value()) {
    return exit;
  }
  const json::value* rows = body->if_contains(key);
  if (rows == nullptr || !rows->is_array()) {
    err_ << "papayactl: the router's response lacks the expected array\n";
    return CtlExitCode::kFailed;
  }
  out_ << FormatJsonTable(rows->as_array());
  return CtlExitCode::kOk;
}

CtlExitCode CtlApp::Status(const Words& /*arguments*/) {
  CtlExitCode exit = CtlExitCode::kOk;
  const std::optional<json::object> body =
      FetchForDisplay(GetRequest("/v1/status"), exit);
  if (body.has_value()) {
    out_ << FormatJsonLines(*body);
  }
  return exit;
}

CtlExitCode CtlApp::Upstreams(const Words& /*arguments*/) {
  return ShowTable("/v1/upstreams", "upstreams");
}

CtlExitCode CtlApp::Routers(const Words& /*arguments*/) {
  return ShowTable("/v1/routers", "routers");
}

CtlExitCode CtlApp::Explain(const Words& arguments) {
  RequestHistory history(arguments[0]);
  for (size_t i = 1; i < arguments.size(); ++i) {
    const absl::Status status = hooks_.read_lines(
        arguments[i],
        [&](const std::string& line) { history.AddLine(arguments[i], line); });
    if (!status.ok()) {
      err_ << "papayactl: " << status.message() << "\n";
      return CtlExitCode::kUsage;
    }
  }
  if (!history.IsFound()) {
    err_ << "papayactl: these logs have no line about request " << arguments[0]
         << "; each router logs a limited number of requests per second "
            "(see events_left_out)\n";
    return CtlExitCode::kNotFound;
  }
  if (options_.json) {
    out_ << json::serialize(history.ToJson()) << "\n";
  } else {
    out_ << history.ToText();
  }
  return CtlExitCode::kOk;
}

CtlExitCode CtlApp::Completion(const Words& /*arguments*/) {
  // Maps the first word of a command to its possible second words.
  std::map<std::string, std::string> second;
  for (const Command& command : Commands()) {
    std::string& words = second[command.name.front()];
    if (command.name.size() > 1) {
      absl::StrAppend(&words, words.empty() ? "" : " ", command.name[1]);
    }
  }
  std::string first;
  std::string cases;
  for (const auto& [name, words] : second) {
    absl::StrAppend(&first, first.empty() ? "" : " ", name);
    if (!words.empty()) {
      absl::StrAppend(&cases, "    ", name, ") words=\"", words, "\" ;;\n");
    }
  }
  out_ << "_papayactl() {\n"
          "  local words=\""
       << first
       << "\"\n"
          "  case ${COMP_WORDS[COMP_CWORD-1]} in\n"
       << cases
       << "    explain) return ;;\n"
          "  esac\n"
          "  COMPREPLY=($(compgen -W \"$words\" -- "
          "\"${COMP_WORDS[COMP_CWORD]}\"))\n"
          "}\n"
          "complete -o default -F _papayactl papayactl\n";
  return CtlExitCode::kOk;
}

}  // namespace papaya
