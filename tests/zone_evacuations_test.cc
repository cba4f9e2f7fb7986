#include "include/gateway/zone_evacuations.h"

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

#include "platform/object_codec.h"

namespace papaya {
namespace {

using std::chrono::seconds;

PlatformObject Entry(const std::string& name,
                     uint64_t version,
                     const std::string& spec = "{}") {
  PlatformObject object;
  object.name = name;
  object.version = ObjectVersion(version);
  object.spec = boost::json::parse(spec);
  return object;
}

PlatformObject Deletion(const std::string& name, uint64_t version) {
  PlatformObject object;
  object.name = name;
  object.version = ObjectVersion(version);
  object.is_deleted = true;
  return object;
}

class Fixture {
 public:
  Fixture()
      : evacuations(
            {.decode = &platform::DecodeEvacuation,
             .is_known =
                 [this](const AvailabilityZoneId& zone) {
                   return known.contains(zone);
                 },
             .changed = [this] { ++changes; },
             .lifted =
                 [this](const AvailabilityZoneId& zone) {
                   CHECK_FALSE(evacuations.IsEvacuated(zone));
                   lifted.push_back(zone);
                 },
             .event =
                 [this](const Event& event) { events.push_back(event); }}) {}

  int Count(EventId id) const {
    int count = 0;
    for (const Event& event : events) {
      count += event.id == id ? 1 : 0;
    }
    return count;
  }

  TimePoint now{seconds(100)};
  std::set<AvailabilityZoneId> known = {AvailabilityZoneId("a"),
                                        AvailabilityZoneId("b")};
  int changes = 0;
  std::vector<AvailabilityZoneId> lifted;
  std::vector<Event> events;
  ZoneEvacuations evacuations;
};

const AvailabilityZoneId kA("a");
const AvailabilityZoneId kB("b");

// Guards against an evacuation that ends with another one's entry, or that is
// not ended by its deletion or by a list without it.
TEST_CASE("ZoneEvacuations: each entry evacuates its zone until it is removed",
          "[gateway]") {
  Fixture f;
  f.evacuations.Replace({Entry("a", 1)}, f.now);
  f.evacuations.Apply(Entry("b", 2), f.now);
  CHECK(f.evacuations.IsEvacuated(kA));
  CHECK(f.evacuations.IsEvacuated(kB));
  CHECK(f.changes == 2);
  f.now += seconds(7);
  f.evacuations.Apply(Deletion("a", 1), f.now);
  CHECK_FALSE(f.evacuations.IsEvacuated(kA));
  CHECK(f.evacuations.IsEvacuated(kB));
  CHECK(f.evacuations.LiftedAt(kA) == f.now);
  f.evacuations.Replace({}, f.now);
  CHECK_FALSE(f.evacuations.IsEvacuated(kB));
  CHECK(f.lifted == std::vector<AvailabilityZoneId>{kA, kB});
  CHECK(f.changes == 4);
  CHECK(f.Count(EventId::kZoneEvacuated) == 2);
  CHECK(f.Count(EventId::kEvacuationLifted) == 2);
}

// Guards against repeated lists and deletions of unknown entries being taken
// for changes, which would rebuild routing snapshots, and against a new start
// time for an entry that was only changed.
TEST_CASE("ZoneEvacuations: only real changes count", "[gateway]") {
  Fixture f;
  f.evacuations.Apply(Entry("a", 1), f.now);
  const TimePoint since = f.now;
  f.now += seconds(3);
  f.evacuations.Replace({Entry("a", 1)}, f.now);
  f.evacuations.Apply(Entry("a", 4, R"({"reason":"power"})"), f.now);
  f.evacuations.Apply(Deletion("b", 3), f.now);
  CHECK(f.changes == 1);
  CHECK(f.evacuations.zones().at(kA).since == since);
  CHECK(f.evacuations.zones().at(kA).version == ObjectVersion(4));
  f.evacuations.Apply(Deletion("a", 4), f.now);
  f.evacuations.Apply(Entry("a", 6), f.now);
  CHECK(f.evacuations.IsEvacuated(kA));
  CHECK_FALSE(f.evacuations.LiftedAt(kA).has_value());
  CHECK(f.evacuations.zones().at(kA).since == f.now);
}

// Guards against an invalid entry that evacuates a zone, that affects others,
// or that is logged with every list.
TEST_CASE("ZoneEvacuations: invalid entries have no effect", "[gateway]") {
  const std::string spec = GENERATE("null", "1", "[]", "\"now\"", "true");
  Fixture f;
  f.evacuations.Replace({Entry("a", 1, spec), Entry("b", 2)}, f.now);
  f.evacuations.Replace({Entry("a", 1, spec), Entry("b", 2)}, f.now);
  CHECK_FALSE(f.evacuations.IsEvacuated(kA));
  CHECK(f.evacuations.IsEvacuated(kB));
  REQUIRE(f.Count(EventId::kEvacuationRefused) == 1);
  const std::string error = f.events.front().fields[1].second;
  CHECK(error.find("a.spec") != std::string::npos);
  CHECK(error.find("found " + spec) != std::string::npos);
  // Routers that start now would not know that the entry was valid before.
  f.evacuations.Apply(Entry("b", 3, spec), f.now);
  CHECK_FALSE(f.evacuations.IsEvacuated(kB));
  CHECK(f.lifted == std::vector<AvailabilityZoneId>{kB});
  f.evacuations.Apply(Entry("a", 4), f.now);
  CHECK(f.evacuations.IsEvacuated(kA));
}

TEST_CASE("ZoneEvacuations: refuses names that can't be a zone's",
          "[gateway]") {
  Fixture f;
  f.evacuations.Apply(Entry("", 1), f.now);
  f.evacuations.Apply(Entry(std::string(300, 'z'), 2), f.now);
  CHECK(f.evacuations.zones().empty());
  CHECK(f.Count(EventId::kEvacuationRefused) == 2);
}

// Guards against an entry with a misspelt name that nobody notices, and against
// a false report before the registrations of a start are known.
TEST_CASE("ZoneEvacuations: reports an unknown zone once and keeps its entry",
          "[gateway]") {
  Fixture f;
  f.evacuations.Replace({Entry("a", 1), Entry("x", 2)}, f.now);
  f.evacuations.OnTick(f.now);
  CHECK(f.Count(EventId::kEvacuatedZoneUnknown) == 0);
  for (int i = 0; i < 3; ++i) {
    f.now += ZoneEvacuations::kUnknownDelay;
    f.evacuations.OnTick(f.now);
  }
  CHECK(f.Count(EventId::kEvacuatedZoneUnknown) == 1);
  CHECK(f.events.back().fields[0].second == "x");
  CHECK(f.evacuations.IsEvacuated(AvailabilityZoneId("x")));
}

TEST_CASE("ZoneEvacuations: forgets ended evacuations after a time",
          "[gateway]") {
  Fixture f;
  f.evacuations.Apply(Entry("a", 1), f.now);
  f.evacuations.Apply(Deletion("a", 1), f.now);
  f.now += ZoneEvacuations::kLiftedMemory;
  f.evacuations.OnTick(f.now);
  CHECK_FALSE(f.evacuations.LiftedAt(kA).has_value());
}

}  // namespace
}  // namespace papaya
