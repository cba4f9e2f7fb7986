// Runs release notes under random schedules of faults: routers die and pause,
// the store is unavailable, slow or loses answers, orders arrive late or never,
// operators send competing requests, and engines ignore fencing numbers. Often
// two faults are active at once.

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "tests/fakes/rollout_notes.h"

namespace papaya {
namespace {

constexpr Duration kWindow = std::chrono::minutes(20);
constexpr Duration kFaultTime = std::chrono::minutes(15);
// Every note must end within this time after the last fault.
constexpr Duration kRecovery = std::chrono::minutes(15);
// Engines are audited again within this time.
constexpr Duration kSettleTime = std::chrono::minutes(3);
constexpr Duration kFaultInterval = std::chrono::seconds(15);
// Limit from the first stop fact until no reachable router sends requests to
// the stopped version.
constexpr Duration kMaxStopDelay = std::chrono::seconds(2);

// One run of a note in one fleet under random faults.
class FaultRun {
 public:
  FaultRun(uint64_t seed, bool is_bad)
      : fault_random_(seed + 1),
        is_bad_(is_bad),
        fleet_(seed, Options(), NoteChart()) {
    fleet_.serve = [this](const UpstreamSpec&, const VersionId& version,
                          const RouteId&) { return Serve(version); };
    fleet_.on_stop = [this](const StopFact& fact) {
      if (fact.upstream.empty()) {
        stopped_at_ = stopped_at_.value_or(fleet_.now());
      }
    };
    RunNote(&fleet_, FirstNote(&fleet_, 5), std::chrono::minutes(5));
    const SampleNote note = VersionNote(fleet_, "move", "v2", kWindow);
    fleet_.note_store.Submit(MakeRequest(note, "anna", ObjectVersion(0)),
                             fleet_.wall(), [](const NoteResult&) {});
    fleet_.RunFor(std::chrono::seconds(2));
    fleet_.rate = 10.0;
  }

  void Run() {
    const TimePoint faults_end = fleet_.now() + kFaultTime;
    TimePoint next_fault = fleet_.now();
    while (fleet_.now() < faults_end) {
      if (fleet_.now() >= next_fault) {
        InjectFault();
        next_fault += kFaultInterval;
      }
      Step();
    }
    ClearFaults();
    const TimePoint end = fleet_.now() + kRecovery;
    while (fleet_.now() < end) {
      Step();
    }
    const TimePoint settled = fleet_.now() + kSettleTime;
    while (fleet_.now() < settled) {
      Step();
    }
  }

  void CheckEnd() {
    const std::optional<NoteRecord> record = fleet_.ReadNote(NoteId("move"));
    RC_ASSERT(record.has_value());
    RC_ASSERT(IsFinalNoteState(record->state));
    RC_ASSERT(!record->reason.empty());
    RC_ASSERT(times_ended_ == 1);
    RC_ASSERT(!fleet_.reverted);
    RC_ASSERT(!has_regressed_);
    RC_ASSERT(late_requests_ == 0);
    const VersionId final_version =
        record->state == kNoteDone ? expected_version_ : VersionId("v1");
    RC_ASSERT(!is_bad_ || record->state == kNoteRolledBack);
    RC_ASSERT(!fleet_.newest.upstreams.empty());
    RC_ASSERT(fleet_.newest.shares.empty());
    for (const UpstreamSpec& upstream : fleet_.newest.upstreams) {
      RC_ASSERT(upstream.version == final_version);
      RC_ASSERT(fleet_.engines[upstream.id].state.active == final_version);
    }
  }

 private:
  static FakeRolloutOptions Options() {
    FakeRolloutOptions options = QuickOptions();
    options.routers = 3;
    return options;
  }

  FakeReply Serve(const VersionId& version) {
    const bool is_new = version != VersionId("v1");
    // The limit applies to every router, also during faults. A router that was
    // paused or restarted has the same time from then on to receive the stop
    // fact.
    const bool is_late =
        is_new && stopped_at_ &&
        fleet_.now() >
            std::max(*stopped_at_, fleet_.sender->awake_since) + kMaxStopDelay;
    late_requests_ += is_bad_ && is_late ? 1 : 0;
    return {fleet_.random.Chance(is_bad_ && is_new ? 0.4 : 0.01),
            std::chrono::milliseconds(200)};
  }

  void Step() {
    const Revision before = HighestRevision();
    fleet_.Tick();
    has_regressed_ = has_regressed_ || HighestRevision() < before;
    const std::optional<NoteRecord> record = fleet_.ReadNote(NoteId("move"));
    const bool is_final = record && IsFinalNoteState(record->state);
    times_ended_ += is_final && !was_final_ ? 1 : 0;
    has_regressed_ = has_regressed_ || (was_final_ && !is_final);
    was_final_ = is_final;
  }

  Revision HighestRevision() const { return fleet_.newest.revision; }

  FakeRouter* ChooseRouter() {
    // Faults hit the lease holder most often.
    FakeRouter* const holder = fleet_.Holder();
    return holder != nullptr && fault_random_.Chance(0.7)
               ? holder
               : fleet_.routers[fault_random_.Below(fleet_.routers.size())]
                     .get();
  }

  void InjectFault() {
    switch (fault_random_.Below(9)) {
      case 0:
        fleet_.Kill(ChooseRouter());
        break;
      case 1:
        ChooseRouter()->is_paused = true;
        break;
      case 2:
        fleet_.backend.faults.is_out = !fleet_.backend.faults.is_out;
        break;
      case 3:
        fleet_.backend.faults.lost_answer = 0.5 * fault_random_.Uniform();
        fleet_.backend.faults.lost_call = 0.3 * fault_random_.Uniform();
        break;
      case 4:
        fleet_.backend.faults.max_delay =
            SecondsToDuration(fault_random_.Uniform());
        fleet_.backend.faults.slow = 0.1;
        break;
      case 5:
        fleet_.lost_orders = 0.5 * fault_random_.Uniform();
        break;
      case 6:
        RestoreRouters();
        break;
      case 7:
        fleet_.backend.faults = {};
        break;
      case 8:
        SendCompetingRequest();
        break;
    }
  }

  // Another operator revises or withdraws the note.
  void SendCompetingRequest() {
    if (is_bad_ || !fault_random_.Chance(0.3)) {
      return;
    }
    fleet_.note_store.Get(NoteId("move"), [this](const NoteResult& result) {
      SampleNote note = VersionNote(fleet_, "move", "v3", kWindow);
      const NoteRequest request =
          MakeRequest(note, "omar", result.note.version);
      if (fault_random_.Chance(0.5)) {
        fleet_.note_store.Withdraw(request, fleet_.wall(),
                                   [](const NoteResult&) {});
        return;
      }
      expected_version_ = VersionId("v3");
      fleet_.note_store.Revise(
          request, fleet_.wall(), [this](const NoteResult&) {
            const std::optional<NoteRecord> now =
                fleet_.ReadNote(NoteId("move"));
            const bool is_third =
                now && now->text.find("v3") != std::string::npos;
            expected_version_ = VersionId(is_third ? "v3" : "v2");
          });
    });
  }

  void RestoreRouters() {
    for (const std::unique_ptr<FakeRouter>& router : fleet_.routers) {
      if (router->runner == nullptr) {
        fleet_.Start(router.get());
      } else if (router->is_paused) {
        fleet_.Wake(router.get());
      }
    }
  }

  void ClearFaults() {
    RestoreRouters();
    fleet_.backend.faults = {};
    fleet_.lost_orders = 0.0;
  }

  Random fault_random_;
  const bool is_bad_;
  FakeRolloutFleet fleet_;
  VersionId expected_version_{"v2"};
  std::optional<TimePoint> stopped_at_;
  bool was_final_ = false;
  bool has_regressed_ = false;
  int times_ended_ = 0;
  int late_requests_ = 0;
};

TEST_CASE("Rollout: a good note ends once and as reported under any faults",
          "[rollout]") {
  rc::prop("ends once, in the reported state", [](uint64_t seed) {
    FaultRun run(seed, false);
    run.Run();
    run.CheckEnd();
  });
}

TEST_CASE("Rollout: a bad version is rolled back under any faults",
          "[rollout]") {
  rc::prop("rolled back, stopped on all routers", [](uint64_t seed) {
    FaultRun run(seed, true);
    run.Run();
    run.CheckEnd();
  });
}

}  // namespace
}  // namespace papaya
