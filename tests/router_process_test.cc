#include <catch2/catch.hpp>

#include "include/standin/ledger_check.h"
#include "tests/process_fleet.h"

namespace papaya {
namespace {

// Bookings carry idempotency keys and no tickets, so that any router can decide
// them.
LoadOptions LoadOn(const ProcessFleet& fleet) {
  LoadOptions options = fleet.MixedLoad();
  options.with_ticket = Permille(0);
  return options;
}

uint64_t CountAll(const LoadTally& tally, CallOutcome end) {
  uint64_t count = 0;
  for (const LoadKind kind : kAllLoadKinds) {
    count += tally.Count(kind, end);
  }
  return count;
}

TEST_CASE("papayad: serves chats, streams and bookings completely",
          "[process]") {
  ProcessFleet fleet;
  fleet.StartRouter("r1");
  const LoadTally tally = fleet.RunLoad(LoadOn(fleet));
  INFO(tally.ToJson());
  for (const LoadKind kind : kAllLoadKinds) {
    CHECK(tally.Count(kind, CallOutcome::kWhole) > 0);
  }
  for (const CallOutcome end :
       {CallOutcome::kNotRun, CallOutcome::kUnknown, CallOutcome::kFailed,
        CallOutcome::kWrong, CallOutcome::kCut}) {
    CHECK(CountAll(tally, end) == 0);
  }
  const LedgerCheck ledger = CheckLedger(tally.bookings(), fleet.Ledger());
  CHECK(ledger.IsConsistent());
  CHECK(ledger.once == tally.Count(LoadKind::kBooking, CallOutcome::kWhole));
  fleet.router("r1").Signal(SIGTERM);
  CHECK(fleet.router("r1").Wait() == 0);
}

TEST_CASE("papayad: callers continue through other routers when one is killed",
          "[process]") {
  ProcessFleet fleet;
  for (const char* name : {"r1", "r2", "r3"}) {
    fleet.StartRouter(name);
  }
  const LoadTally tally = fleet.RunLoad(
      LoadOn(fleet), [&fleet] { fleet.router("r2").Signal(SIGKILL); });
  INFO(tally.ToJson());
  for (const LoadKind kind : {LoadKind::kChat, LoadKind::kReport}) {
    CHECK(tally.Count(kind, CallOutcome::kWhole) > 0);
    for (const CallOutcome end :
         {CallOutcome::kNotRun, CallOutcome::kUnknown, CallOutcome::kFailed,
          CallOutcome::kWrong, CallOutcome::kCut}) {
      CHECK(tally.Count(kind, end) == 0);
    }
  }
  CHECK(tally.Count(LoadKind::kBooking, CallOutcome::kWhole) > 0);
  CHECK(CheckLedger(tally.bookings(), fleet.Ledger()).IsConsistent());
}

TEST_CASE("papayad: keeps serving and shuts down while nobody reads its log",
          "[process]") {
  ProcessFleet fleet;
  fleet.StartRouter("r1");
  const std::string ticket = fleet.Tickets("r1", 1).front();
  fleet.KillRouter("r1");
  fleet.StartRouter("r1");
  const HttpRequest booking =
      ProcessFleet::Booking("booking", "papaya-ticket", ticket);
  // Each response is logged; a pipe buffers about 500 of these log lines.
  constexpr int kRequests = 1500;
  for (int i = 0; i < kRequests; ++i) {
    const HttpResponse response = fleet.Fetch(fleet.address("r1"), booking);
    REQUIRE(response.headers.Get("papaya-outcome") == "unknown");
  }
  fleet.router("r1").Signal(SIGTERM);
  CHECK(fleet.router("r1").Wait() == 0);
}

}  // namespace
}  // namespace papaya
