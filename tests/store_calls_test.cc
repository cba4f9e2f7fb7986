// Store calls of a large fleet by kind and cause.

#include <catch2/catch.hpp>
#include <iostream>
#include <map>
#include <string>

#include "absl/strings/str_cat.h"
#include "tests/fakes/store_fleet.h"

namespace papaya {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kRouters = 128;
constexpr int kZones = 4;
constexpr int kUpstreams = 140;
constexpr size_t kRestarted = 39;

// A manifest of about 30 KB whose entries differ, as those of a real one do.
boost::json::value Manifest(int edition) {
  boost::json::object routes;
  for (int i = 0; i < 200; ++i) {
    routes[absl::StrCat("r-", i * 7919 % 100003)] = {
        {"service", absl::StrCat("service", i % 17)},
        {"path", absl::StrCat("/v1/", i * 104729 % 99991, "/complete")},
        {"priority", i % 5},
        {"latency_ms", 100 + i * 31 % 900},
        {"edition", edition},
        {"accounts", {absl::StrCat("a", i % 61), absl::StrCat("a", i % 59)}}};
  }
  return routes;
}

// The calls of one part of the run.
class CallReport {
 public:
  explicit CallReport(StoreFleet* fleet) : fleet_(fleet) {}

  // Prints the calls since the last one, and returns their cost.
  double Take(const std::string& cause) {
    const std::map<std::string, double> now = fleet_->Costs();
    double sum = 0;
    std::string kinds;
    for (const auto& [kind, cost] : now) {
      const double added = cost - last_[kind];
      if (added > 0) {
        absl::StrAppend(&kinds, "\n    ", kind, " ", added);
      }
      sum += added;
    }
    last_ = now;
    total_ += sum;
    std::cout << "store calls, " << cause << ": " << sum << kinds << "\n";
    return sum;
  }

  double total() const { return total_; }

 private:
  StoreFleet* const fleet_;
  std::map<std::string, double> last_;
  double total_ = 0;
};

// Guards against calls that grow with the number of routers.
TEST_CASE("StoreCalls: of 128 routers by kind and cause", "[store_calls]") {
  StoreFleet fleet(kRouters, kZones);
  for (const std::unique_ptr<FakePlatform>& platform : fleet.platforms) {
    platform->staleness = seconds(2);
  }
  fleet.platforms[StoreFleet::kConfig]->PutSpec("main", Manifest(0));
  FakePlatform& upstreams = *fleet.platforms[StoreFleet::kUpstreams];
  for (int i = 0; i < kUpstreams; ++i) {
    upstreams.Put(absl::StrCat("u", i));
  }
  fleet.Run(seconds(5));
  CallReport report(&fleet);
  // The upstreams register again while the routers start.
  fleet.StartAll();
  for (int i = 0; i < kUpstreams; ++i) {
    upstreams.Put(absl::StrCat("u", i));
    fleet.Run(milliseconds(25));
  }
  fleet.Run(milliseconds(1500));
  CHECK(fleet.CountCurrent() == kRouters);
  std::cout << "slowest start: " << fleet.SlowestStart() / milliseconds(1)
            << " ms\n";
  CHECK(report.Take("simultaneous start, 5 s") <= 650);
  fleet.Run(seconds(10));
  CHECK(report.Take("no changes, 10 s") <= 80);
  for (int edition = 1; edition <= 5; ++edition) {
    fleet.platforms[StoreFleet::kConfig]->PutSpec("main", Manifest(edition));
    fleet.Run(milliseconds(1800));
    CHECK(fleet.CountCurrent() == kRouters);
    fleet.Run(milliseconds(4200));
  }
  CHECK(report.Take("manifest of 30 KB, 5 changes in 30 s") <= 90);
  for (int i = 0; i < 20; ++i) {
    upstreams.Put(absl::StrCat("u", i));
    fleet.Run(milliseconds(500));
  }
  fleet.Run(milliseconds(1500));
  CHECK(fleet.CountCurrent() == kRouters);
  CHECK(report.Take("20 upstream entries in 11.5 s") <= 80);
  for (size_t i = 0; i < kRestarted; ++i) {
    fleet.Start(i * 3);
    upstreams.Put(absl::StrCat("u", i));
    fleet.Run(milliseconds(100));
  }
  fleet.Run(seconds(3));
  CHECK(fleet.CountCurrent() == kRouters);
  std::cout << "slowest start: " << fleet.SlowestStart() / milliseconds(1)
            << " ms\n";
  CHECK(report.Take("30% of the routers restarted, 7 s") <= 130);
  fleet.SetDown(true);
  fleet.Run(seconds(5));
  CHECK(report.Take("outage of 5 s") <= 230);
  fleet.SetDown(false);
  upstreams.Put("after");
  fleet.Run(seconds(3));
  CHECK(fleet.CountCurrent() == kRouters);
  CHECK(report.Take("3 s after the outage") <= 30);
  CHECK_FALSE(fleet.WentBack());
  std::cout << "store calls in all: " << report.total() << ", "
            << report.total() / kRouters << " for each router\n";
}

}  // namespace
}  // namespace papaya
