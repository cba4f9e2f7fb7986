#include <charconv>
#include <cstddef>

#include "absl/strings/str_format.h"
#include "include/rollout/release_note.h"

namespace papaya {

namespace {

constexpr size_t kWallTimeLength = 20;  // `2026-12-04T18:00:00Z`

// Returns the number in `text` from `start` to `end`; empty unless all its
// characters are digits.
std::optional<int> ReadDigits(const std::string& text,
                              size_t start,
                              size_t end) {
  int value = 0;
  const char* const last = text.data() + end;
  const std::from_chars_result result =
      std::from_chars(text.data() + start, last, value);
  if (result.ec != std::errc() || result.ptr != last || value < 0) {
    return std::nullopt;
  }
  return value;
}

bool HasSeparators(const std::string& text) {
  return text.size() == kWallTimeLength && text[4] == '-' && text[7] == '-' &&
         text[10] == 'T' && text[13] == ':' && text[16] == ':' &&
         text[19] == 'Z';
}

}  // namespace

std::string FormatWallTime(WallTime time) {
  const std::chrono::sys_days day = std::chrono::floor<std::chrono::days>(time);
  const std::chrono::year_month_day date(day);
  const std::chrono::hh_mm_ss<std::chrono::seconds> clock(
      std::chrono::floor<std::chrono::seconds>(time - day));
  return absl::StrFormat(
      "%04d-%02d-%02dT%02d:%02d:%02dZ", static_cast<int>(date.year()),
      static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()),
      clock.hours().count(), clock.minutes().count(), clock.seconds().count());
}

std::optional<WallTime> ParseWallTime(const std::string& text) {
  if (!HasSeparators(text)) {
    return std::nullopt;
  }
  const std::optional<int> year = ReadDigits(text, 0, 4);
  const std::optional<int> month = ReadDigits(text, 5, 7);
  const std::optional<int> day = ReadDigits(text, 8, 10);
  const std::optional<int> hour = ReadDigits(text, 11, 13);
  const std::optional<int> minute = ReadDigits(text, 14, 16);
  const std::optional<int> second = ReadDigits(text, 17, 19);
  if (!year || !month || !day || !hour || !minute || !second) {
    return std::nullopt;
  }
  const std::chrono::year_month_day date = std::chrono::year(*year) /
                                           std::chrono::month(*month) /
                                           std::chrono::day(*day);
  if (!date.ok() || *hour > 23 || *minute > 59 || *second > 59) {
    return std::nullopt;
  }
  return WallTime(std::chrono::sys_days(date) + std::chrono::hours(*hour) +
                  std::chrono::minutes(*minute) +
                  std::chrono::seconds(*second));
}

}  // namespace papaya
