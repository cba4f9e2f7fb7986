#include "include/telemetry/loop_monitor.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>

namespace papaya {
namespace {

using std::chrono::milliseconds;

struct MonitorFixture {
  TimePoint now{std::chrono::hours(1)};
  LoopMonitor monitor{[this] { return now; }};

  std::map<std::string, std::string> Report() {
    const std::optional<Event> event = monitor.TakeReport();
    REQUIRE(event.has_value());
    return {event->fields.begin(), event->fields.end()};
  }
};

TEST_CASE("LoopMonitor: the delay is that of the last timer", "[telemetry]") {
  MonitorFixture f;
  CHECK(f.monitor.Delay() == Duration());
  f.monitor.OnTimer(f.now - milliseconds(700));
  CHECK(f.monitor.Delay() == milliseconds(700));
  f.monitor.OnTimer(f.now);
  CHECK(f.monitor.Delay() == Duration());
}

TEST_CASE("LoopMonitor: an overdue timer is a delay before it is handled",
          "[telemetry]") {
  MonitorFixture f;
  f.monitor.OnTimer(f.now);
  f.monitor.SetNextTimer(f.now + milliseconds(25));
  f.now += milliseconds(20);
  CHECK(f.monitor.Delay() == Duration());
  f.now += milliseconds(405);
  CHECK(f.monitor.Delay() == milliseconds(400));
}

TEST_CASE("LoopMonitor: reports long delays with the work of the interval",
          "[telemetry]") {
  MonitorFixture f;
  CHECK_FALSE(f.monitor.TakeReport().has_value());
  {
    const LoopMonitor::Scope peers(&f.monitor, LoopWork::kPeers);
    f.now += milliseconds(100);
    {
      const LoopMonitor::Scope snapshot(&f.monitor, LoopWork::kSnapshots);
      f.now += milliseconds(300);
    }
    f.now += milliseconds(50);
  }
  f.now += milliseconds(1000);
  f.monitor.OnTimer(f.now - milliseconds(450));
  std::map<std::string, std::string> fields = f.Report();
  CHECK(fields["delay_ms"] == "450");
  CHECK(fields["interval_ms"] == "1450");
  CHECK(fields["peers_ms"] == "150");
  CHECK(fields["snapshots_ms"] == "300");
  CHECK(fields["requests_ms"] == "0");
  // Each interval is reported by itself.
  f.now += milliseconds(1000);
  CHECK_FALSE(f.monitor.TakeReport().has_value());
}

}  // namespace
}  // namespace papaya
