#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>
#include <set>
#include <string>

#include "absl/strings/str_cat.h"
#include "include/standin/ledger_check.h"
#include "include/standin/load_plan.h"
#include "include/standin/load_runner.h"
#include "include/standin/load_tally.h"
#include "include/standin/response_checker.h"
#include "include/standin/response_text.h"
#include "include/standin/standin_server.h"

namespace papaya {
namespace {

SseEvent TokenEvent(const std::string& prompt, int64_t index) {
  return {.index = index,
          .data = absl::StrCat(R"({"choices":[{"delta":{"content":")",
                               ResponseToken(prompt, index), R"("}}]})")};
}

const SseEvent kStreamEnd = {.data = "[DONE]"};

TEST_CASE("ResponseChecker: accepts a complete stream", "[standin]") {
  ResponseChecker check("p", Tokens(3));
  check.OnEvent(TokenEvent("p", 0));
  CHECK(check.next() == 1);
  check.OnEvent(TokenEvent("p", 1));
  check.OnEvent(TokenEvent("p", 2));
  CHECK_FALSE(check.is_complete());
  check.OnEvent(kStreamEnd);
  CHECK(check.is_complete());
}

TEST_CASE(
    "ResponseChecker: rejects missing, repeated and foreign tokens and events "
    "after the end",
    "[standin]") {
  const std::vector<std::vector<SseEvent>> streams = {
      {kStreamEnd},
      {TokenEvent("p", 0), kStreamEnd},
      {TokenEvent("p", 0), TokenEvent("p", 0)},
      {TokenEvent("p", 1)},
      {TokenEvent("other", 0)},
      {TokenEvent("p", 0), TokenEvent("p", 1), TokenEvent("p", 2)},
      {TokenEvent("p", 0), TokenEvent("p", 1), kStreamEnd, kStreamEnd},
      {{.data = "not json"}},
  };
  for (const std::vector<SseEvent>& events : streams) {
    ResponseChecker check("p", Tokens(2));
    for (const SseEvent& event : events) {
      check.OnEvent(event);
    }
    CHECK(check.is_invalid());
    CHECK_FALSE(check.is_complete());
  }
}

TEST_CASE("ResponseChecker: detects any change of a stream", "[standin]") {
  rc::prop("a token dropped, repeated or swapped", [] {
    const int64_t length = *rc::gen::inRange<int64_t>(2, 20);
    std::vector<SseEvent> events;
    for (int64_t index = 0; index < length; ++index) {
      events.push_back(TokenEvent("p", index));
    }
    events.push_back(kStreamEnd);
    const size_t at = *rc::gen::inRange<size_t>(0, events.size() - 1);
    switch (*rc::gen::inRange(0, 3)) {
      case 0:
        events.erase(events.begin() + static_cast<ptrdiff_t>(at));
        break;
      case 1:
        events.insert(events.begin() + static_cast<ptrdiff_t>(at), events[at]);
        break;
      default:
        std::swap(events[at], events[at + 1]);
    }
    ResponseChecker check("p", Tokens(length));
    for (const SseEvent& event : events) {
      check.OnEvent(event);
    }
    RC_ASSERT(check.is_invalid());
  });
}

TEST_CASE("PlanLoad: is deterministic by seed, with unique prompts and keys",
          "[standin]") {
  LoadOptions options;
  options.routers = {"a", "b"};
  const std::vector<PlannedCall> plan = PlanLoad(options);
  CHECK(plan.size() > 100);
  const std::vector<PlannedCall> again = PlanLoad(options);
  REQUIRE(plan.size() == again.size());
  std::set<std::string> names;
  for (size_t index = 0; index < plan.size(); ++index) {
    CHECK(plan[index].prompt == again[index].prompt);
    CHECK(plan[index].at == again[index].at);
    names.insert(plan[index].prompt + plan[index].key);
  }
  CHECK(names.size() == plan.size());
}

TEST_CASE("LoadTally: counts by tier and outcome", "[standin]") {
  LoadTally tally;
  tally.Add({.kind = LoadKind::kBooking, .end = CallOutcome::kWhole});
  tally.Add({.kind = LoadKind::kBooking, .end = CallOutcome::kNotRun});
  tally.Add({.kind = LoadKind::kChat,
             .at = std::chrono::milliseconds(1500),
             .end = CallOutcome::kWhole,
             .version = "v2",
             .first_token = std::chrono::milliseconds(40)});
  const std::string json = tally.ToJson();
  INFO(json);
  CHECK(json.find(R"("critical":{"whole":1,"not_run":1)") != std::string::npos);
  CHECK(json.find(R"({"second":1,"v2":1})") != std::string::npos);
  CHECK(json.find(R"("p50":4E1)") != std::string::npos);
}

TEST_CASE("CheckLedger: finds runs that are repeated, missing or unexpected",
          "[standin]") {
  const std::map<std::string, CallOutcome> outcomes = {
      {"good", CallOutcome::kWhole},     {"twice", CallOutcome::kUnknown},
      {"never", CallOutcome::kWhole},    {"lie", CallOutcome::kNotRun},
      {"refused", CallOutcome::kNotRun}, {"unsure", CallOutcome::kUnknown}};
  std::map<std::string, uint64_t> runs;
  REQUIRE(AddLedger(R"({"runs":{"good":1,"twice":1,"lie":1}})", runs).ok());
  REQUIRE(AddLedger(R"({"runs":{"twice":1}})", runs).ok());
  CHECK(absl::IsInvalidArgument(AddLedger(R"({"runs":[]})", runs)));
  const LedgerCheck expected = {
      .once = 1, .repeated = 1, .confirmed_without_run = 1, .wrong_not_run = 1};
  CHECK(CheckLedger(outcomes, runs) == expected);
}

// Runs `options` against a stand-in engine with `faults` and returns the
// results.
LoadTally RunAgainstEngine(LoadOptions options, const std::string& faults) {
  boost::asio::io_context context;
  StandinOptions engine;
  REQUIRE(ApplyFaultsJson(faults, engine.faults).ok());
  engine.engine.time_per_token = std::chrono::microseconds(200);
  StandinServer server(&context, engine);
  REQUIRE(server.Start().ok());
  options.routers = {server.address()};
  options.rates = {50, 2, 0};
  options.duration = std::chrono::milliseconds(500);
  options.report_tokens = Tokens(50);
  LoadRunner runner(&context, options, [&context] { context.stop(); });
  runner.Start();
  context.run();
  return runner.tally();
}

TEST_CASE("LoadRunner: without faults, all responses are complete",
          "[standin]") {
  const LoadTally tally = RunAgainstEngine(LoadOptions(), "{}");
  INFO(tally.ToJson());
  CHECK(tally.Count(LoadKind::kChat, CallOutcome::kWhole) > 10);
  for (const CallOutcome end :
       {CallOutcome::kNotRun, CallOutcome::kUnknown, CallOutcome::kFailed,
        CallOutcome::kWrong, CallOutcome::kCut}) {
    CHECK(tally.Count(LoadKind::kChat, end) == 0);
  }
}

TEST_CASE("LoadRunner: counts cut and failed responses", "[standin]") {
  LoadOptions options;
  options.streamed = Permille(1000);
  const LoadTally cut =
      RunAgainstEngine(options, R"({"cutting_permille":1000})");
  INFO(cut.ToJson());
  CHECK(cut.Count(LoadKind::kChat, CallOutcome::kWhole) == 0);
  CHECK(cut.Count(LoadKind::kChat, CallOutcome::kCut) > 10);
  const LoadTally failed =
      RunAgainstEngine(options, R"({"failing_permille":1000})");
  CHECK(failed.Count(LoadKind::kChat, CallOutcome::kFailed) > 10);
}

}  // namespace
}  // namespace papaya
