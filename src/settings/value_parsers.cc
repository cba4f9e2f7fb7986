#include "include/settings/value_parsers.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>

#include "absl/strings/ascii.h"
#include "absl/strings/str_split.h"

namespace papaya {

namespace {

constexpr size_t kMaxNameLength = 64;
constexpr size_t kSha256HexLength = 64;
constexpr int kMaxPort = 65535;
constexpr int64_t kMaxDurationMs = int64_t{1000} * 3600 * 1000;
constexpr int64_t kMaxBytes = int64_t{1} << 40;

// A unit and how many of the smallest unit it stands for.
struct Unit {
  const char* name;
  int64_t factor;
};

constexpr std::array<Unit, 4> kDurationUnits = {
    {{"ms", 1}, {"s", 1000}, {"m", 60 * 1000}, {"h", 3600 * 1000}}};
constexpr std::array<Unit, 4> kByteUnits = {
    {{"", 1}, {"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}}};

// A positive number followed by one of `units`, in the smallest unit.
template <size_t kCount>
std::optional<int64_t> ParseWithUnit(const std::string& text,
                                     const std::array<Unit, kCount>& units,
                                     int64_t most) {
  const size_t digits =
      std::min(text.find_first_not_of("0123456789"), text.size());
  const std::string name = text.substr(digits);
  for (const Unit& unit : units) {
    if (name != unit.name) {
      continue;
    }
    const std::optional<int64_t> number =
        ParseWholeNumber(text.substr(0, digits), 1, most / unit.factor);
    if (!number) {
      return std::nullopt;
    }
    return *number * unit.factor;
  }
  return std::nullopt;
}

bool IsIpAddress(const std::string& text) {
  std::array<unsigned char, sizeof(in6_addr)> bytes;
  if (text.size() > 2 && text.front() == '[' && text.back() == ']') {
    const std::string inner = text.substr(1, text.size() - 2);
    return inet_pton(AF_INET6, inner.c_str(), bytes.data()) == 1;
  }
  return inet_pton(AF_INET, text.c_str(), bytes.data()) == 1;
}

bool IsNameCharacter(char c) {
  return absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '-' ||
         c == '_' || c == '.';
}

}  // namespace

std::optional<int64_t> ParseWholeNumber(const std::string& text,
                                        int64_t least,
                                        int64_t most) {
  int64_t number = 0;
  const char* end = text.data() + text.size();
  const std::from_chars_result result =
      std::from_chars(text.data(), end, number);
  if (text.empty() || result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  if (number < least || number > most) {
    return std::nullopt;
  }
  return number;
}

std::optional<bool> ParseBool(const std::string& text) {
  if (text == "true" || text == "yes") {
    return true;
  }
  if (text == "false" || text == "no") {
    return false;
  }
  return std::nullopt;
}

std::optional<Duration> ParseDuration(const std::string& text) {
  const std::optional<int64_t> ms =
      ParseWithUnit(text, kDurationUnits, kMaxDurationMs);
  if (!ms) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(*ms);
}

std::optional<Bytes> ParseBytes(const std::string& text) {
  const std::optional<int64_t> bytes =
      ParseWithUnit(text, kByteUnits, kMaxBytes);
  if (!bytes) {
    return std::nullopt;
  }
  return Bytes(*bytes);
}

bool IsName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         absl::ascii_isalnum(static_cast<unsigned char>(text.front())) &&
         std::all_of(text.begin(), text.end(), IsNameCharacter);
}

bool IsSha256Hex(const std::string& text) {
  return text.size() == kSha256HexLength &&
         text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

bool IsIpAddressAndPort(const std::string& text, PortZero port_zero) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  const int least = port_zero == PortZero::kAllowed ? 0 : 1;
  return IsIpAddress(text.substr(0, colon)) &&
         ParseWholeNumber(text.substr(colon + 1), least, kMaxPort).has_value();
}

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> parts;
  if (absl::StripAsciiWhitespace(text).empty()) {
    return parts;
  }
  for (absl::string_view part : absl::StrSplit(text, ',')) {
    parts.emplace_back(absl::StripAsciiWhitespace(part));
  }
  return parts;
}

}  // namespace papaya
