#include "include/telemetry/trace_context.h"

#include <openssl/rand.h>

#include <algorithm>
#include <array>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

namespace papaya {

namespace {

constexpr size_t kTraceIdBytes = 16;
constexpr size_t kSpanIdBytes = 8;
// 00-<trace id>-<span id>-<flags>
constexpr size_t kTraceIdAt = 3;
constexpr size_t kSpanIdAt = kTraceIdAt + 2 * kTraceIdBytes + 1;
constexpr size_t kFlagsAt = kSpanIdAt + 2 * kSpanIdBytes + 1;
constexpr size_t kHeaderLength = kFlagsAt + 2;

std::string RandomHex(size_t bytes) {
  std::string raw(bytes, '\1');
  RAND_bytes(reinterpret_cast<unsigned char*>(raw.data()),
             static_cast<int>(raw.size()));
  return absl::BytesToHexString(raw);
}

bool IsLowerHex(const std::string& text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  });
}

bool IsId(const std::string& text) {
  return IsLowerHex(text) && text.find_first_not_of('0') != std::string::npos;
}

bool HasSeparators(const std::string& header) {
  return header[kTraceIdAt - 1] == '-' && header[kSpanIdAt - 1] == '-' &&
         header[kFlagsAt - 1] == '-';
}

}  // namespace

TraceContext TraceContext::NewTrace() {
  return {.trace_id = RandomHex(kTraceIdBytes),
          .span_id = RandomHex(kSpanIdBytes)};
}

TraceContext TraceContext::NewChild() const {
  return {.trace_id = trace_id,
          .span_id = RandomHex(kSpanIdBytes),
          .sampled = sampled};
}

std::optional<TraceContext> ParseTraceparent(const std::string& header) {
  const bool longer = header.size() > kHeaderLength;
  if (header.size() < kHeaderLength || !HasSeparators(header) ||
      (longer && header[kHeaderLength] != '-')) {
    return std::nullopt;
  }
  const std::string version = header.substr(0, 2);
  const std::string flags = header.substr(kFlagsAt, 2);
  TraceContext context;
  context.trace_id = header.substr(kTraceIdAt, 2 * kTraceIdBytes);
  context.span_id = header.substr(kSpanIdAt, 2 * kSpanIdBytes);
  if (!IsLowerHex(version) || version == "ff" || (version == "00" && longer) ||
      !IsLowerHex(flags) || !IsId(context.trace_id) || !IsId(context.span_id)) {
    return std::nullopt;
  }
  const std::string raw_flags = absl::HexStringToBytes(flags);
  context.sampled = (raw_flags[0] & 1) != 0;
  return context;
}

std::string FormatTraceparent(const TraceContext& context) {
  return absl::StrCat("00-", context.trace_id, "-", context.span_id,
                      context.sampled ? "-01" : "-00");
}

}  // namespace papaya
