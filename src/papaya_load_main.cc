// papaya_load: a load generator that sends mixed traffic through several
// routers and checks the responses.

#include <gflags/gflags.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>
#include <iostream>
#include <map>

#include "include/settings/value_parsers.h"
#include "include/standin/ledger_check.h"
#include "include/standin/load_runner.h"
#include "include/wire/http_client.h"
#include "include/wire/steady_time.h"
#include "src/program_flags.h"

DEFINE_string(routers,
              "",
              "Comma-separated caller addresses of the routers, IP:PORT.");
DEFINE_string(ledgers,
              "",
              "Comma-separated addresses of stand-in services. Their ledgers "
              "are compared with the outcomes of the bookings.");
DEFINE_string(token, "", "Bearer token of the client account.");
DEFINE_string(run,
              "run",
              "Part of all booking keys; must differ between runs.");
DEFINE_uint64(seed, 1, "Seed of the load plan.");
DEFINE_double(seconds, 10, "Seconds to send requests, unless SIGTERM ends it.");
DEFINE_double(chat_rate, 10, "Chats per second.");
DEFINE_double(report_rate, 1, "Reports per second.");
DEFINE_double(booking_rate, 5, "Bookings per second.");
DEFINE_string(chat_model, "assistant", "Model of chats.");
DEFINE_string(report_model, "assistant", "Model of reports.");
DEFINE_string(report_route, "plan", "papaya-route header of reports.");
DEFINE_string(booking_path, "/svc/booking/hires", "Path of bookings.");
DEFINE_int32(report_tokens, 400, "Length of a report in tokens.");
DEFINE_int32(ticket_permille, 500, "Bookings with a ticket, in permille.");
DEFINE_int32(stream_permille, 700, "Streamed chats and reports, in permille.");
DEFINE_double(call_timeout_seconds,
              60,
              "Time limit of a call; later, it counts as cut.");

namespace papaya {
namespace {

constexpr int kUsageError = 2;
constexpr int kIncompleteCalls = 1;
constexpr int kLedgerMismatch = 3;
constexpr Duration kLedgerTimeout = std::chrono::seconds(5);

// Returns true if all calls ended as kWhole.
bool AreAllCallsWhole(const LoadTally& tally) {
  for (const LoadKind kind : kAllLoadKinds) {
    for (size_t end = 0; end < kCallOutcomeCount; ++end) {
      if (static_cast<CallOutcome>(end) != CallOutcome::kWhole &&
          tally.Count(kind, static_cast<CallOutcome>(end)) > 0) {
        return false;
      }
    }
  }
  return true;
}

LoadOptions OptionsFromFlags() {
  LoadOptions options;
  options.routers = SplitList(FLAGS_routers);
  options.token = FLAGS_token;
  options.run = FLAGS_run;
  options.seed = FLAGS_seed;
  options.rates = {FLAGS_chat_rate, FLAGS_report_rate, FLAGS_booking_rate};
  options.duration = SecondsToDuration(FLAGS_seconds);
  options.chat_model = FLAGS_chat_model;
  options.report_model = FLAGS_report_model;
  options.report_route = FLAGS_report_route;
  options.booking_path = FLAGS_booking_path;
  options.report_tokens = Tokens(FLAGS_report_tokens);
  options.with_ticket = Permille(FLAGS_ticket_permille);
  options.streamed = Permille(FLAGS_stream_permille);
  options.call_timeout = SecondsToDuration(FLAGS_call_timeout_seconds);
  return options;
}

// Reads the ledger of the service at `address` into `runs`.
boost::asio::awaitable<void> ReadLedger(std::string address,
                                        std::map<std::string, uint64_t>& runs) {
  HttpRequest request;
  request.target = "/ledger";
  const absl::StatusOr<HttpResponse> response =
      co_await FetchHttp(address, request, SteadyNow() + kLedgerTimeout);
  const absl::Status read =
      response.ok() ? AddLedger(response->body, runs) : response.status();
  if (!read.ok()) {
    std::cerr << "papaya_load: ledger of " << address << ": " << read.message()
              << "\n";
  }
}

// Reads the ledgers, prints the result of the comparison, and returns true if
// they are consistent with the outcomes of the bookings.
bool CheckLedgers(const LoadTally& tally) {
  boost::asio::io_context context(1);
  std::map<std::string, uint64_t> runs;
  for (const std::string& address : SplitList(FLAGS_ledgers)) {
    boost::asio::co_spawn(context, ReadLedger(address, runs),
                          boost::asio::detached);
  }
  context.run();
  const LedgerCheck check = CheckLedger(tally.bookings(), runs);
  std::cout << boost::json::serialize(boost::json::object{
                   {"bookings_once", check.once},
                   {"bookings_repeated", check.repeated},
                   {"confirmed_without_run", check.confirmed_without_run},
                   {"wrong_not_run", check.wrong_not_run}})
            << std::endl;
  return check.IsConsistent();
}

int Run() {
  const LoadOptions options = OptionsFromFlags();
  if (options.routers.empty()) {
    std::cerr << "papaya_load: --routers must have at least one IP:PORT\n";
    return kUsageError;
  }
  boost::asio::io_context context(1);
  boost::asio::signal_set signals(context, SIGINT, SIGTERM);
  LoadRunner runner(&context, options, [&signals] { signals.cancel(); });
  signals.async_wait([&runner](const boost::system::error_code& error, int) {
    if (!error) {
      runner.Stop();
    }
  });
  runner.Start();
  context.run();
  std::cout << runner.tally().ToJson() << std::endl;
  if (!FLAGS_ledgers.empty() && !CheckLedgers(runner.tally())) {
    return kLedgerMismatch;
  }
  return AreAllCallsWhole(runner.tally()) ? 0 : kIncompleteCalls;
}

}  // namespace
}  // namespace papaya

int main(int argc, char** argv) {
  const std::optional<int> ended = papaya::ReadProgramFlags(
      "papaya_load",
      "sends mixed traffic through several routers and checks the responses; "
      "exits with 0 if all were complete, 1 if not, 2 on invalid flags, 3 if "
      "the runs of a booking contradict its outcome",
      &argc, &argv);
  return ended.has_value() ? *ended : papaya::Run();
}
