#include "src/rollout/engine_keeper.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "tests/fakes/fake_object_store.h"

namespace papaya {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(100);

UpstreamSpec EngineAt(size_t i, bool checks_fencing = true) {
  UpstreamSpec upstream;
  upstream.id = UpstreamId(absl::StrCat("e-", i));
  upstream.pool = PoolId("p");
  upstream.kind = UpstreamKind::kModelEngine;
  upstream.checks_fencing = checks_fencing;
  return upstream;
}

EngineGoal Active(const char* version) {
  EngineGoal goal;
  goal.active = VersionId(version);
  return goal;
}

// A keeper under a lease that is held; its calls are kept until they are
// answered by hand.
struct Keeping {
  struct Sent {
    EngineOrder order;
    NoteRunnerHooks::OrderDone done;
  };
  struct Asked {
    UpstreamId upstream;
    NoteRunnerHooks::StateDone done;
  };

  Keeping()
      : backend(1),
        store(&backend),
        random(2),
        lease(&store, "fleet", "me", NoteLeaseOptions(), &random) {
    backend.now = TimePoint(std::chrono::hours(1));
    options.concurrent_loads = 2;
    NoteRunnerHooks hooks;
    hooks.order = [this](const EngineOrder& order,
                         NoteRunnerHooks::OrderDone done) {
      sent.push_back({order, std::move(done)});
    };
    hooks.read_state = [this](const UpstreamSpec& upstream,
                              NoteRunnerHooks::StateDone done) {
      asked.push_back({upstream.id, std::move(done)});
    };
    keeper = std::make_unique<EngineKeeper>(options, hooks, &lease, &random);
    RunFor(std::chrono::seconds(5));
    keeper->BeginTerm(backend.now, FencingNumber(7));
  }

  void RunFor(Duration length) {
    const TimePoint end = backend.now + length;
    while (backend.now < end) {
      lease.OnTick(backend.now, true);
      backend.RunUntil(backend.now + kTick);
      keeper->OnTick(backend.now);
    }
  }

  GoalProgress Pursue(const UpstreamSpec& upstream, const EngineGoal& goal) {
    return keeper->Pursue(upstream, goal, TimePoint());
  }

  void Answer(const absl::StatusOr<EngineState>& state) {
    REQUIRE_FALSE(asked.empty());
    const Asked first = std::move(asked.front());
    asked.erase(asked.begin());
    first.done(state);
  }

  void AnswerOrder(const absl::Status& status) {
    REQUIRE_FALSE(sent.empty());
    const Sent first = std::move(sent.front());
    sent.erase(sent.begin());
    first.done(status);
  }

  NoteRunnerOptions options;
  FakeObjectStoreBackend backend;
  FakeObjectStore store;
  Random random;
  NoteLease lease;
  std::unique_ptr<EngineKeeper> keeper;
  std::vector<Sent> sent;
  std::vector<Asked> asked;
};

EngineState Serving(const char* version) {
  EngineState state;
  state.active = VersionId(version);
  state.loaded = {VersionId(version)};
  return state;
}

TEST_CASE("EngineKeeper: reads, loads, activates, and believes the engine only",
          "[rollout]") {
  Keeping keeping;
  const UpstreamSpec engine = EngineAt(0);
  CHECK(keeping.Pursue(engine, Active("v2")) == GoalProgress::kWorking);
  keeping.Pursue(engine, Active("v2"));
  REQUIRE(keeping.asked.size() == 1);  // one call in flight
  keeping.Answer(Serving("v1"));
  keeping.Pursue(engine, Active("v2"));
  REQUIRE(keeping.sent.size() == 1);
  CHECK(keeping.sent[0].order.action == OrderAction::kLoadVersion);
  CHECK(keeping.sent[0].order.fencing == FencingNumber(7));
  CHECK(keeping.sent[0].order.send_before <
        keeping.sent[0].order.answer_before);
  keeping.AnswerOrder(absl::OkStatus());
  keeping.RunFor(std::chrono::seconds(3));
  // The order's answer is not enough: the engine is read again.
  CHECK(keeping.Pursue(engine, Active("v2")) == GoalProgress::kWorking);
  EngineState loaded = Serving("v1");
  loaded.loaded.push_back(VersionId("v2"));
  keeping.Answer(loaded);
  keeping.Pursue(engine, Active("v2"));
  REQUIRE(keeping.sent.size() == 1);
  CHECK(keeping.sent[0].order.action == OrderAction::kActivateVersion);
  keeping.AnswerOrder(absl::OkStatus());
  keeping.RunFor(std::chrono::seconds(3));
  keeping.Pursue(engine, Active("v2"));
  loaded.active = VersionId("v2");
  keeping.Answer(loaded);
  CHECK(keeping.Pursue(engine, Active("v2")) == GoalProgress::kReached);
  // What was read before is not enough where a newer look is asked for.
  CHECK(keeping.keeper->Pursue(engine, Active("v2"),
                               keeping.backend.now + kTick) ==
        GoalProgress::kWorking);
}

TEST_CASE("EngineKeeper: no order outlives the lease", "[rollout]") {
  Keeping keeping;
  const UpstreamSpec engine = EngineAt(0);
  keeping.Pursue(engine, Active("v2"));
  keeping.Answer(Serving("v1"));
  keeping.backend.faults.is_out = true;
  keeping.RunFor(NoteLeaseOptions().length - keeping.options.order_timeout);
  REQUIRE(keeping.lease.HeldEpoch(keeping.backend.now));
  keeping.Pursue(engine, Active("v2"));
  CHECK(keeping.sent.empty());
}

TEST_CASE("EngineKeeper: waits for the last holder's orders where none checks",
          "[rollout]") {
  Keeping keeping;
  keeping.Pursue(EngineAt(0, true), Active("v2"));
  keeping.Pursue(EngineAt(1, false), Active("v2"));
  REQUIRE(keeping.asked.size() == 1);
  CHECK(keeping.asked[0].upstream == UpstreamId("e-0"));
  keeping.RunFor(keeping.options.order_timeout - kTick);
  keeping.Pursue(EngineAt(1, false), Active("v2"));
  CHECK(keeping.asked.size() == 1);
  keeping.RunFor(kTick);
  keeping.Pursue(EngineAt(1, false), Active("v2"));
  CHECK(keeping.asked.size() == 2);
}

TEST_CASE("EngineKeeper: no more loads at a time than the weight store serves",
          "[rollout]") {
  Keeping keeping;
  for (size_t i = 0; i < 5; ++i) {
    keeping.Pursue(EngineAt(i), Active("v2"));
    keeping.Answer(Serving("v1"));
    keeping.Pursue(EngineAt(i), Active("v2"));
  }
  CHECK(keeping.sent.size() == 2);
  // One is done; the next may load.
  keeping.AnswerOrder(absl::OkStatus());
  keeping.RunFor(std::chrono::seconds(3));
  keeping.Pursue(EngineAt(0), Active("v2"));
  keeping.Answer(Serving("v2"));
  CHECK(keeping.Pursue(EngineAt(0), Active("v2")) == GoalProgress::kReached);
  keeping.Pursue(EngineAt(4), Active("v2"));
  REQUIRE(keeping.sent.size() == 2);
  CHECK(keeping.sent[1].order.upstream == UpstreamId("e-4"));
}

TEST_CASE(
    "EngineKeeper: an engine that takes no orders is told, a busy one not",
    "[rollout]") {
  Keeping keeping;
  GoalProgress refused = GoalProgress::kWorking;
  GoalProgress busy = GoalProgress::kWorking;
  const TimePoint end = keeping.backend.now +
                        keeping.options.unreachable_after +
                        std::chrono::seconds(10);
  while (keeping.backend.now < end) {
    refused = keeping.Pursue(EngineAt(0), Active("v2"));
    busy = keeping.Pursue(EngineAt(1), Active("v2"));
    while (!keeping.asked.empty()) {
      keeping.Answer(Serving("v1"));
    }
    while (!keeping.sent.empty()) {
      const bool is_busy =
          keeping.sent.front().order.upstream == UpstreamId("e-1");
      keeping.AnswerOrder(is_busy ? absl::ResourceExhaustedError("busy")
                                  : absl::UnavailableError("gone"));
    }
    keeping.RunFor(kTick);
  }
  CHECK(refused == GoalProgress::kUnreachable);
  CHECK(busy == GoalProgress::kWorking);
}

TEST_CASE("EngineKeeper: a new term believes nothing that was read before",
          "[rollout]") {
  Keeping keeping;
  keeping.Pursue(EngineAt(0), Active("v1"));
  keeping.Answer(Serving("v1"));
  CHECK(keeping.Pursue(EngineAt(0), Active("v1")) == GoalProgress::kReached);
  keeping.keeper->BeginTerm(keeping.backend.now, FencingNumber(8));
  CHECK(keeping.keeper->LastState(UpstreamId("e-0")) == nullptr);
  CHECK(keeping.Pursue(EngineAt(0), Active("v1")) == GoalProgress::kWorking);
}

}  // namespace
}  // namespace papaya
