// papaya_load: sends mixed traffic over several routers and checks the answers.

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
              "Callers' addresses of the routers, IP:PORT, between commas.");
DEFINE_string(ledgers,
              "",
              "Addresses of stand-in services, between commas. Their ledgers "
              "are compared with what callers were told of bookings.");
DEFINE_string(token, "", "Bearer token of the client account.");
DEFINE_string(run, "run", "Part of all booking keys; new for each run.");
DEFINE_uint64(seed, 1, "Seed of the plan.");
DEFINE_double(seconds, 10, "Requests are sent for so long, or until SIGTERM.");
DEFINE_double(chat_rate, 10, "Chats a second.");
DEFINE_double(report_rate, 1, "Reports a second.");
DEFINE_double(booking_rate, 5, "Bookings a second.");
DEFINE_string(chat_model, "assistant", "Model of chats.");
DEFINE_string(report_model, "assistant", "Model of reports.");
DEFINE_string(report_route, "plan", "Value of papaya-route on reports.");
DEFINE_string(booking_path, "/svc/booking/hires", "Path of bookings.");
DEFINE_int32(report_tokens, 400, "Length of a report.");
DEFINE_int32(ticket_permille, 500, "Bookings under a ticket.");
DEFINE_int32(stream_permille, 700, "Chats and reports that are streamed.");
DEFINE_double(call_timeout_seconds, 60, "A call without end counts as cut.");

namespace papaya {
namespace {

constexpr int kUsageError = 2;
constexpr int kIncompleteCalls = 1;
constexpr int kLedgerMismatch = 3;
constexpr Duration kLedgerTimeout = std::chrono::seconds(5);

// True if no call that ended otherwise than whole.
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

// Prints the ledgers' line; true if nothing is amiss.
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
    std::cerr << "papaya_load: --routers names at least one IP:PORT\n";
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
      "sends mixed traffic over several routers and checks the answers; exits "
      "0 if all were whole, 1 if not, 2 on wrong flags, 3 if a booking was not "
      "run as its caller was told",
      &argc, &argv);
  return ended.has_value() ? *ended : papaya::Run();
}
