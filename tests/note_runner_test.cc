#include "include/rollout/note_runner.h"

#include <catch2/catch.hpp>
#include <memory>

#include "tests/fakes/fake_rollout_fleet.h"
#include "tests/fakes/rollout_notes.h"

namespace papaya {
namespace {

TEST_CASE("NoteRunner: the first note creates revision 1 without stages",
          "[rollout]") {
  FakeRolloutFleet fleet(1, QuickOptions(), NoteChart());
  const NoteRecord note =
      RunNote(&fleet, FirstNote(&fleet, 4), std::chrono::minutes(5));
  CHECK(note.state == kNoteDone);
  CHECK(fleet.newest.revision == Revision(1));
  CHECK(fleet.newest.upstreams.size() == 4);
}

TEST_CASE(
    "NoteRunner: a good version ends on all replicas, the old one unloaded",
    "[rollout]") {
  FakeRolloutFleet fleet(2, QuickOptions(), NoteChart());
  fleet.rate = 20.0;
  RunNote(&fleet, FirstNote(&fleet, 6), std::chrono::minutes(5));
  const NoteRecord note = RunNote(
      &fleet, VersionNote(fleet, "second", "v2", std::chrono::minutes(30)),
      std::chrono::minutes(31));
  INFO(note.reason);
  CHECK(note.state == kNoteDone);
  fleet.RunFor(std::chrono::minutes(2));
  CHECK(fleet.newest.shares.empty());
  for (const UpstreamSpec& upstream : fleet.newest.upstreams) {
    CHECK(upstream.version == VersionId("v2"));
    const EngineState& state = fleet.engines[upstream.id].state;
    CHECK(state.active == VersionId("v2"));
    CHECK(state.loaded == std::vector<VersionId>{VersionId("v2")});
  }
}

TEST_CASE("NoteRunner: a version that fails is rolled back and stopped",
          "[rollout]") {
  FakeRolloutFleet fleet(3, QuickOptions(), NoteChart());
  fleet.rate = 20.0;
  RunNote(&fleet, FirstNote(&fleet, 6), std::chrono::minutes(5));
  fleet.serve = [&fleet](const UpstreamSpec&, const VersionId& version,
                         const RouteId&) {
    const double failures = version == VersionId("v2") ? 0.3 : 0.01;
    return FakeReply{fleet.random.Chance(failures),
                     std::chrono::milliseconds(200)};
  };
  const NoteRecord note = RunNote(
      &fleet, VersionNote(fleet, "second", "v2", std::chrono::minutes(30)),
      std::chrono::minutes(31));
  INFO(note.reason);
  CHECK(note.state == kNoteRolledBack);
  CHECK_THAT(note.reason, Catch::Contains("fails more"));
  for (const UpstreamSpec& upstream : fleet.newest.upstreams) {
    CHECK(upstream.version == VersionId("v1"));
    CHECK(fleet.engines[upstream.id].state.active == VersionId("v1"));
  }
}

TEST_CASE("NoteRunner: roles and adapters are applied without stages",
          "[rollout]") {
  FakeRolloutFleet fleet(5, QuickOptions(), NoteChart());
  RunNote(&fleet, FirstNote(&fleet, 4), std::chrono::minutes(5));
  SampleNote note = {NoteId("roles"),
                     NoteHeader(fleet, std::chrono::minutes(30))};
  note.text +=
      "[pool plans]\nadapters = fair, hire\n[upstream plans-1]\n"
      "role = prefill\n";
  const NoteRecord record = RunNote(&fleet, note, std::chrono::minutes(31));
  INFO(record.reason);
  CHECK(record.state == kNoteDone);
  for (const UpstreamSpec& upstream : fleet.newest.upstreams) {
    const EngineState& state = fleet.engines[upstream.id].state;
    CHECK(state.adapters == std::vector<std::string>{"fair", "hire"});
    CHECK(state.active == VersionId("v1"));
    CHECK(state.role ==
          (upstream.id == UpstreamId("plans-1") ? "prefill" : ""));
  }
}

TEST_CASE("NoteRunner: a rollback restores the roles of engines", "[rollout]") {
  FakeRolloutFleet fleet(6, QuickOptions(), NoteChart());
  fleet.rate = 20.0;
  const SampleNote first = FirstNote(&fleet, 6);
  for (auto& [id, engine] : fleet.engines) {
    engine.state.role = "serve";
  }
  RunNote(&fleet, first, std::chrono::minutes(5));
  fleet.serve = [&fleet](const UpstreamSpec&, const VersionId& version,
                         const RouteId&) {
    const double failures = version == VersionId("v2") ? 0.3 : 0.01;
    return FakeReply{fleet.random.Chance(failures),
                     std::chrono::milliseconds(200)};
  };
  SampleNote note =
      VersionNote(fleet, "second", "v2", std::chrono::minutes(30));
  for (size_t i = 0; i < 6; ++i) {
    absl::StrAppend(&note.text, "[upstream plans-", i, "]\nrole = prefill\n");
  }
  const NoteRecord record = RunNote(&fleet, note, std::chrono::minutes(31));
  INFO(record.reason);
  CHECK(record.state == kNoteRolledBack);
  for (const auto& [id, engine] : fleet.engines) {
    INFO(id.value());
    CHECK(engine.state.role == "serve");
    CHECK(engine.state.active == VersionId("v1"));
  }
}

// Adds `count` engines that serve v1, in another pool, to a note.
void AddPool(const std::string& pool,
             size_t count,
             FakeRolloutFleet* fleet,
             SampleNote* note) {
  absl::StrAppend(&note->text, "[pool ", pool, "]\nversion = v1\n");
  // Keeps addresses unique within the fleet.
  constexpr size_t kFirstIndex = 100;
  for (size_t i = kFirstIndex; i < kFirstIndex + count; ++i) {
    absl::StrAppend(&note->text, UpstreamSection(i, pool, true));
    FakeEngine& engine = fleet->engines[UpstreamId(absl::StrCat(pool, "-", i))];
    engine.state.loaded = {VersionId("v1")};
    engine.state.active = VersionId("v1");
  }
}

TEST_CASE(
    "NoteRunner: two notes run on two pools at once, one good and one bad",
    "[rollout]") {
  FakeRolloutOptions options = QuickOptions();
  options.pools = {PoolId("plans"), PoolId("photos")};
  FakeRolloutFleet fleet(7, options, NoteChart());
  SampleNote first = FirstNote(&fleet, 6);
  AddPool("photos", 6, &fleet, &first);
  RunNote(&fleet, first, std::chrono::minutes(5));
  fleet.rate = 40.0;
  fleet.serve = [&fleet](const UpstreamSpec&, const VersionId& version,
                         const RouteId&) {
    const double failures = version == VersionId("bad") ? 0.3 : 0.01;
    return FakeReply{fleet.random.Chance(failures),
                     std::chrono::milliseconds(200)};
  };
  const SampleNote good =
      VersionNote(fleet, "good", "v2", std::chrono::minutes(30));
  const SampleNote bad = {
      NoteId("bad"), absl::StrCat(NoteHeader(fleet, std::chrono::minutes(30)),
                                  "[pool photos]\nversion = bad\n")};
  for (const SampleNote* const note : {&good, &bad}) {
    fleet.note_store.Submit(MakeRequest(*note, "anna", ObjectVersion(0)),
                            fleet.wall(), [](const NoteResult&) {});
  }
  bool were_both_moving = false;
  const TimePoint end = fleet.now() + std::chrono::minutes(31);
  while (fleet.now() < end) {
    fleet.Tick();
    const std::optional<NoteRecord> a = fleet.ReadNote(good.id);
    const std::optional<NoteRecord> b = fleet.ReadNote(bad.id);
    were_both_moving = were_both_moving || (a && b && a->state == kNoteMoving &&
                                            b->state == kNoteMoving);
  }
  CHECK(were_both_moving);
  CHECK(fleet.ReadNote(good.id)->state == kNoteDone);
  CHECK(fleet.ReadNote(bad.id)->state == kNoteRolledBack);
  CHECK(fleet.newest.shares.empty());
  for (const UpstreamSpec& upstream : fleet.newest.upstreams) {
    const VersionId wanted(upstream.pool == PoolId("plans") ? "v2" : "v1");
    CHECK(upstream.version == wanted);
    CHECK(fleet.engines[upstream.id].state.active == wanted);
  }
}

}  // namespace
}  // namespace papaya
