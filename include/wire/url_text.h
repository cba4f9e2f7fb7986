#ifndef INCLUDE_WIRE_URL_TEXT_H_
#define INCLUDE_WIRE_URL_TEXT_H_

#include <optional>
#include <string>

namespace papaya {

// `text` percent-encoded for a path or the value of a query; letters, digits,
// `-`, `_`, `.`, `~` and `/` stay.
std::string EncodeUrlText(const std::string& text);

// What EncodeUrlText was given; empty if `encoded` is broken.
std::optional<std::string> DecodeUrlText(const std::string& encoded);

}  // namespace papaya

#endif  // INCLUDE_WIRE_URL_TEXT_H_
