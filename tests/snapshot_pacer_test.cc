#include "src/gateway/snapshot_pacer.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace papaya {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart(std::chrono::hours(1));

bool IsDue(const SnapshotPacer& pacer, TimePoint now) {
  return pacer.has_change() && pacer.IsReady(now);
}

TEST_CASE("SnapshotPacer: the first change is due at once", "[gateway]") {
  SnapshotPacer pacer;
  CHECK_FALSE(IsDue(pacer, kStart));
  pacer.OnChange();
  CHECK(IsDue(pacer, kStart));
  pacer.OnBuilt(kStart, kStart + milliseconds(2));
  CHECK_FALSE(IsDue(pacer, kStart + milliseconds(900)));
}

TEST_CASE("SnapshotPacer: bounds the time spent on snapshots", "[gateway]") {
  const Duration cost = milliseconds(GENERATE(0, 1, 5, 25, 50));
  SnapshotPacer pacer;
  Duration spent{};
  TimePoint now = kStart;
  while (now < kStart + std::chrono::seconds(10)) {
    pacer.OnChange();
    if (IsDue(pacer, now)) {
      pacer.OnBuilt(now, now + cost);
      spent += cost;
      now += cost;
    }
    now += milliseconds(1);
  }
  CHECK(spent <= std::chrono::seconds(1));
}

TEST_CASE("SnapshotPacer: a change is in force in time on a slow machine",
          "[gateway]") {
  SnapshotPacer pacer;
  const TimePoint built = kStart + milliseconds(400);
  pacer.OnBuilt(kStart, built);
  pacer.OnChange();
  CHECK(IsDue(pacer, built + milliseconds(500)));
}

}  // namespace
}  // namespace papaya
