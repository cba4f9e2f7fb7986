// The router daemon `papayad`.

#include <gflags/gflags.h>
#include <signal.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <iostream>
#include <memory>
#include <optional>

#include "include/daemon/router_daemon.h"
#include "include/settings/router_settings.h"
#include "include/telemetry/event_page.h"
#include "include/telemetry/log_output.h"
#include "include/telemetry/logger.h"
#include "src/program_flags.h"
#include "src/program_settings.h"

DEFINE_string(settings, "", "The router's settings file (INI).");
DEFINE_bool(check_settings,
            false,
            "Check the settings file, print all errors, and exit.");
DEFINE_bool(list_events, false, "Print docs/EVENTS.md and exit.");
DEFINE_bool(debug_log, false, "Also log events of severity `debug`.");

namespace {

constexpr char kUsage[] =
    "papayad --settings=FILE\n"
    "Runs one router. SIGTERM or SIGINT shuts it down gracefully: it\n"
    "accepts no new connections, finishes its requests, and exits with 0.\n"
    "Exit codes: 0 stopped or settings valid, 1 could not run, 2 invalid\n"
    "flags or settings.";

int Run(const papaya::RouterSettings& settings, papaya::Logger& logger) {
  absl::StatusOr<std::unique_ptr<papaya::RouterDaemon>> daemon =
      papaya::RouterDaemon::Create(settings, &logger);
  if (!daemon.ok()) {
    std::cerr << daemon.status().message() << "\n";
    return papaya::kExitBadSettings;
  }
  boost::asio::io_context signals;
  boost::asio::signal_set stop(signals, SIGTERM, SIGINT);
  const absl::Status started = (*daemon)->Start();
  if (!started.ok()) {
    std::cerr << started.message() << "\n";
    return papaya::kExitFailed;
  }
  stop.async_wait(
      [&daemon](const boost::system::error_code&, int) { (*daemon)->Drain(); });
  signals.run();
  (*daemon)->Wait();
  return papaya::kExitOk;
}

}  // namespace

int main(int argc, char** argv) {
  const std::optional<int> flags_exit_code =
      papaya::ReadProgramFlags("papayad", kUsage, &argc, &argv);
  if (flags_exit_code.has_value()) {
    return *flags_exit_code;
  }
  signal(SIGPIPE, SIG_IGN);

  if (FLAGS_list_events) {
    std::cout << papaya::RenderEventPage();
    return papaya::kExitOk;
  }
  if (FLAGS_settings.empty() || argc > 1) {
    std::cerr
        << "papayad: requires --settings=FILE and accepts no other arguments\n";
    return papaya::kExitBadSettings;
  }
  papaya::LogOutput output(STDOUT_FILENO);
  papaya::Logger logger(output.stream(), FLAGS_debug_log
                                             ? papaya::Severity::kDebug
                                             : papaya::Severity::kInfo);
  const absl::StatusOr<papaya::RouterSettings> settings =
      papaya::LoadRouterSettings(FLAGS_settings);
  const std::optional<int> settings_exit_code = papaya::CheckSettings(
      settings, FLAGS_settings, FLAGS_check_settings, &logger);
  if (settings_exit_code.has_value()) {
    return *settings_exit_code;
  }
  return Run(*settings, logger);
}
