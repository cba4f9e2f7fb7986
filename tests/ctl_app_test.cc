#include <catch2/catch.hpp>

#include <deque>
#include <map>
#include <sstream>
#include <string>

#include "include/ctl/ctl_app.h"

namespace papaya {
namespace {

constexpr const char* kGoodNote =
    "[note]\ntraffic_by = 2026-12-04T18:00:00Z\n[pool plans]\nversion = v2\n";

// Returns the responses of a list and records the requests.
struct FakeRouter {
  std::deque<HttpResponse> responses;
  std::vector<HttpRequest> requests;
  std::vector<std::string> contacted_routers;
  // Routers that do not respond.
  std::vector<std::string> unreachable_routers;
  std::map<std::string, std::string> files = {{"n.ini", kGoodNote}};
  std::ostringstream out;
  std::ostringstream err;
  int sleeps = 0;

  CtlHooks Hooks() {
    return {
        .fetch = [this](const std::string& router, const HttpRequest& request)
            -> absl::StatusOr<HttpResponse> {
          contacted_routers.push_back(router);
          if (std::find(unreachable_routers.begin(), unreachable_routers.end(),
                        router) != unreachable_routers.end()) {
            return absl::UnavailableError("no response from " + router);
          }
          requests.push_back(request);
          if (responses.empty()) {
            return absl::UnavailableError("no response");
          }
          HttpResponse next_response = responses.front();
          responses.pop_front();
          return next_response;
        },
        .read_file =
            [this](const std::string& path) -> absl::StatusOr<std::string> {
          const auto file = files.find(path);
          if (file == files.end()) {
            return absl::NotFoundError("no file " + path);
          }
          return file->second;
        },
        .read_lines =
            [this](const std::string& path,
                   const std::function<void(const std::string&)>& on_line)
            -> absl::Status {
          const auto file = files.find(path);
          if (file == files.end()) {
            return absl::NotFoundError("no file " + path);
          }
          std::istringstream text(file->second);
          for (std::string line; std::getline(text, line);) {
            on_line(line);
          }
          return absl::OkStatus();
        },
        .sleep = [this](Duration) { ++sleeps; },
        .make_operation_id = [] { return std::string("op-1"); }};
  }

  CtlExitCode Run(const std::vector<std::string>& words,
                  const CtlOptions& options = DefaultOptions()) {
    return CtlApp(options, Hooks(), &out, &err).Run(words);
  }

  static CtlOptions DefaultOptions() {
    CtlOptions options;
    options.routers = {"r1", "r2"};
    options.token = "secret";
    options.author = "zuzana";
    return options;
  }
};

HttpResponse MakeResponse(int status, const std::string& body) {
  HttpResponse response;
  response.status = status;
  response.body = body;
  return response;
}

TEST_CASE("CtlApp: unknown commands and wrong argument counts print the usage",
          "[ctl]") {
  for (const std::vector<std::string>& words : {std::vector<std::string>{},
                                                {"note"},
                                                {"note", "show"},
                                                {"status", "x"},
                                                {"nonsense"}}) {
    FakeRouter router;
    CHECK(router.Run(words) == CtlExitCode::kUsage);
    CHECK(router.err.str().find("note submit NAME FILE") != std::string::npos);
    CHECK(router.requests.empty());
  }
}

TEST_CASE("CtlApp: explain reads all logs on the command line", "[ctl]") {
  FakeRouter router;
  router.files = {{"a", ""},
                  {"b",
                   "noise\n{\"t\":\"2026-03-01T19:33:20.000Z\",\"request\":"
                   "\"x\",\"reason\":\"timeout\"}\n"}};
  CHECK(router.Run({"explain", "x", "a", "b"}) == CtlExitCode::kOk);
  CHECK(router.out.str().find("it timed out before") != std::string::npos);
  CHECK(router.Run({"explain", "y", "a", "b"}) == CtlExitCode::kNotFound);
  CHECK(router.Run({"explain", "x", "c"}) == CtlExitCode::kUsage);
  CHECK(router.Run({"explain", "x"}) == CtlExitCode::kUsage);
}

TEST_CASE("CtlApp: completion lists the commands", "[ctl]") {
  FakeRouter router;
  CHECK(router.Run({"completion"}) == CtlExitCode::kOk);
  const std::string script = router.out.str();
  CHECK(script.find("note) words=\"check submit revise") != std::string::npos);
  CHECK(script.find("explain") != std::string::npos);
}

TEST_CASE("CtlApp: tries the next router and sends the token", "[ctl]") {
  FakeRouter router;
  router.unreachable_routers = {"r1"};
  router.responses = {
      MakeResponse(200, R"({"revision":7,"lacking":["r3","r4"]})")};
  CHECK(router.Run({"status"}) == CtlExitCode::kOk);
  CHECK(router.contacted_routers == std::vector<std::string>{"r1", "r2"});
  CHECK(router.requests[0].headers.Get("Authorization") == "Bearer secret");
  CHECK(router.out.str() == "revision  7\nlacking   r3, r4\n");
  router.unreachable_routers = {"r1", "r2"};
  CHECK(router.Run({"status"}) == CtlExitCode::kUnreachable);
}

TEST_CASE("CtlApp: tables are aligned, and --json prints the response body",
          "[ctl]") {
  const std::string body =
      R"({"upstreams":[{"id":"a","state":"active"},{"id":"long-name"}]})";
  FakeRouter router;
  router.responses = {MakeResponse(200, body), MakeResponse(200, body),
                      MakeResponse(200, "[]")};
  CHECK(router.Run({"upstreams"}) == CtlExitCode::kOk);
  CHECK(router.out.str() ==
        "id         state\na          active\nlong-name  \n");
  router.out.str("");
  CtlOptions options = FakeRouter::DefaultOptions();
  options.json = true;
  CHECK(router.Run({"upstreams"}, options) == CtlExitCode::kOk);
  CHECK(router.out.str() == body + "\n");
  CHECK(router.Run({"upstreams"}) == CtlExitCode::kFailed);
}

TEST_CASE("CtlApp: error responses map to exit codes", "[ctl]") {
  const std::vector<std::pair<int, CtlExitCode>> cases = {
      {401, CtlExitCode::kUnauthorized},
      {404, CtlExitCode::kNotFound},
      {500, CtlExitCode::kFailed},
      {503, CtlExitCode::kFailed}};
  for (const auto& [status, exit] : cases) {
    FakeRouter router;
    router.responses = {
        MakeResponse(status, R"({"error":{"message":"what was wrong"}})")};
    CHECK(router.Run({"note", "show", "n"}) == exit);
    CHECK(router.err.str().find("what was wrong") != std::string::npos);
  }
}

TEST_CASE("CtlApp: note check works without and with a router", "[ctl]") {
  FakeRouter router;
  router.files["bad.ini"] = "[note]\nnonsense = 1\n";
  CtlOptions alone = FakeRouter::DefaultOptions();
  alone.routers.clear();
  CHECK(router.Run({"note", "check", "n.ini"}, alone) == CtlExitCode::kOk);
  CHECK(router.Run({"note", "check", "bad.ini"}, alone) ==
        CtlExitCode::kNoteErrors);
  CHECK(router.err.str().find("bad.ini:2: ") != std::string::npos);
  CHECK(router.Run({"note", "check", "none.ini"}, alone) ==
        CtlExitCode::kUsage);
  CHECK(router.requests.empty());
  router.responses = {
      MakeResponse(422, R"({"faults":[{"line":3,"message":"no such pool"}]})")};
  CHECK(router.Run({"note", "check", "n.ini"}) == CtlExitCode::kNoteErrors);
  CHECK(router.err.str().find("n.ini:3: no such pool\n") != std::string::npos);
}

TEST_CASE("CtlApp: note submit sends the author and an operation id", "[ctl]") {
  FakeRouter router;
  router.responses = {
      MakeResponse(200, R"({"id":"n","state":"waiting","reason":"accepted"})")};
  CHECK(router.Run({"note", "submit", "n", "n.ini"}) == CtlExitCode::kOk);
  const HttpRequest& request = router.requests[0];
  CHECK(request.method == "PUT");
  CHECK(request.target == "/v1/notes/n?expected=0");
  CHECK(request.headers.Get("papaya-operation") == "op-1");
  CHECK(request.headers.Get("papaya-author") == "zuzana");
  CHECK(request.body == kGoodNote);
  CHECK(router.out.str() == "n: waiting: accepted\n");
  CHECK(router.Run({"note", "submit", "a/b", "n.ini"}) == CtlExitCode::kUsage);
}

TEST_CASE("CtlApp: a conflict prints the current release note", "[ctl]") {
  FakeRouter router;
  router.responses = {
      MakeResponse(200, R"({"id":"n","version":4})"),
      MakeResponse(409, R"({"note":{"author":"ali","text":"[note]"}})")};
  CHECK(router.Run({"note", "revise", "n", "n.ini"}) == CtlExitCode::kConflict);
  CHECK(router.requests[1].target == "/v1/notes/n?expected=4");
  CHECK(router.err.str().find("author  ali\n") != std::string::npos);
}

TEST_CASE("CtlApp: note watch prints changes until the end", "[ctl]") {
  FakeRouter router;
  router.responses = {
      MakeResponse(200, R"({"state":"waiting","reason":"a"})"),
      MakeResponse(200, R"({"state":"waiting","reason":"a"})"),
      MakeResponse(503, "{}"),
      MakeResponse(200,
                   R"({"state":"moving","share_permille":50,"reason":"b"})"),
      MakeResponse(200, R"({"state":"taking_back","reason":"c"})"),
      MakeResponse(200, R"({"state":"taken_back","reason":"d"})")};
  CHECK(router.Run({"note", "watch", "n"}) == CtlExitCode::kRolledBack);
  CHECK(router.out.str() ==
        "waiting: a\nmoving, new versions at 50 permille: b\n"
        "taking back: c\ntaken back: d\n");
  CHECK(router.sleeps == 5);
  router.responses = {MakeResponse(200, R"({"state":"done","reason":"e"})")};
  CHECK(router.Run({"note", "watch", "n"}) == CtlExitCode::kOk);
  CtlOptions limited = FakeRouter::DefaultOptions();
  limited.watch_limit = std::chrono::seconds(2);
  router.responses.assign(
      10, MakeResponse(200, R"({"state":"moving","reason":"b"})"));
  CHECK(router.Run({"note", "watch", "n"}, limited) == CtlExitCode::kTimeout);
}

}  // namespace
}  // namespace papaya
