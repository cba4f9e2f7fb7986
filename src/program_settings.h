#ifndef SRC_PROGRAM_SETTINGS_H_
#define SRC_PROGRAM_SETTINGS_H_

#include <iostream>
#include <optional>
#include <string>

#include "absl/status/statusor.h"
#include "include/telemetry/event.h"
#include "include/telemetry/logger.h"

namespace papaya {

// Exit codes of routers.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailed = 1;
inline constexpr int kExitBadSettings = 2;

// Logs the faults of settings that can't be used.
inline void LogInvalidSettings(const absl::Status& errors, Logger* logger) {
  Event event{.id = EventId::kSettingsRefused};
  event.fields = {{"faults", std::string(errors.message())}};
  logger->Log(event);
}

// Gives the exit code if a router has to end: after the faults of its
// `settings`, read from `path`, or if it was to check them only.
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
