#include "include/gateway/header_codec.h"

#include "absl/strings/str_cat.h"

namespace papaya {

namespace {

// Bounds the length of a log line.
constexpr size_t kMaxLoggedParts = 8;

}  // namespace

std::string FormatSharedParts(const std::vector<PromptPart>& parts) {
  std::string text;
  for (size_t i = 0; i + 1 < parts.size() && i < kMaxLoggedParts; ++i) {
    absl::StrAppend(&text, i == 0 ? "" : ",", absl::Hex(parts[i].hash));
  }
  return text;
}

}  // namespace papaya
