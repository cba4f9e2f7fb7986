#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <sstream>
#include <string>

#include "include/chart/state_chart.h"
#include "include/ctl/ctl_app.h"
#include "include/standin/standin_server.h"
#include "include/wire/http_client.h"
#include "include/wire/http_object_store.h"
#include "include/wire/steady_time.h"
#include "src/daemon/note_pages.h"

namespace papaya {
namespace {

namespace asio = boost::asio;

constexpr const char* kFirstFleet =
    "[note]\nsummary = First fleet\ntraffic_by = 2100-01-01T00:00:00Z\n"
    "[upstream e1]\nvm = vm-1\naddress = 127.0.0.1:9\nzone = a\n"
    "kind = model_engine\npool = plans\nversion = v1\ngeneration = g1\n"
    "slots = 4\n";

// Runs papayactl commands against NotePages, which stores the notes in a
// stand-in platform over HTTP.
class NotePagesFixture {
 public:
  NotePagesFixture() : platform_(&context_, PlatformStandin()) {
    REQUIRE(platform_.Start().ok());
    HttpObjectStoreOptions options;
    options.address = platform_.address();
    store_ =
        std::make_unique<HttpObjectStore>(context_.get_executor(), options);
    absl::StatusOr<StateChart> chart =
        StateChart::Load(PAPAYA_SOURCE_DIR "/charts/release_note.chart");
    REQUIRE(chart.ok());
    note_store_ = std::make_unique<ReleaseNoteStore>(
        store_.get(), "p", std::make_shared<const StateChart>(*chart));
    pages_ =
        std::make_unique<NotePages>(note_store_.get(), [] { return nullptr; });
  }

  static StandinOptions PlatformStandin() {
    StandinOptions options;
    options.role = StandinRole::kPlatform;
    return options;
  }

  HttpResponse Fetch(const HttpRequest& request) {
    return Await(pages_->Handle(request));
  }

  void SetFaults(const std::string& faults) {
    HttpRequest request;
    request.method = "POST";
    request.target = "/faults";
    request.body = faults;
    const absl::StatusOr<HttpResponse> response = Await(FetchHttp(
        platform_.address(), request, SteadyNow() + std::chrono::seconds(5)));
    REQUIRE(response.ok());
    REQUIRE(response->status == 200);
  }

  CtlExitCode Ctl(const std::vector<std::string>& words,
                  const std::string& operation,
                  const std::string& author = "zuzana") {
    CtlOptions options;
    options.routers = {"r1"};
    options.author = author;
    const CtlHooks hooks = {
        .fetch = [this](const std::string&, const HttpRequest& request)
            -> absl::StatusOr<HttpResponse> { return Fetch(request); },
        .read_file = [this](const std::string&) -> absl::StatusOr<std::string> {
          return text;
        },
        .sleep = [](Duration) {},
        .make_operation_id = [operation] { return operation; }};
    out.str("");
    err.str("");
    return CtlApp(options, hooks, &out, &err).Run(words);
  }

  std::string text = kFirstFleet;
  std::ostringstream out;
  std::ostringstream err;

 private:
  template <typename T>
  T Await(asio::awaitable<T> awaitable) {
    std::optional<T> result;
    asio::co_spawn(context_, std::move(awaitable),
                   [&result](const std::exception_ptr&, T value) {
                     result = std::move(value);
                   });
    while (!result) {
      context_.run_one();
    }
    return *std::move(result);
  }

  asio::io_context context_;
  StandinServer platform_;
  std::unique_ptr<HttpObjectStore> store_;
  std::unique_ptr<ReleaseNoteStore> note_store_;
  std::unique_ptr<NotePages> pages_;
};

TEST_CASE("NotePages: a note is submitted, listed and shown", "[daemon]") {
  NotePagesFixture fixture;
  CHECK(fixture.Ctl({"note", "show", "n"}, "o") == CtlExitCode::kNotFound);
  REQUIRE(fixture.Ctl({"note", "submit", "n", "f"}, "o1") == CtlExitCode::kOk);
  CHECK(fixture.out.str().find("n: waiting: ") == 0);
  CHECK(fixture.Ctl({"note", "list"}, "o") == CtlExitCode::kOk);
  CHECK(fixture.out.str().find("First fleet") != std::string::npos);
  CHECK(fixture.Ctl({"note", "show", "n"}, "o") == CtlExitCode::kOk);
  CHECK(fixture.out.str().find("[upstream e1]") != std::string::npos);
}

TEST_CASE("NotePages: errors in a note are reported with their lines",
          "[daemon]") {
  NotePagesFixture fixture;
  fixture.text =
      "[note]\ntraffic_by = 2100-01-01T00:00:00Z\n[pool x]\n"
      "version = v2\n";
  CHECK(fixture.Ctl({"note", "check", "f"}, "o") == CtlExitCode::kNoteErrors);
  CHECK(fixture.err.str().find("f:3: ") != std::string::npos);
  CHECK(fixture.Ctl({"note", "submit", "n", "f"}, "o") ==
        CtlExitCode::kNoteErrors);
  CHECK(fixture.err.str().find("f:3: ") != std::string::npos);
  CHECK(fixture.Ctl({"note", "show", "n"}, "o") == CtlExitCode::kNotFound);
}

TEST_CASE("NotePages: an operator who loses a race sees the other's change",
          "[daemon]") {
  NotePagesFixture fixture;
  REQUIRE(fixture.Ctl({"note", "submit", "n", "f"}, "o1", "zuzana") ==
          CtlExitCode::kOk);
  CHECK(fixture.Ctl({"note", "submit", "n", "f"}, "o2", "ali") ==
        CtlExitCode::kConflict);
  CHECK(fixture.err.str().find("zuzana") != std::string::npos);
  CHECK(fixture.err.str().find("[upstream e1]") != std::string::npos);
}

TEST_CASE(
    "NotePages: repeating a submission whose response was lost is not a "
    "conflict",
    "[daemon]") {
  NotePagesFixture fixture;
  fixture.SetFaults(R"({"lost_answers_permille":1000})");
  const CtlExitCode first = fixture.Ctl({"note", "submit", "n", "f"}, "o1");
  fixture.SetFaults(R"({"lost_answers_permille":0})");
  CHECK((first == CtlExitCode::kOk || first == CtlExitCode::kFailed));
  CHECK(fixture.Ctl({"note", "submit", "n", "f"}, "o1") == CtlExitCode::kOk);
  CHECK(fixture.Ctl({"note", "submit", "n", "f"}, "o2") ==
        CtlExitCode::kConflict);
}

TEST_CASE(
    "NotePages: reports an outage and rejects writes without an operation id",
    "[daemon]") {
  NotePagesFixture fixture;
  fixture.SetFaults(R"({"outage":true})");
  HttpRequest list;
  list.target = "/v1/notes";
  const HttpResponse response = fixture.Fetch(list);
  CHECK(response.status == 503);
  CHECK_FALSE(response.headers.Get("Retry-After").empty());
  HttpRequest put;
  put.method = "PUT";
  put.target = "/v1/notes/n?expected=0";
  CHECK(fixture.Fetch(put).status == 400);
  HttpRequest unknown;
  unknown.method = "POST";
  unknown.target = "/v1/notes/n";
  CHECK(fixture.Fetch(unknown).status == 404);
}

TEST_CASE("NotePages: a waiting note can be withdrawn only once", "[daemon]") {
  NotePagesFixture fixture;
  REQUIRE(fixture.Ctl({"note", "submit", "n", "f"}, "o1") == CtlExitCode::kOk);
  CHECK(fixture.Ctl({"note", "withdraw", "n"}, "o2") == CtlExitCode::kOk);
  CHECK(fixture.Ctl({"note", "watch", "n"}, "o") == CtlExitCode::kRolledBack);
  CHECK(fixture.out.str().find("taken back: withdrawn") == 0);
  CHECK(fixture.Ctl({"note", "withdraw", "n"}, "o3") == CtlExitCode::kConflict);
}

}  // namespace
}  // namespace papaya
