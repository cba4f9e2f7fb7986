#include "include/chart/state_chart.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <memory>

#include "include/chart/chart_machine.h"

namespace papaya {
namespace {

constexpr char kDoor[] =
    "[chart]\nname = door\ninitial = open\n"
    "[state open]\nclose = shut\nremove = gone\n"
    "[state shut]\nopen = open\n"
    "[state gone]\nfinal = yes\n";

std::string FaultsOf(const std::string& text) {
  const absl::StatusOr<StateChart> chart = StateChart::Parse(text, "c.chart");
  REQUIRE_FALSE(chart.ok());
  return std::string(chart.status().message());
}

TEST_CASE("StateChart: a machine follows its chart", "[chart]") {
  const absl::StatusOr<StateChart> chart =
      StateChart::Parse(kDoor, "door.chart");
  REQUIRE(chart.ok());
  ChartMachine door(std::make_shared<const StateChart>(*chart));
  CHECK(door.state() == "open");
  CHECK(door.Fire("close"));
  CHECK_FALSE(door.Accepts("remove"));
  CHECK_FALSE(door.Fire("remove"));
  CHECK(door.state() == "shut");
  CHECK(door.Fire("open"));
  CHECK(door.Fire("remove"));
  CHECK(door.IsFinal());
}

TEST_CASE("StateChart: refuses each kind of fault with file and line",
          "[chart]") {
  using Catch::Contains;
  CHECK_THAT(FaultsOf("[chart]\nname = a\ninitial = s\n[state s]\ngo = t\n"),
             Contains("c.chart:5: event `go` leads to `t`"));
  CHECK_THAT(FaultsOf("[chart]\nname = a\ninitial = s\n[state s]\nfinal = yes\n"
                      "[state t]\nfinal = yes\n"),
             Contains("c.chart:6: state `t` can't be reached"));
  CHECK_THAT(FaultsOf("[chart]\nname = a\ninitial = s\n[state s]\ngo =\n"),
             Contains("c.chart:5: event `go` has no target"));
  CHECK_THAT(FaultsOf("[chart]\nname = a\ninitial = x\n[state s]\nfinal=yes\n"),
             Contains("c.chart:1: initial state `x`"));
  CHECK_THAT(FaultsOf("[chart]\nname = a\ninitial = s\n[state s]\n"),
             Contains("not final and has no transition"));
}

TEST_CASE("StateChart: the charts of the project are sound", "[chart]") {
  int charts = 0;
  for (const auto& entry :
       std::filesystem::directory_iterator(PAPAYA_SOURCE_DIR "/charts")) {
    const absl::StatusOr<StateChart> chart =
        StateChart::Load(entry.path().string());
    INFO(chart.status());
    CHECK(chart.ok());
    ++charts;
  }
  CHECK(charts >= 4);
}

}  // namespace
}  // namespace papaya
