// The router for the users' platform.

#include <gflags/gflags.h>
#include <malloc.h>
#include <signal.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include "include/base/text_file.h"
#include "include/gateway/gateway.h"
#include "include/telemetry/log_output.h"
#include "include/telemetry/logger.h"
#include "include/wire/event_loop.h"
#include "platform/binding.h"
#include "platform/settings_reader.h"
#include "platform/wire_names.h"
#include "src/program_flags.h"
#include "src/program_settings.h"

DEFINE_string(settings,
              "",
              "Path of the settings file that the platform writes. The default "
              "is the value of its environment variable.");
DEFINE_bool(check_settings,
            false,
            "Check the settings file, print its first error, and exit.");
DEFINE_bool(debug_log, false, "Also log events of severity `debug`.");

namespace {

constexpr char kUsage[] =
    "papaya_gateway [--settings=FILE]\n"
    "Runs one router on the users' platform. SIGTERM starts a graceful "
    "shutdown:\n"
    "readiness probes fail, requests in flight are finished, and the process\n"
    "exits with 0. SIGHUP reads the settings again.\n"
    "Exit codes: 0 stopped or settings valid, 1 could not run, 2 invalid\n"
    "flags or settings.";

std::string SettingsPath() {
  if (!FLAGS_settings.empty()) {
    return FLAGS_settings;
  }
  const char* path = std::getenv(papaya::platform::kSettingsVariable);
  return path == nullptr ? "" : path;
}

absl::StatusOr<papaya::GatewaySettings> LoadSettings(const std::string& path) {
  const absl::StatusOr<std::string> text = papaya::ReadTextFile(path);
  if (!text.ok()) {
    return text.status();
  }
  return papaya::platform::ParseSettings(*text, path);
}

void LogIgnored(const std::vector<std::string>& ignored,
                papaya::Logger* logger) {
  for (const std::string& error : ignored) {
    logger->Log({papaya::EventId::kSettingIgnored, {{"error", error}}});
  }
}

// Interval at which the settings file is read. It may change without a SIGHUP.
constexpr std::chrono::seconds kSettingsInterval{2};

// Reads the settings file on SIGHUP and every kSettingsInterval, and applies
// changed bounds and seeds to the gateway.
class SettingsWatcher {
 public:
  SettingsWatcher(boost::asio::io_context& context,
                  const papaya::GatewaySettings& settings,
                  papaya::Gateway* gateway,
                  papaya::Logger* logger)
      : timer_(context),
        reload_(context, SIGHUP),
        bounds_(settings.bounds),
        ignored_(settings.ignored),
        seeds_(settings.seeds),
        gateway_(gateway),
        logger_(logger) {
    AwaitSignal();
    AwaitTimer();
  }

 private:
  void AwaitSignal() {
    reload_.async_wait([this](const boost::system::error_code& error, int) {
      if (!error) {
        Read();
        AwaitSignal();
      }
    });
  }

  void AwaitTimer() {
    timer_.expires_after(kSettingsInterval);
    timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        Read();
        AwaitTimer();
      }
    });
  }

  void Read() {
    const absl::StatusOr<papaya::GatewaySettings> settings =
        LoadSettings(SettingsPath());
    if (!settings.ok()) {
      // Each error is logged once because the file may stay invalid for long.
      if (settings.status() != last_error_) {
        papaya::LogInvalidSettings(settings.status(), logger_);
      }
      last_error_ = settings.status();
      return;
    }
    last_error_ = absl::OkStatus();
    if (settings->ignored != ignored_) {
      ignored_ = settings->ignored;
      LogIgnored(ignored_, logger_);
    }
    if (settings->bounds != bounds_) {
      bounds_ = settings->bounds;
      gateway_->SetBounds(bounds_);
    }
    if (settings->seeds != seeds_) {
      seeds_ = settings->seeds;
      gateway_->SetSeeds(seeds_);
    }
  }

  boost::asio::steady_timer timer_;
  boost::asio::signal_set reload_;
  papaya::GatewayBounds bounds_;
  std::vector<std::string> ignored_;
  std::vector<std::string> seeds_;
  papaya::Gateway* const gateway_;
  papaya::Logger* const logger_;
  absl::Status last_error_;
};

// Makes the allocator return the memory of bodies to the system when they end.
// By default glibc raises the threshold for separate mappings to the size of
// the largest block that was freed, after which large bodies fragment the heap.
void SetAllocatorOptions() {
  constexpr int kMapThreshold = 128 * 1024;
  constexpr int kTrimThreshold = 1024 * 1024;
  constexpr int kMaxArenas = 2;
  mallopt(M_MMAP_THRESHOLD, kMapThreshold);
  mallopt(M_TRIM_THRESHOLD, kTrimThreshold);
  mallopt(M_ARENA_MAX, kMaxArenas);
}

int Run(const papaya::GatewaySettings& settings, papaya::Logger* logger) {
  boost::asio::io_context context(1);
  papaya::Gateway gateway(context, settings, papaya::platform::MakeBinding(),
                          logger);
  const absl::Status started = gateway.Start();
  if (!started.ok()) {
    std::cerr << started.message() << "\n";
    return papaya::kExitFailed;
  }
  LogIgnored(settings.ignored, logger);
  const SettingsWatcher watch(context, settings, &gateway, logger);
  boost::asio::signal_set stop(context, SIGTERM, SIGINT);
  stop.async_wait([&](const boost::system::error_code&, int) {
    gateway.Drain([&context] { context.stop(); });
  });
  papaya::RunEventLoop(&context, logger);
  return papaya::kExitOk;
}

}  // namespace

int main(int argc, char** argv) {
  const std::optional<int> flags_exit_code =
      papaya::ReadProgramFlags("papaya_gateway", kUsage, &argc, &argv);
  if (flags_exit_code.has_value()) {
    return *flags_exit_code;
  }
  signal(SIGPIPE, SIG_IGN);
  papaya::LogOutput output(STDOUT_FILENO);
  papaya::Logger logger(output.stream(), FLAGS_debug_log
                                             ? papaya::Severity::kDebug
                                             : papaya::Severity::kInfo);
  const absl::StatusOr<papaya::GatewaySettings> settings =
      LoadSettings(SettingsPath());
  const std::optional<int> check_exit_code = papaya::CheckSettings(
      settings, SettingsPath(), FLAGS_check_settings, &logger);
  if (check_exit_code.has_value()) {
    return *check_exit_code;
  }
  if (settings->memory_limit > papaya::Bytes(0)) {
    SetAllocatorOptions();
  }
  return Run(*settings, &logger);
}
