#include "include/rollout/note_runner.h"

#include <catch2/catch.hpp>
#include <memory>

#include "tests/fakes/fake_rollout_fleet.h"
#include "tests/fakes/rollout_notes.h"

namespace papaya {
namespace {

TEST_CASE("NoteRunner: a first note makes revision 1 without stages",
          "[rollout]") {
  FakeRollout fleet(1, QuickOptions(), NoteChart());
  const NoteRecord note =
      CarryOut(&fleet, FirstNote(&fleet, 4), std::chrono::minutes(5));
  CHECK(note.state == kNoteDone);
  CHECK(fleet.newest.revision == Revision(1));
  CHECK(fleet.newest.upstreams.size() == 4);
}

TEST_CASE("NoteRunner: a good version ends on all replicas, the old unloaded",
          "[rollout]") {
  FakeRollout fleet(2, QuickOptions(), NoteChart());
  fleet.rate = 20.0;
  CarryOut(&fleet, FirstNote(&fleet, 6), std::chrono::minutes(5));
  const NoteRecord note = CarryOut(
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

TEST_CASE("NoteRunner: a version that fails is taken back and stopped",
          "[rollout]") {
  FakeRollout fleet(3, QuickOptions(), NoteChart());
  fleet.rate = 20.0;
  CarryOut(&fleet, FirstNote(&fleet, 6), std::chrono::minutes(5));
  fleet.serve = [&fleet](const UpstreamSpec&, const VersionId& version,
                         const RouteId&) {
    const double failures = version == VersionId("v2") ? 0.3 : 0.01;
    return FakeReply{fleet.random.Chance(failures),
                     std::chrono::milliseconds(200)};
  };
  const NoteRecord note = CarryOut(
      &fleet, VersionNote(fleet, "second", "v2", std::chrono::minutes(30)),
      std::chrono::minutes(31));
  INFO(note.reason);
  CHECK(note.state == kNoteTakenBack);
  CHECK_THAT(note.reason, Catch::Contains("fails more"));
  for (const UpstreamSpec& upstream : fleet.newest.upstreams) {
    CHECK(upstream.version == VersionId("v1"));
    CHECK(fleet.engines[upstream.id].state.active == VersionId("v1"));
  }
}

}  // namespace
}  // namespace papaya
