#ifndef INCLUDE_SETTINGS_VALUE_PARSERS_H_
#define INCLUDE_SETTINGS_VALUE_PARSERS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "include/base/units.h"

namespace papaya {

// Readers of single values in settings and release notes. Each gives an empty
// result if `text` is not wholly such a value.

// A whole number in [least, most], in decimal.
std::optional<int64_t> ParseWholeNumber(const std::string& text,
                                        int64_t least,
                                        int64_t most);

// `true` or `yes`, `false` or `no`. Settings are written with the first,
// release notes with the second; both take either.
std::optional<bool> ParseBool(const std::string& text);

// A positive whole number with the unit `ms`, `s`, `m` or `h`, as `250ms`. At
// most 1000 h.
std::optional<Duration> ParseDuration(const std::string& text);

// A positive whole number of bytes, alone or with `KiB`, `MiB` or `GiB`. At
// most 1024 GiB.
std::optional<Bytes> ParseBytes(const std::string& text);

// True for up to 64 letters, digits, `-`, `_` and `.`, starting with a letter
// or digit.
bool IsName(const std::string& text);

// True for 64 lower-case hex digits.
bool IsSha256Hex(const std::string& text);

enum class PortZero : uint8_t { kAllowed, kRefused };

// True for `1.2.3.4:80` and `[::1]:80`.
bool IsIpAddressAndPort(const std::string& text, PortZero port_zero);

// The parts of `text` between commas, without the white space around them.
// Empty text has none; an empty part is kept.
std::vector<std::string> SplitList(const std::string& text);

}  // namespace papaya

#endif  // INCLUDE_SETTINGS_VALUE_PARSERS_H_
