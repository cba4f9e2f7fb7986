#include "src/rollout/engine_reconciler.h"

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

UpstreamSpec MakeEngine(size_t i, bool checks_fencing = true) {
  UpstreamSpec upstream;
  upstream.id = UpstreamId(absl::StrCat("e-", i));
  upstream.pool = PoolId("p");
  upstream.kind = UpstreamKind::kModelEngine;
  upstream.checks_fencing = checks_fencing;
  return upstream;
}

EngineGoal ActiveGoal(const char* version) {
  EngineGoal goal;
  goal.active = VersionId(version);
  return goal;
}

// A reconciler whose process holds the note lease. Its calls stay pending until
// a test answers them.
struct ReconcilerFixture {
  struct PendingOrder {
    EngineOrder order;
    NoteRunnerHooks::OrderDone done;
  };
  struct PendingRead {
    UpstreamId upstream;
    NoteRunnerHooks::StateDone done;
  };

  ReconcilerFixture()
      : backend(1),
        store(&backend),
        random(2),
        lease(&store, "fleet", "me", NoteLeaseOptions(), &random) {
    backend.now = TimePoint(std::chrono::hours(1));
    options.concurrent_loads = 2;
    NoteRunnerHooks hooks;
    hooks.order = [this](const EngineOrder& order,
                         NoteRunnerHooks::OrderDone done) {
      orders.push_back({order, std::move(done)});
    };
    hooks.read_state = [this](const UpstreamSpec& upstream,
                              NoteRunnerHooks::StateDone done) {
      reads.push_back({upstream.id, std::move(done)});
    };
    reconciler =
        std::make_unique<EngineReconciler>(options, hooks, &lease, &random);
    RunFor(std::chrono::seconds(5));
    reconciler->BeginTerm(backend.now, FencingNumber(7));
  }

  void RunFor(Duration length) {
    const TimePoint end = backend.now + length;
    while (backend.now < end) {
      lease.OnTick(backend.now, true);
      backend.RunUntil(backend.now + kTick);
      reconciler->OnTick(backend.now);
    }
  }

  GoalProgress Reconcile(const UpstreamSpec& upstream, const EngineGoal& goal) {
    return reconciler->Reconcile(upstream, goal, TimePoint());
  }

  void Answer(const absl::StatusOr<EngineState>& state) {
    REQUIRE_FALSE(reads.empty());
    const PendingRead first = std::move(reads.front());
    reads.erase(reads.begin());
    first.done(state);
  }

  void AnswerOrder(const absl::Status& status) {
    REQUIRE_FALSE(orders.empty());
    const PendingOrder first = std::move(orders.front());
    orders.erase(orders.begin());
    first.done(status);
  }

  NoteRunnerOptions options;
  FakeObjectStoreBackend backend;
  FakeObjectStore store;
  Random random;
  NoteLease lease;
  std::unique_ptr<EngineReconciler> reconciler;
  std::vector<PendingOrder> orders;
  std::vector<PendingRead> reads;
};

EngineState Serving(const char* version) {
  EngineState state;
  state.active = VersionId(version);
  state.loaded = {VersionId(version)};
  return state;
}

TEST_CASE("EngineReconciler: a goal is reached only when the engine reports it",
          "[rollout]") {
  ReconcilerFixture fixture;
  const UpstreamSpec engine = MakeEngine(0);
  CHECK(fixture.Reconcile(engine, ActiveGoal("v2")) ==
        GoalProgress::kInProgress);
  fixture.Reconcile(engine, ActiveGoal("v2"));
  REQUIRE(fixture.reads.size() == 1);  // at most one call in flight
  fixture.Answer(Serving("v1"));
  fixture.Reconcile(engine, ActiveGoal("v2"));
  REQUIRE(fixture.orders.size() == 1);
  CHECK(fixture.orders[0].order.action == OrderAction::kLoadVersion);
  CHECK(fixture.orders[0].order.fencing == FencingNumber(7));
  CHECK(fixture.orders[0].order.send_before <
        fixture.orders[0].order.answer_before);
  fixture.AnswerOrder(absl::OkStatus());
  fixture.RunFor(std::chrono::seconds(3));
  // The answer to the order does not count; the engine must be read again.
  CHECK(fixture.Reconcile(engine, ActiveGoal("v2")) ==
        GoalProgress::kInProgress);
  EngineState loaded = Serving("v1");
  loaded.loaded.push_back(VersionId("v2"));
  fixture.Answer(loaded);
  fixture.Reconcile(engine, ActiveGoal("v2"));
  REQUIRE(fixture.orders.size() == 1);
  CHECK(fixture.orders[0].order.action == OrderAction::kActivateVersion);
  fixture.AnswerOrder(absl::OkStatus());
  fixture.RunFor(std::chrono::seconds(3));
  fixture.Reconcile(engine, ActiveGoal("v2"));
  loaded.active = VersionId("v2");
  fixture.Answer(loaded);
  CHECK(fixture.Reconcile(engine, ActiveGoal("v2")) == GoalProgress::kReached);
  // A read that began before `read_after` does not count.
  CHECK(fixture.reconciler->Reconcile(engine, ActiveGoal("v2"),
                                      fixture.backend.now + kTick) ==
        GoalProgress::kInProgress);
}

TEST_CASE("EngineReconciler: no order outlives the lease", "[rollout]") {
  ReconcilerFixture fixture;
  const UpstreamSpec engine = MakeEngine(0);
  fixture.Reconcile(engine, ActiveGoal("v2"));
  fixture.Answer(Serving("v1"));
  fixture.backend.faults.is_out = true;
  fixture.RunFor(NoteLeaseOptions().length - fixture.options.order_timeout);
  REQUIRE(fixture.lease.HeldEpoch(fixture.backend.now));
  fixture.Reconcile(engine, ActiveGoal("v2"));
  CHECK(fixture.orders.empty());
}

TEST_CASE(
    "EngineReconciler: without fencing, waits for orders of the last holder",
    "[rollout]") {
  ReconcilerFixture fixture;
  fixture.Reconcile(MakeEngine(0, true), ActiveGoal("v2"));
  fixture.Reconcile(MakeEngine(1, false), ActiveGoal("v2"));
  REQUIRE(fixture.reads.size() == 1);
  CHECK(fixture.reads[0].upstream == UpstreamId("e-0"));
  fixture.RunFor(fixture.options.order_timeout - kTick);
  fixture.Reconcile(MakeEngine(1, false), ActiveGoal("v2"));
  CHECK(fixture.reads.size() == 1);
  fixture.RunFor(kTick);
  fixture.Reconcile(MakeEngine(1, false), ActiveGoal("v2"));
  CHECK(fixture.reads.size() == 2);
}

TEST_CASE("EngineReconciler: concurrent loads are limited", "[rollout]") {
  ReconcilerFixture fixture;
  for (size_t i = 0; i < 5; ++i) {
    fixture.Reconcile(MakeEngine(i), ActiveGoal("v2"));
    fixture.Answer(Serving("v1"));
    fixture.Reconcile(MakeEngine(i), ActiveGoal("v2"));
  }
  CHECK(fixture.orders.size() == 2);
  // After one load has finished, another engine may load.
  fixture.AnswerOrder(absl::OkStatus());
  fixture.RunFor(std::chrono::seconds(3));
  fixture.Reconcile(MakeEngine(0), ActiveGoal("v2"));
  fixture.Answer(Serving("v2"));
  CHECK(fixture.Reconcile(MakeEngine(0), ActiveGoal("v2")) ==
        GoalProgress::kReached);
  fixture.Reconcile(MakeEngine(4), ActiveGoal("v2"));
  REQUIRE(fixture.orders.size() == 2);
  CHECK(fixture.orders[1].order.upstream == UpstreamId("e-4"));
}

TEST_CASE(
    "EngineReconciler: an engine that fails orders is unreachable, not a busy "
    "one",
    "[rollout]") {
  ReconcilerFixture fixture;
  GoalProgress refused = GoalProgress::kInProgress;
  GoalProgress busy = GoalProgress::kInProgress;
  const TimePoint end = fixture.backend.now +
                        fixture.options.unreachable_after +
                        std::chrono::seconds(10);
  while (fixture.backend.now < end) {
    refused = fixture.Reconcile(MakeEngine(0), ActiveGoal("v2"));
    busy = fixture.Reconcile(MakeEngine(1), ActiveGoal("v2"));
    while (!fixture.reads.empty()) {
      fixture.Answer(Serving("v1"));
    }
    while (!fixture.orders.empty()) {
      const bool is_busy =
          fixture.orders.front().order.upstream == UpstreamId("e-1");
      fixture.AnswerOrder(is_busy ? absl::ResourceExhaustedError("busy")
                                  : absl::UnavailableError("unavailable"));
    }
    fixture.RunFor(kTick);
  }
  CHECK(refused == GoalProgress::kUnreachable);
  CHECK(busy == GoalProgress::kInProgress);
}

TEST_CASE("EngineReconciler: a new term discards states that were read before",
          "[rollout]") {
  ReconcilerFixture fixture;
  fixture.Reconcile(MakeEngine(0), ActiveGoal("v1"));
  fixture.Answer(Serving("v1"));
  CHECK(fixture.Reconcile(MakeEngine(0), ActiveGoal("v1")) ==
        GoalProgress::kReached);
  fixture.reconciler->BeginTerm(fixture.backend.now, FencingNumber(8));
  CHECK(fixture.reconciler->LastState(UpstreamId("e-0")) == nullptr);
  CHECK(fixture.Reconcile(MakeEngine(0), ActiveGoal("v1")) ==
        GoalProgress::kInProgress);
}

}  // namespace
}  // namespace papaya
