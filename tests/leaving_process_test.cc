#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "include/wire/steady_time.h"
#include "tests/process_fleet.h"

namespace papaya {
namespace {

// Limit on the time until an upstream that is leaving gets no new work.
constexpr Duration kMaxLeavingDelay = std::chrono::seconds(3);
constexpr int kCallsPerRouter = 20;

class LeavingFleet : public ProcessFleet {
 public:
  explicit LeavingFleet(const std::vector<const char*>& routers = {"r1", "r2",
                                                                   "r3"})
      : names_(routers) {
    for (const char* name : names_) {
      StartRouter(name);
    }
  }

  // Sends kCallsPerRouter stock requests through each router; each must
  // succeed.
  void ReadStock() {
    for (int i = 0; i < kCallsPerRouter; ++i) {
      for (const char* name : names_) {
        HttpRequest request = Post("", "");
        request.method = "GET";
        request.target = absl::StrCat("/svc/booking/stock-", ++calls_);
        REQUIRE(Fetch(address(name), request).status == 200);
      }
    }
  }

  // Waits until all routers have logged that `upstream` is leaving, which must
  // take at most kMaxLeavingDelay. Then sends stock requests until that time is
  // over.
  void AwaitLeaving(const std::string& upstream) {
    const TimePoint start = SteadyNow();
    for (const char* name : names_) {
      AwaitEvent(name, "upstream_leaving", upstream);
    }
    const Duration took = SteadyNow() - start;
    CHECK(took <= kMaxLeavingDelay);
    while (SteadyNow() - start < kMaxLeavingDelay) {
      ReadStock();
    }
  }

  const std::vector<const char*>& names() const { return names_; }

 private:
  std::vector<const char*> names_;
  int calls_ = 0;
};

TEST_CASE(
    "papayad: an engine that reports that it is leaving gets no new work from "
    "any router while the VM list lags and the Object API is unavailable",
    "[process]") {
  LeavingFleet fleet;
  fleet.SetFaults("platform", R"({"report_lag_ms":600000,"outage":true})");
  fleet.SetFaults("engine-1", R"({"leaving":true})");
  fleet.AwaitLeaving("engine-1");
  // From here on the upstream would accept work again.
  fleet.SetFaults("engine-1", R"({"leaving":false})");
  for (int i = 0; i < kCallsPerRouter; ++i) {
    for (const char* name : fleet.names()) {
      const HttpResponse response =
          fleet.Fetch(fleet.address(name),
                      ProcessFleet::Chat(absl::StrCat("chat ", i), Tokens(2)));
      CHECK(response.headers.Get("papaya-upstream") == "engine-2");
    }
  }
}

TEST_CASE(
    "papayad: a service that refuses requests because it is leaving gets no "
    "new work from any router while the VM list lags and the Object API is "
    "unavailable",
    "[process]") {
  LeavingFleet fleet;
  fleet.ReadStock();
  REQUIRE_FALSE(fleet.LedgerOf("booking-1").empty());
  fleet.SetFaults("platform", R"({"report_lag_ms":600000,"outage":true})");
  fleet.SetFaults("booking-1", R"({"leaving":true})");
  const TimePoint start = SteadyNow();
  while (SteadyNow() - start < kMaxLeavingDelay) {
    fleet.ReadStock();
  }
  // From here on the upstream would accept work again.
  fleet.SetFaults("booking-1", R"({"leaving":false})");
  const std::map<std::string, uint64_t> before = fleet.LedgerOf("booking-1");
  fleet.ReadStock();
  CHECK(fleet.LedgerOf("booking-1") == before);
}

TEST_CASE(
    "papayad: an upstream that only the VM list shows as leaving gets no new "
    "work",
    "[process]") {
  LeavingFleet fleet({"r1"});
  for (const char* upstream : {"engine-1", "booking-1"}) {
    const HttpRequest request = ProcessFleet::Post(
        "/vms",
        absl::StrCat(R"({"id":"vm-)", upstream, R"(","state":"leaving"})"));
    REQUIRE(fleet.FetchFromStandin("platform", request).status == 200);
    fleet.AwaitLeaving(upstream);
  }
  const std::map<std::string, uint64_t> before = fleet.LedgerOf("booking-1");
  fleet.ReadStock();
  CHECK(fleet.LedgerOf("booking-1") == before);
}

}  // namespace
}  // namespace papaya
