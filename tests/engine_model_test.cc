#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include <set>
#include <string>

#include "absl/strings/str_cat.h"
#include "include/standin/engine_model.h"
#include "include/standin/response_text.h"

namespace papaya {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

EngineOptions SmallEngine() {
  EngineOptions options;
  options.versions.version = VersionId("v1");
  options.prefill_tokens_per_second = 1000;
  options.time_per_token = milliseconds(10);
  options.batch_growth = 0.5;
  options.max_batch = 2;
  options.prefill_chunk = Tokens(100);
  options.cache_blocks = 8;
  return options;
}

// Runs the engine from `now` until it is idle and returns the time reached.
TimePoint RunUntilIdle(EngineModel& engine, TimePoint now) {
  while (engine.NextStep()) {
    now = *engine.NextStep();
    engine.Advance(now);
  }
  return now;
}

std::string MakePrompt(size_t tokens, char fill) {
  return std::string(tokens * 4, fill);
}

TEST_CASE("EngineModel: one stream takes its prefill and one step per token",
          "[standin]") {
  EngineModel engine(SmallEngine(), 1);
  const TimePoint start{seconds(1)};
  REQUIRE(engine.Submit({.stream_id = "s",
                         .prompt = MakePrompt(50, 'a'),
                         .max_tokens = Tokens(3)},
                        start));
  CHECK_FALSE(engine.Submit({.stream_id = "s"}, start));
  // The first step takes 50 ms of prefill and 10 ms for the first token. Two
  // more steps decode the other tokens.
  CHECK(RunUntilIdle(engine, start) == start + milliseconds(50 + 3 * 10));
  REQUIRE(engine.Find("s") != nullptr);
  CHECK(engine.Find("s")->state == StreamState::kDone);
  CHECK(engine.Find("s")->produced == Tokens(3));
}

TEST_CASE("EngineModel: steps lengthen with the batch, further streams wait",
          "[standin]") {
  EngineModel engine(SmallEngine(), 1);
  const TimePoint start{seconds(1)};
  for (const char* id : {"a", "b", "c"}) {
    engine.Submit({.stream_id = id, .prompt = "x", .max_tokens = Tokens(1000)},
                  start);
  }
  engine.Advance(start + milliseconds(200));
  CHECK(engine.Find("c")->state == StreamState::kWaiting);
  const EngineLoad load =
      engine.ReportedLoad(start + milliseconds(200), Duration::zero());
  CHECK(load.running == 2);
  CHECK(load.waiting == 1);
  const TimePoint before = *engine.NextStep();
  engine.Advance(before);
  CHECK(*engine.NextStep() - before == Duration(milliseconds(15)));
  engine.Cancel("a", before);
  engine.Cancel("a", before);
  engine.Advance(before + milliseconds(20));
  CHECK(engine.Find("a")->state == StreamState::kCancelled);
  CHECK(engine.Find("c")->state == StreamState::kDecoding);
}

TEST_CASE("EngineModel: a cached prefix is not prefilled again", "[standin]") {
  EngineModel engine(SmallEngine(), 1);
  const std::string prefix = MakePrompt(2 * EngineModel::kTokensPerBlock, 'p');
  const TimePoint start{seconds(1)};
  engine.Submit({.stream_id = "a", .prompt = prefix + "one"}, start);
  const TimePoint idle = RunUntilIdle(engine, start);
  engine.Submit({.stream_id = "b", .prompt = prefix + "two"}, idle);
  RunUntilIdle(engine, idle);
  CHECK(engine.cached_prefill() == Tokens(128));
  CHECK(engine.prefilled() == Tokens(129 + 1));
}

TEST_CASE("EngineModel: the cache keeps its limit and reports evictions later",
          "[standin]") {
  PrefixCache cache(2);
  const TimePoint start{seconds(1)};
  cache.Store({1, 2}, start);
  CHECK(cache.Match({1, 2, 3}) == 2);
  cache.Store({3}, start + seconds(5));
  CHECK(cache.size() == 2);
  CHECK(cache.Match({1}) == 0);
  uint64_t next = 0;
  CHECK(cache.EventsAfter(0, start, next).size() == 1);
  CHECK(next == 1);
  CHECK(cache.EventsAfter(next, start + seconds(5), next).size() == 2);
  CHECK(next == 3);
}

TEST_CASE("EngineModel: load reports are delayed", "[standin]") {
  EngineModel engine(SmallEngine(), 1);
  const TimePoint start{seconds(10)};
  engine.Submit({.stream_id = "a", .prompt = "x", .max_tokens = Tokens(500)},
                start);
  CHECK(engine.ReportedLoad(start + seconds(1), seconds(2)).running == 0);
  CHECK(engine.ReportedLoad(start + seconds(3), seconds(2)).running == 1);
}

TEST_CASE("EngineModel: a version fault applies only under its conditions",
          "[standin]") {
  EngineModel engine(SmallEngine(), 7);
  engine.SetVersionFault({.version = VersionId("v1"),
                          .failing = Permille(1000),
                          .after = seconds(30),
                          .prompt_part = "report"});
  TimePoint now{seconds(1)};
  engine.Submit({.stream_id = "early", .prompt = "report"}, now);
  now = RunUntilIdle(engine, now);
  CHECK(engine.Find("early")->state == StreamState::kDone);
  now += seconds(60);
  engine.Submit({.stream_id = "chat", .prompt = "hello"}, now);
  now = RunUntilIdle(engine, now);
  CHECK(engine.Find("chat")->state == StreamState::kDone);
  engine.Submit({.stream_id = "late", .prompt = "a report"}, now);
  RunUntilIdle(engine, now);
  CHECK(engine.Find("late")->state == StreamState::kFailed);
}

TEST_CASE("EngineModel: orders are idempotent and fenced, and loads take time",
          "[standin]") {
  EngineModel engine(SmallEngine(), 1);
  const TimePoint start{seconds(1)};
  const StandinOrder load{OperationId("o1"), FencingNumber(5), "load_version",
                          "v2"};
  CHECK(engine.Order(load, start) == OrderResult::kDone);
  CHECK(engine.Order(load, start) == OrderResult::kDone);
  const StandinOrder other{OperationId("o2"), FencingNumber(5), "load_version",
                           "v3"};
  CHECK(engine.Order(other, start) == OrderResult::kWeightStoreBusy);
  const StandinOrder activate{OperationId("o3"), FencingNumber(5),
                              "activate_version", "v2"};
  CHECK(engine.Order(activate, start) == OrderResult::kRejected);
  const TimePoint later = start + seconds(1);
  CHECK(engine.Order(activate, later) == OrderResult::kDone);
  CHECK(engine.versions().active() == VersionId("v2"));
  const StandinOrder stale{OperationId("o4"), FencingNumber(4),
                           "activate_version", "v1"};
  CHECK(engine.Order(stale, later) == OrderResult::kStaleFencing);
  engine.versions().set_checks_fencing(false);
  CHECK(engine.Order(stale, later) == OrderResult::kDone);
  CHECK(engine.versions().active() == VersionId("v1"));
  const StandinOrder unload{OperationId("o5"), FencingNumber(5),
                            "unload_version", "v1"};
  CHECK(engine.Order(unload, later) == OrderResult::kRejected);
}

TEST_CASE("EngineModel: every stream that is not cancelled completes",
          "[standin]") {
  rc::prop("random streams, lengths and cancellations", [] {
    EngineModel engine(SmallEngine(), 3);
    const int count = *rc::gen::inRange(1, 12);
    std::set<std::string> cancelled;
    TimePoint now{seconds(1)};
    for (int i = 0; i < count; ++i) {
      const std::string id = absl::StrCat("s", i);
      const Tokens length(*rc::gen::inRange(1, 20));
      const size_t prompt = *rc::gen::inRange<size_t>(1, 400);
      RC_ASSERT(engine.Submit({.stream_id = id,
                               .prompt = MakePrompt(prompt, 'q'),
                               .max_tokens = length},
                              now));
      if (*rc::gen::inRange(0, 4) == 0) {
        engine.Cancel(id, now);
        cancelled.insert(id);
      }
      now += milliseconds(*rc::gen::inRange(0, 100));
    }
    RunUntilIdle(engine, now);
    for (int i = 0; i < count; ++i) {
      const std::string id = absl::StrCat("s", i);
      const EngineStream* stream = engine.Find(id);
      RC_ASSERT(stream != nullptr);
      if (!cancelled.contains(id)) {
        RC_ASSERT(stream->state == StreamState::kDone);
        RC_ASSERT(stream->produced == stream->max_tokens);
      }
    }
  });
}

TEST_CASE("ResponseText: differs by prompt and by index", "[standin]") {
  CHECK(ResponseToken("a", 0) != ResponseToken("b", 0));
  CHECK(ResponseToken("a", 0) != ResponseToken("a", 1));
  CHECK(ResponseText("a", Tokens(2)) ==
        ResponseToken("a", 0) + ResponseToken("a", 1));
}

}  // namespace
}  // namespace papaya
