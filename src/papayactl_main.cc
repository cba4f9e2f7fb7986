// papayactl: the command-line tool for operators.

#include <gflags/gflags.h>
#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <fstream>
#include <functional>
#include <iostream>
#include <optional>
#include <random>
#include <thread>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "include/base/error.h"
#include "include/base/text_file.h"
#include "include/ctl/ctl_app.h"
#include "include/settings/value_parsers.h"
#include "include/wire/http_client.h"
#include "include/wire/steady_time.h"
#include "src/program_flags.h"

DEFINE_string(router,
              "",
              "Comma-separated operator addresses of routers, IP:PORT, tried "
              "in this order until one responds.");
DEFINE_string(token_file, "", "File with the operator token.");
DEFINE_bool(json, false, "Print JSON for scripts instead of tables.");
DEFINE_string(author, "", "Author of the release note; default: login name.");
DEFINE_int64(
    expected,
    -1,
    "note revise, note withdraw: the version to replace; the latest if "
    "negative.");
DEFINE_double(watch_seconds, 0, "note watch: time limit; 0 means none.");
DEFINE_double(timeout_seconds, 10, "Time limit of one request.");

namespace papaya {
namespace {

absl::StatusOr<HttpResponse> Fetch(const std::string& router,
                                   const HttpRequest& request) {
  boost::asio::io_context context(1);
  std::optional<absl::StatusOr<HttpResponse>> result;
  boost::asio::co_spawn(
      context,
      FetchHttp(router, request,
                SteadyNow() + SecondsToDuration(FLAGS_timeout_seconds)),
      [&result](const std::exception_ptr&,
                absl::StatusOr<HttpResponse> response) {
        result = std::move(response);
      });
  context.run();
  return *std::move(result);
}

absl::Status ReadLines(const std::string& path,
                       const std::function<void(const std::string&)>& on_line) {
  std::ifstream file(path);
  std::string line;
  while (std::getline(file, line)) {
    on_line(line);
  }
  // Reaching the end of the file is success. A file that could not be opened
  // never reaches it.
  if (file.bad() || !file.eof()) {
    return MakeError(absl::StatusCode::kNotFound,
                     {.step = "file.read", .peer = path},
                     "the file cannot be read");
  }
  return absl::OkStatus();
}

std::string MakeOperationId() {
  std::random_device device;
  const uint64_t high = device();
  return absl::StrCat("ctl-", absl::Hex((high << 32) | device()));
}

std::string AuthorFromFlags() {
  if (!FLAGS_author.empty()) {
    return FLAGS_author;
  }
  const char* login = getlogin();
  return login == nullptr ? "operator" : login;
}

// Returns the options, or nullopt after printing an error if the token file
// cannot be read.
std::optional<CtlOptions> OptionsFromFlags() {
  CtlOptions options;
  options.routers = SplitList(FLAGS_router);
  options.json = FLAGS_json;
  options.author = AuthorFromFlags();
  options.watch_limit = SecondsToDuration(FLAGS_watch_seconds);
  if (FLAGS_expected >= 0) {
    options.expected = static_cast<uint64_t>(FLAGS_expected);
  }
  if (FLAGS_token_file.empty()) {
    return options;
  }
  const absl::StatusOr<std::string> token = ReadTextFile(FLAGS_token_file);
  if (!token.ok()) {
    std::cerr << "papayactl: " << token.status().message() << "\n";
    return std::nullopt;
  }
  options.token = std::string(absl::StripAsciiWhitespace(*token));
  return options;
}

CtlExitCode Run(const std::vector<std::string>& words) {
  const std::optional<CtlOptions> options = OptionsFromFlags();
  if (!options) {
    return CtlExitCode::kUsage;
  }
  const CtlHooks hooks = {
      .fetch = Fetch,
      .read_file = ReadTextFile,
      .read_lines = ReadLines,
      .sleep = [](Duration time) { std::this_thread::sleep_for(time); },
      .make_operation_id = MakeOperationId};
  return CtlApp(*options, hooks, &std::cout, &std::cerr).Run(words);
}

}  // namespace
}  // namespace papaya

int main(int argc, char** argv) {
  const std::optional<int> ended = papaya::ReadProgramFlags(
      "papayactl", papaya::CtlApp::Usage(), &argc, &argv);
  if (ended.has_value()) {
    return *ended;
  }
  const std::vector<std::string> words(argv + 1, argv + argc);
  return static_cast<int>(papaya::Run(words));
}
