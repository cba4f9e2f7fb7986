#ifndef SRC_PROGRAM_SETTINGS_H_
#define SRC_PROGRAM_SETTINGS_H_

#include <iostream>
#include <optional>
#include <string>

#include "absl/status/statusor.h"
#include "include/telemetry/event.h"
#include "include/telemetry/logger.h"

namespace papaya {

// Exit codes of the router programs.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailed = 1;
inline constexpr int kExitBadSettings = 2;

// Logs the errors of an invalid settings file.
inline void LogInvalidSettings(const absl::Status& errors, Logger* logger) {
  Event event{.id = EventId::kSettingsRefused};
  event.fields = {{"faults", std::string(errors.message())}};
  logger->Log(event);
}

// Returns an exit code if the program must exit: after printing the errors of
// `settings`, read from `path`, or if it was only asked to check them.
template <typename Settings>
std::optional<int> CheckSettings(const absl::StatusOr<Settings>& settings,
                                 const std::string& path,
                                 bool is_check_only,
                                 Logger* logger) {
  if (!settings.ok()) {
    LogInvalidSettings(settings.status(), logger);
    std::cerr << settings.status().message() << "\n";
    return kExitBadSettings;
  }
  if (is_check_only) {
    std::cout << path << ": good\n";
    return kExitOk;
  }
  return std::nullopt;
}

}  // namespace papaya

#endif  // SRC_PROGRAM_SETTINGS_H_
