#include "include/rollout/release_note_store.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <optional>
#include <vector>

#include "include/config/fleet_config_json.h"
#include "tests/fakes/rollout_notes.h"

namespace papaya {
namespace {

// A ReleaseNoteStore with a fleet of three engines in the store.
struct NoteStoreFixture {
  explicit NoteStoreFixture(uint64_t seed)
      : backend(seed),
        store(&backend),
        note_store(&store, kFakePrefix, NoteChart()) {
    FleetConfig config;
    config.revision = Revision(1);
    for (const char* const id : {"a", "b", "c"}) {
      UpstreamSpec upstream;
      upstream.id = UpstreamId(id);
      upstream.address = absl::StrCat("10.0.0.1:", 8000 + id[0]);
      upstream.zone = AvailabilityZoneId("z");
      upstream.pool = PoolId("plans");
      upstream.version = VersionId("v1");
      config.upstreams.push_back(upstream);
    }
    backend.last_version = ObjectVersion(1);
    backend.objects["fleet/config"] = {"fleet/config", ObjectVersion(1),
                                       OperationId("x"),
                                       FleetConfigToJson(config)};
  }

  NoteRequest Request(const std::string& author,
                      const std::string& version,
                      ObjectVersion expected) const {
    const std::string text = absl::StrCat(
        "[note]\ntraffic_by = ", FormatWallTime(wall + std::chrono::hours(1)),
        "\n[pool plans]\nversion = ", version, "\n");
    return {NoteId("n"), author, OperationId(author + "/" + version), expected,
            text};
  }

  // Runs the fake store until `result` has a value.
  NoteResult Await(std::optional<NoteResult>* result) {
    while (!result->has_value()) {
      backend.RunUntil(backend.now + std::chrono::milliseconds(50));
    }
    return **result;
  }

  NoteResult Submit(const NoteRequest& request) {
    std::optional<NoteResult> result;
    note_store.Submit(request, wall,
                      [&result](const NoteResult& r) { result = r; });
    return Await(&result);
  }

  NoteResult Revise(const NoteRequest& request) {
    std::optional<NoteResult> result;
    note_store.Revise(request, wall,
                      [&result](const NoteResult& r) { result = r; });
    return Await(&result);
  }

  NoteResult Withdraw(const NoteRequest& request) {
    std::optional<NoteResult> result;
    note_store.Withdraw(request, wall,
                        [&result](const NoteResult& r) { result = r; });
    return Await(&result);
  }

  WallTime wall = WallTime(std::chrono::hours(24 * 365 * 50));
  FakeObjectStoreBackend backend;
  FakeObjectStore store;
  ReleaseNoteStore note_store;
};

TEST_CASE("ReleaseNoteStore: a note with errors is not written", "[rollout]") {
  NoteStoreFixture fixture(1);
  NoteRequest request = fixture.Request("anna", "v2", ObjectVersion(0));
  request.text += "[upstream q]\nwithdrawn = yes\n";
  const NoteResult result = fixture.Submit(request);
  CHECK(result.status.code() == absl::StatusCode::kInvalidArgument);
  REQUIRE(result.faults.size() == 1);
  CHECK(result.faults[0].line == 5);
  CHECK_FALSE(fixture.backend.objects.contains("fleet/notes/n"));
}

TEST_CASE(
    "ReleaseNoteStore: the later of two operators gets the other's record",
    "[rollout]") {
  NoteStoreFixture fixture(2);
  const NoteResult first =
      fixture.Submit(fixture.Request("anna", "v2", ObjectVersion(0)));
  REQUIRE(first.status.ok());
  const NoteResult second =
      fixture.Submit(fixture.Request("omar", "v3", ObjectVersion(0)));
  CHECK(second.status.code() == absl::StatusCode::kAborted);
  CHECK(second.note.record.author == "anna");
  CHECK(second.note.record.text == first.note.record.text);
  const NoteResult revised =
      fixture.Revise(fixture.Request("omar", "v3", first.note.version));
  REQUIRE(revised.status.ok());
  CHECK(revised.note.record.text_revision == 2);
  const NoteResult late =
      fixture.Withdraw(fixture.Request("anna", "v2", first.note.version));
  CHECK(late.status.code() == absl::StatusCode::kAborted);
  CHECK(late.note.record.author == "omar");
}

TEST_CASE("ReleaseNoteStore: an ended note cannot be changed", "[rollout]") {
  NoteStoreFixture fixture(3);
  const NoteResult first =
      fixture.Submit(fixture.Request("anna", "v2", ObjectVersion(0)));
  NoteRequest withdraw = fixture.Request("anna", "v4", first.note.version);
  const NoteResult withdrawn = fixture.Withdraw(withdraw);
  CHECK(withdrawn.note.record.state == kNoteRolledBack);
  CHECK_FALSE(withdrawn.note.record.reason.empty());
  const NoteResult again =
      fixture.Revise(fixture.Request("anna", "v3", withdrawn.note.version));
  CHECK(again.status.code() == absl::StatusCode::kFailedPrecondition);
}

TEST_CASE("ReleaseNoteStore: racing operators and lost answers", "[rollout]") {
  rc::prop(
      "each operation takes effect at most once and is reported so",
      [](uint64_t seed) {
        NoteStoreFixture fixture(seed);
        Random random(seed);
        fixture.backend.faults.lost_answer = 0.4;
        fixture.backend.faults.lost_call = 0.2;
        const NoteRequest anna =
            fixture.Request("anna", "v2", ObjectVersion(0));
        const NoteRequest omar =
            fixture.Request("omar", "v3", ObjectVersion(0));
        // Each operator retries the same operation until its result is certain.
        std::vector<NoteResult> last(2);
        for (int round = 0; round < 60; ++round) {
          const size_t who = random.Below(2);
          const bool is_clear =
              last[who].status.code() == absl::StatusCode::kAborted ||
              !last[who].note.record.id.empty();
          if (!is_clear ||
              last[who].status.code() == absl::StatusCode::kUnavailable) {
            last[who] = fixture.Submit(who == 0 ? anna : omar);
          }
        }
        fixture.backend.faults = {};
        const NoteRecord stored =
            *ParseNoteRecord(fixture.backend.objects.at("fleet/notes/n").value);
        RC_ASSERT(stored.text_revision == 1);
        const size_t winner = stored.author == "anna" ? 0 : 1;
        RC_ASSERT(last[winner].status.code() != absl::StatusCode::kAborted);
        RC_ASSERT(!last[1 - winner].status.ok());
      });
}

}  // namespace
}  // namespace papaya
