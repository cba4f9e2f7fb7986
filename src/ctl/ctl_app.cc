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
         "  note check FILE         every fault of a release note, by line;\n"
         "                          against the fleet too if --router is "
         "given\n"
         "  note submit NAME FILE   submits a new release note\n"
         "  note revise NAME FILE   replaces the text of a release note\n"
         "  note withdraw NAME      takes a release note back\n"
         "  note show NAME          one release note with its text\n"
         "  note list               all release notes\n"
         "  note watch NAME         each change, until it is done or taken "
         "back\n"
         "  status                  what is in force, and who lacks it\n"
         "  upstreams               the upstreams as this router sees them\n"
         "  routers                 the routers as this router sees them\n"
         "  explain REQUEST LOG...  what these logs of routers say about a "
         "request\n"
         "  completion              completion of commands for bash\n"
         "Exit codes: 0 good, 1 failed, 2 usage, 3 the note has faults,\n"
         "4 another operator was first, 5 the note was taken back,\n"
         "6 no router answered, 7 not found, 8 wrong token, 9 out of time.";
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
    err_ << "papayactl: this command needs --router\n";
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
  err_ << "papayactl: the router answered " << response.status;
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
    err_ << "papayactl: the router's answer is broken\n";
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
    err_ << "papayactl: no line of these logs is about " << arguments[0]
         << "; each router logs a bounded number of requests a second "
            "(events_left_out)\n";
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
  // The second words by the first ones.
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
