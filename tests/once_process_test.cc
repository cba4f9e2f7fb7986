#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "include/standin/ledger_check.h"
#include "include/wire/steady_time.h"
#include "tests/process_fleet.h"

namespace papaya {
namespace {

constexpr const char* kTicket = "papaya-ticket";
constexpr const char* kKey = "Idempotency-Key";
// Services accept bookings and never respond.
constexpr const char* kHang = R"({"hanging_permille":1000})";
constexpr const char* kNoHang = R"({"hanging_permille":0})";

// Three routers that are members of one fleet.
class OnceFleet : public ProcessFleet {
 public:
  explicit OnceFleet(const Flags& flags = Flags()) : ProcessFleet(flags) {
    for (const char* name : {"r1", "r2", "r3"}) {
      StartRouter(name);
    }
  }

  void SetServiceFaults(const char* faults) {
    SetFaults("booking-1", faults);
    SetFaults("booking-2", faults);
  }

  // Returns the outcome header of the response to `request`.
  std::string Outcome(const std::string& router, const HttpRequest& request) {
    return Fetch(address(router), request).headers.Get("papaya-outcome");
  }

  // Repeats `request` until no earlier attempt is in progress and the issuer is
  // no longer considered dead, and returns the last response.
  HttpResponse FetchUntilDecided(const std::string& router,
                                 const HttpRequest& request) {
    const TimePoint deadline = SteadyNow() + Duration(std::chrono::minutes(1));
    while (true) {
      HttpResponse response = Fetch(address(router), request);
      if (response.body.find("in_progress") == std::string::npos &&
          response.body.find("issuer_gone") == std::string::npos) {
        return response;
      }
      INFO(response.body);
      REQUIRE(SteadyNow() < deadline);
    }
  }
};

TEST_CASE(
    "papayad: a booking whose router is killed before it responds runs once, "
    "and its outcome is unknown through any router",
    "[process]") {
  OnceFleet fleet;
  fleet.SetServiceFaults(kHang);
  const std::string ticket = fleet.Tickets("r2", 1).front();
  const std::vector<HttpRequest> bookings = {
      ProcessFleet::Booking("by-key", kKey, "by-key"),
      ProcessFleet::Booking("by-ticket", kTicket, ticket)};
  const std::unique_ptr<ProcessFleet::Call> keyed =
      fleet.Begin("r2", bookings[0]);
  const std::unique_ptr<ProcessFleet::Call> ticketed =
      fleet.Begin("r1", bookings[1]);
  fleet.AwaitRun("by-key");
  fleet.AwaitRun("by-ticket");
  fleet.KillRouter("r2");
  fleet.SetServiceFaults(kNoHang);
  CHECK_FALSE(keyed->End().ok());
  // The outcome must be unknown both before and after the death of r2 is
  // detected.
  for (const HttpRequest& booking : bookings) {
    CHECK(fleet.Outcome("r3", booking) == "unknown");
  }
  const absl::StatusOr<HttpResponse> first = ticketed->End();
  REQUIRE(first.ok());
  CHECK(first->headers.Get("papaya-outcome") == "unknown");
  fleet.StartRouter("r2");
  for (const char* router : {"r1", "r2", "r3"}) {
    for (const HttpRequest& booking : bookings) {
      CHECK(fleet.Outcome(router, booking) == "unknown");
    }
  }
  CHECK(fleet.RunsOf("by-key") == 1);
  CHECK(fleet.RunsOf("by-ticket") == 1);
}

TEST_CASE(
    "papayad: if the router that received a booking is killed, the issuer of "
    "the ticket answers it through another router",
    "[process]") {
  OnceFleet fleet({.service = {"--service_ms=500"}});
  const std::string ticket = fleet.Tickets("r2", 1).front();
  const HttpRequest booking =
      ProcessFleet::Booking("by-ticket", kTicket, ticket);
  const std::unique_ptr<ProcessFleet::Call> first = fleet.Begin("r1", booking);
  fleet.AwaitRun("by-ticket");
  fleet.KillRouter("r1");
  const HttpResponse again = fleet.FetchUntilDecided("r3", booking);
  CHECK(again.status == 200);
  CHECK(again.headers.Get("papaya-outcome") == "ran");
  CHECK(again.body == R"({"confirmed":"by-ticket"})");
  CHECK(fleet.RunsOf("by-ticket") == 1);
}

TEST_CASE(
    "papayad: while the Object API is unavailable and the issuer is paused "
    "until it is declared dead, nothing runs twice and no not-run is wrong",
    "[process]") {
  OnceFleet fleet({.service = {"--service_ms=500"}});
  const std::vector<std::string> tickets = fleet.Tickets("r2", 3);
  const HttpRequest running =
      ProcessFleet::Booking("running", kTicket, tickets[0]);
  const HttpRequest handed =
      ProcessFleet::Booking("handed", kTicket, tickets[1]);
  const HttpRequest late = ProcessFleet::Booking("late", kTicket, tickets[2]);
  fleet.SetFaults("platform", R"({"outage":true})");
  const std::unique_ptr<ProcessFleet::Call> first = fleet.Begin("r1", running);
  fleet.AwaitRun("running");
  fleet.router("r2").Signal(SIGSTOP);
  const std::unique_ptr<ProcessFleet::Call> waiting = fleet.Begin("r1", handed);
  HttpRequest keyed = ProcessFleet::Booking("keyed", kKey, "keyed");
  keyed.headers.Set("papaya-deadline-ms", "500");
  CHECK(fleet.Outcome("r3", keyed) == "unknown");
  keyed = ProcessFleet::Booking("first", kKey, "first");
  keyed.headers.Set("papaya-deadline-ms", "500");
  keyed.headers.Set("papaya-attempt", "1");
  CHECK(fleet.Outcome("r3", keyed) == "not-run");
  fleet.AwaitEvent("r1", "router_dead", "r2");
  fleet.AwaitEvent("r3", "router_dead", "r2");
  for (const HttpRequest& booking : {running, handed, late}) {
    CHECK(fleet.Outcome("r1", booking) == "unknown");
    CHECK(fleet.Outcome("r3", booking) == "unknown");
  }
  fleet.router("r2").Signal(SIGCONT);
  CHECK(first->End().ok());
  CHECK(waiting->End().ok());
  for (const char* router : {"r1", "r2", "r3"}) {
    const HttpResponse again = fleet.FetchUntilDecided(router, running);
    CHECK(again.headers.Get("papaya-outcome") == "ran");
    // The tickets may have expired if the machine is slow.
    for (const auto& [key, booking] :
         {std::pair("handed", handed), std::pair("late", late)}) {
      const HttpResponse response = fleet.FetchUntilDecided(router, booking);
      const uint64_t runs = fleet.RunsOf(key);
      INFO(key << " through " << router << ": " << response.body);
      CHECK(runs <= 1);
      CHECK(response.headers.Get("papaya-outcome") ==
            (runs == 1 ? "ran" : "not-run"));
    }
  }
  CHECK(fleet.RunsOf("running") == 1);
  fleet.SetFaults("platform", R"({"outage":false})");
  CHECK(fleet.RunsOf("keyed") == 0);
  CHECK(fleet.RunsOf("first") == 0);
}

TEST_CASE(
    "papayad: mixed bookings with one router killed, one paused and the "
    "Object API out run once each at most",
    "[process]") {
  OnceFleet fleet;
  LoadOptions options = fleet.MixedLoad();
  options.rates = {0, 0, 60};
  options.call_timeout = std::chrono::seconds(10);
  const LoadTally tally = fleet.RunLoad(options, [&fleet] {
    fleet.router("r2").Signal(SIGKILL);
    fleet.router("r3").Signal(SIGSTOP);
  });
  fleet.router("r3").Signal(SIGCONT);
  // r3 first processes what it received before it was paused.
  const HttpRequest last = ProcessFleet::Booking("last", kKey, "last");
  CHECK(fleet.Outcome("r3", last) == "ran");
  INFO(tally.ToJson());
  const LedgerCheck check = CheckLedger(tally.bookings(), fleet.Ledger());
  CHECK(check.IsConsistent());
  CHECK(check.once > 0);
}

}  // namespace
}  // namespace papaya
