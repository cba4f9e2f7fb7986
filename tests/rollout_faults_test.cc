// Release notes over random schedules of faults: routers die and pause, the
// store is out, slow or loses answers, orders come late or never, operators
// race, engines ignore fencing numbers; two at once are common.

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
// After the last fault every note must end within this.
constexpr Duration kRecovery = std::chrono::minutes(15);
// Engines are looked at again within this.
constexpr Duration kSettle = std::chrono::minutes(3);
constexpr Duration kFaultEvery = std::chrono::seconds(15);
// From the first finding to no request on any reachable router.
constexpr Duration kStopTime = std::chrono::seconds(2);

// One fleet, one note, and whatever goes wrong.
class FaultRun {
 public:
  FaultRun(uint64_t seed, bool is_bad)
      : chaos_(seed + 1),
        is_bad_(is_bad),
        fleet_(seed, Options(), NoteChart()) {
    fleet_.serve = [this](const UpstreamSpec&, const VersionId& version,
                          const RouteId&) { return Serve(version); };
    fleet_.on_stop = [this](const StopFact& fact) {
      if (fact.upstream.empty()) {
        stopped_at_ = stopped_at_.value_or(fleet_.now());
      }
    };
    CarryOut(&fleet_, FirstNote(&fleet_, 5), std::chrono::minutes(5));
    const SampleNote note = VersionNote(fleet_, "move", "v2", kWindow);
    fleet_.book.Submit(MakeRequest(note, "anna", ObjectVersion(0)),
                       fleet_.wall(), [](const NoteResult&) {});
    fleet_.RunFor(std::chrono::seconds(2));
    fleet_.rate = 10.0;
  }

  void Run() {
    const TimePoint calm = fleet_.now() + kFaultTime;
    TimePoint next_fault = fleet_.now();
    while (fleet_.now() < calm) {
      if (fleet_.now() >= next_fault) {
        Break();
        next_fault += kFaultEvery;
      }
      Step();
    }
    Mend();
    const TimePoint end = fleet_.now() + kRecovery;
    while (fleet_.now() < end) {
      Step();
    }
    const TimePoint settled = fleet_.now() + kSettle;
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
    RC_ASSERT(!has_gone_back_);
    RC_ASSERT(late_requests_ == 0);
    const VersionId told =
        record->state == kNoteDone ? wanted_ : VersionId("v1");
    RC_ASSERT(!is_bad_ || record->state == kNoteTakenBack);
    RC_ASSERT(!fleet_.newest.upstreams.empty());
    RC_ASSERT(fleet_.newest.shares.empty());
    for (const UpstreamSpec& upstream : fleet_.newest.upstreams) {
      RC_ASSERT(upstream.version == told);
      RC_ASSERT(fleet_.engines[upstream.id].state.active == told);
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
    // On every router, during the faults too. One that was paused or started
    // anew has as long to hear of it.
    const bool is_late =
        is_new && stopped_at_ &&
        fleet_.now() >
            std::max(*stopped_at_, fleet_.sender->awake_since) + kStopTime;
    late_requests_ += is_bad_ && is_late ? 1 : 0;
    return {fleet_.random.Chance(is_bad_ && is_new ? 0.4 : 0.01),
            std::chrono::milliseconds(200)};
  }

  void Step() {
    const Revision before = Highest();
    fleet_.Tick();
    has_gone_back_ = has_gone_back_ || Highest() < before;
    const std::optional<NoteRecord> record = fleet_.ReadNote(NoteId("move"));
    const bool is_final = record && IsFinalNoteState(record->state);
    times_ended_ += is_final && !was_final_ ? 1 : 0;
    has_gone_back_ = has_gone_back_ || (was_final_ && !is_final);
    was_final_ = is_final;
  }

  Revision Highest() const { return fleet_.newest.revision; }

  FakeRouter* AnyRouter() {
    // The holder is hit most often.
    FakeRouter* const holder = fleet_.Holder();
    return holder != nullptr && chaos_.Chance(0.7)
               ? holder
               : fleet_.routers[chaos_.Below(fleet_.routers.size())].get();
  }

  void Break() {
    switch (chaos_.Below(9)) {
      case 0:
        fleet_.Kill(AnyRouter());
        break;
      case 1:
        AnyRouter()->is_paused = true;
        break;
      case 2:
        fleet_.backend.faults.is_out = !fleet_.backend.faults.is_out;
        break;
      case 3:
        fleet_.backend.faults.lost_answer = 0.5 * chaos_.Uniform();
        fleet_.backend.faults.lost_call = 0.3 * chaos_.Uniform();
        break;
      case 4:
        fleet_.backend.faults.max_delay = SecondsToDuration(chaos_.Uniform());
        fleet_.backend.faults.slow = 0.1;
        break;
      case 5:
        fleet_.lost_orders = 0.5 * chaos_.Uniform();
        break;
      case 6:
        MendRouters();
        break;
      case 7:
        fleet_.backend.faults = {};
        break;
      case 8:
        Interfere();
        break;
    }
  }

  // Another operator revises the note, or withdraws it.
  void Interfere() {
    if (is_bad_ || !chaos_.Chance(0.3)) {
      return;
    }
    fleet_.book.Get(NoteId("move"), [this](const NoteResult& result) {
      SampleNote note = VersionNote(fleet_, "move", "v3", kWindow);
      const NoteRequest request =
          MakeRequest(note, "omar", result.note.version);
      if (chaos_.Chance(0.5)) {
        fleet_.book.Withdraw(request, fleet_.wall(), [](const NoteResult&) {});
        return;
      }
      wanted_ = VersionId("v3");
      fleet_.book.Revise(request, fleet_.wall(), [this](const NoteResult&) {
        const std::optional<NoteRecord> now = fleet_.ReadNote(NoteId("move"));
        const bool is_third = now && now->text.find("v3") != std::string::npos;
        wanted_ = VersionId(is_third ? "v3" : "v2");
      });
    });
  }

  void MendRouters() {
    for (const std::unique_ptr<FakeRouter>& router : fleet_.routers) {
      if (router->runner == nullptr) {
        fleet_.Start(router.get());
      } else if (router->is_paused) {
        fleet_.Wake(router.get());
      }
    }
  }

  void Mend() {
    MendRouters();
    fleet_.backend.faults = {};
    fleet_.lost_orders = 0.0;
  }

  Random chaos_;
  const bool is_bad_;
  FakeRollout fleet_;
  VersionId wanted_{"v2"};
  std::optional<TimePoint> stopped_at_;
  bool was_final_ = false;
  bool has_gone_back_ = false;
  int times_ended_ = 0;
  int late_requests_ = 0;
};

TEST_CASE("Rollout: a good note ends once and true under any faults",
          "[rollout]") {
  rc::prop("ends once, told as it is", [](uint64_t seed) {
    FaultRun run(seed, false);
    run.Run();
    run.CheckEnd();
  });
}

TEST_CASE("Rollout: a bad version is taken back under any faults",
          "[rollout]") {
  rc::prop("taken back, stopped everywhere", [](uint64_t seed) {
    FaultRun run(seed, true);
    run.Run();
    run.CheckEnd();
  });
}

}  // namespace
}  // namespace papaya
