#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <string>

#include "include/standin/response_checker.h"
#include "include/standin/response_text.h"
#include "include/standin/standin_server.h"
#include "include/wire/chat_body.h"
#include "include/wire/http_client.h"
#include "include/wire/prompt_blocks.h"
#include "include/wire/sse_reader.h"
#include "src/daemon/upstream_json.h"
#include "tests/child_process.h"
#include "tests/loopback.h"

namespace papaya {
namespace {

namespace asio = boost::asio;

HttpRequest Post(const std::string& target, const std::string& body) {
  HttpRequest request;
  request.method = "POST";
  request.target = target;
  request.body = body;
  return request;
}

HttpRequest Get(const std::string& target) {
  HttpRequest request;
  request.target = target;
  return request;
}

HttpRequest Chat(const std::string& stream_id, int tokens, bool stream) {
  HttpRequest request =
      Post("/v1/chat/completions",
           R"({"model":"m","messages":[{"role":"user","content":"hello"}],)"
           R"("max_tokens":)" +
               std::to_string(tokens) + (stream ? R"(,"stream":true})" : "}"));
  request.headers.Set("papaya-stream-id", stream_id);
  return request;
}

// Runs a stand-in server on loopback and sends requests to it.
class StandinFixture {
 public:
  explicit StandinFixture(const StandinOptions& options)
      : server_(&context_, options) {
    REQUIRE(server_.Start().ok());
  }

  static StandinOptions OptionsFor(StandinRole role) {
    StandinOptions options;
    options.role = role;
    options.engine.versions.version = VersionId("v1");
    options.engine.time_per_token = std::chrono::milliseconds(1);
    options.engine.versions.load_time = std::chrono::milliseconds(1);
    return options;
  }

  absl::StatusOr<HttpResponse> Fetch(const HttpRequest& request) {
    absl::StatusOr<HttpResponse> response =
        absl::UnknownError("no request was sent");
    RunOn(context_, [&]() -> asio::awaitable<void> {
      response = co_await FetchHttp(server_.address(), request, TestDeadline());
    });
    return response;
  }

  HttpResponse MustFetch(const HttpRequest& request) {
    absl::StatusOr<HttpResponse> response = Fetch(request);
    INFO(response.status());
    REQUIRE(response.ok());
    return *std::move(response);
  }

 private:
  asio::io_context context_;
  StandinServer server_;
};

// Passes all events of an SSE body to `check`.
void Feed(const std::string& body, ResponseChecker& check) {
  SseReader reader(Bytes(64 * 1024));
  std::vector<SseEvent> events;
  REQUIRE(reader.Feed(body, &events).ok());
  for (const SseEvent& event : events) {
    check.OnEvent(event);
  }
}

TEST_CASE("StandinServer: an engine responds in one piece, streams and resumes",
          "[standin]") {
  StandinFixture engine(StandinFixture::OptionsFor(StandinRole::kEngine));
  const HttpResponse whole = engine.MustFetch(Chat("a", 5, false));
  CHECK(whole.status == 200);
  CHECK(whole.headers.Get("papaya-version") == "v1");
  CHECK(ResponseChecker::IsCompleteResponse(whole.body, "hello", Tokens(5)));
  ResponseChecker streamed("hello", Tokens(5));
  Feed(engine.MustFetch(Chat("b", 5, true)).body, streamed);
  CHECK(streamed.is_complete());
  ResponseChecker resumed("hello", Tokens(5));
  resumed.OnEvent({.index = 0,
                   .data = R"({"choices":[{"delta":{"content":")" +
                           ResponseToken("hello", 0) + R"("}}]})"});
  Feed(engine.MustFetch(Get("/v1/streams/b?offset=1")).body, resumed);
  CHECK(resumed.is_complete());
  CHECK(engine.MustFetch(Get("/v1/streams/none?offset=0")).status == 404);
  CHECK(engine.MustFetch(Chat("a", 5, false)).status == 409);
  CHECK(engine.MustFetch(Post("/v1/chat/completions", "{")).status == 400);
}

TEST_CASE("StandinServer: an engine executes orders and cancels streams",
          "[standin]") {
  StandinFixture engine(StandinFixture::OptionsFor(StandinRole::kEngine));
  const auto order = [&](const std::string& id, int fencing,
                         const std::string& action) {
    return engine
        .MustFetch(
            Post("/v1/orders", R"({"order_id":")" + id + R"(","fencing":)" +
                                   std::to_string(fencing) + R"(,"action":")" +
                                   action + R"(","argument":"v2"})"))
        .status;
  };
  CHECK(order("1", 3, "load_version") == 200);
  CHECK(order("2", 2, "activate_version") == 409);
  while (engine.MustFetch(Get("/v1/state")).body.find(R"("loading":[])") ==
         std::string::npos) {
  }
  CHECK(order("3", 3, "activate_version") == 200);
  CHECK(engine.MustFetch(Get("/v1/load")).body.find(R"("version":"v2")") !=
        std::string::npos);
  HttpRequest cancel = Get("/v1/streams/unknown");
  cancel.method = "DELETE";
  CHECK(engine.MustFetch(cancel).status == 200);
}

TEST_CASE("StandinServer: faults can be changed while it runs", "[standin]") {
  StandinFixture engine(StandinFixture::OptionsFor(StandinRole::kEngine));
  const auto set = [&](const std::string& faults) {
    return engine.MustFetch(Post("/faults", faults)).status;
  };
  CHECK(set(R"({"nonsense":1})") == 400);
  REQUIRE(set(R"({"cutting_permille":1000})") == 200);
  CHECK_FALSE(engine.Fetch(Chat("a", 5, false)).ok());
  CHECK_FALSE(engine.Fetch(Chat("b", 5, true)).ok());
  REQUIRE(set(R"({"cutting_permille":0,"failing_permille":1000})") == 200);
  CHECK(engine.MustFetch(Chat("c", 5, false)).status == 500);
  REQUIRE(set(R"({"failing_permille":0,"leaving":true})") == 200);
  const HttpResponse refused = engine.MustFetch(Chat("d", 5, false));
  CHECK(refused.status == 503);
  CHECK(refused.headers.Get("papaya-leaving") == "1");
  CHECK(refused.headers.Get("papaya-not-run") == "1");
  REQUIRE(set(R"({"leaving":false,"outage":true})") == 200);
  CHECK_FALSE(engine.Fetch(Chat("e", 5, false)).ok());
  REQUIRE(set(R"({"outage":false})") == 200);
  CHECK(engine.MustFetch(Chat("f", 5, false)).status == 200);
}

TEST_CASE("StandinServer: the ledger counts runs without a response",
          "[standin]") {
  StandinFixture service(StandinFixture::OptionsFor(StandinRole::kService));
  CHECK(service.MustFetch(Post("/hires", R"({"key":"k"})")).body ==
        R"({"confirmed":"k"})");
  REQUIRE(service.MustFetch(Post("/faults", R"({"cutting_permille":1000})"))
              .status == 200);
  CHECK_FALSE(service.Fetch(Post("/hires", R"({"key":"k"})")).ok());
  CHECK(service.MustFetch(Get("/ledger")).body ==
        R"({"runs":{"k":2},"repeated_runs":1})");
}

TEST_CASE("papaya_standin: prints its address and exits on SIGTERM",
          "[process]") {
  ChildProcess standin({"papaya_standin", "--role=service", "--name=b1"});
  const std::string line = standin.ReadLineWith("\"ready\":true");
  CHECK(ChildProcess::TextIn(line, "name") == "b1");
  const std::string address = ChildProcess::TextIn(line, "address");
  asio::io_context context;
  RunOn(context, [&]() -> asio::awaitable<void> {
    const absl::StatusOr<HttpResponse> response =
        co_await FetchHttp(address, Get("/healthz"), TestDeadline());
    CHECK(response.ok());
  });
  standin.Signal(SIGTERM);
  CHECK(standin.Wait() == 0);
}

TEST_CASE("StandinServer: an engine reports the block hashes of the router",
          "[standin]") {
  StandinFixture engine(StandinFixture::OptionsFor(StandinRole::kEngine));
  const std::string body = R"({"model":"m","max_tokens":1,"messages":[)"
                           R"({"role":"system","content":")" +
                           std::string(700, 'a') +
                           R"("},{"role":"user","content":")" +
                           std::string(700, 'b') + R"("}]})";
  REQUIRE(engine.MustFetch(Post("/v1/chat/completions", body)).status == 200);
  const absl::StatusOr<CacheEventPage> news = ParseCacheEventPage(
      engine.MustFetch(Get("/v1/cache_events?after=0")).body);
  REQUIRE(news.ok());
  const absl::StatusOr<ChatBody> chat = ParseChatBody(body);
  REQUIRE(chat.ok());
  const std::vector<uint64_t> hashes = HashPromptBlocks(chat->prompt);
  CHECK(hashes.size() == 1400 / kPromptBlockBytes);
  CHECK(news->event.stored == hashes);
}

TEST_CASE("Programs: reject invalid flags and commands", "[process]") {
  for (const std::vector<std::string>& words :
       {std::vector<std::string>{"papaya_standin", "--role=nonsense"},
        {"papaya_standin", "--faults={\"x\":1}"},
        {"papayactl", "nonsense"},
        {"papaya_load"}}) {
    CHECK(ChildProcess(words, /*with_errors=*/true).Wait() == 2);
  }
}

}  // namespace
}  // namespace papaya
