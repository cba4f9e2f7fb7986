#include "src/gateway/request_format.h"

#include <algorithm>
#include <array>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace papaya {

namespace {

// A header line takes two strings, with the allocator's overhead for each.
constexpr size_t kLineMemory = 96;
// The objects of a request in progress, its hooks and the scheduler's entry.
constexpr size_t kRequestObjects = 4096;
// A prompt part takes an entry of the metadata and those of its blocks in the
// scheduler, and vectors hold up to twice what they contain.
constexpr size_t kPartMemory = 96;

// Hop-by-hop headers (RFC 9110, 7.6.1), and headers that frame a message or are
// addressed to this router.
constexpr std::array<const char*, 10> kHopByHopHeaders = {"connection",
                                                          "keep-alive",
                                                          "proxy-authenticate",
                                                          "proxy-authorization",
                                                          "te",
                                                          "trailer",
                                                          "transfer-encoding",
                                                          "upgrade",
                                                          "proxy-connection",
                                                          "expect"};

// Returns the names of the headers that must not be forwarded, including those
// that the Connection header lists.
std::vector<std::string> HopByHopNames(const HttpHeaders& headers) {
  std::vector<std::string> names(kHopByHopHeaders.begin(),
                                 kHopByHopHeaders.end());
  for (const auto& [name, value] : headers.lines()) {
    if (!absl::EqualsIgnoreCase(name, "connection")) {
      continue;
    }
    for (absl::string_view token : absl::StrSplit(value, ',')) {
      names.emplace_back(absl::StripAsciiWhitespace(token));
    }
  }
  return names;
}

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::any_of(names.begin(), names.end(),
                     [&name](const std::string& other) {
                       return absl::EqualsIgnoreCase(name, other);
                     });
}

}  // namespace

HttpHeaders EndToEndHeaders(const HttpHeaders& headers) {
  const std::vector<std::string> hop_by_hop_names = HopByHopNames(headers);
  HttpHeaders kept;
  for (const auto& [name, value] : headers.lines()) {
    if (!Contains(hop_by_hop_names, name)) {
      kept.Add(name, value);
    }
  }
  return kept;
}

std::string FormatRequestHead(const HttpRequest& request,
                              size_t body_bytes,
                              const ForwardMetadata& metadata,
                              const HeaderCodec& codec) {
  const HttpHeaders passed = EndToEndHeaders(request.headers);
  HttpHeaders headers;
  for (const auto& [name, value] : passed.lines()) {
    if (!codec.is_reserved(name) &&
        !absl::EqualsIgnoreCase(name, "content-length")) {
      headers.Add(name, value);
    }
  }
  codec.write_forward(metadata, &headers);
  std::string bytes =
      absl::StrCat(request.method, " ", request.target, " HTTP/1.1\r\n");
  for (const auto& [name, value] : headers.lines()) {
    absl::StrAppend(&bytes, name, ": ", value, "\r\n");
  }
  if (body_bytes > 0 || request.method == "POST" || request.method == "PUT") {
    absl::StrAppend(&bytes, "Content-Length: ", body_bytes, "\r\n");
  }
  bytes += "\r\n";
  return bytes;
}

size_t HeadMemory(const HttpHeaders& headers) {
  size_t bytes = 0;
  for (const auto& [name, value] : headers.lines()) {
    bytes += kLineMemory + name.size() + value.size();
  }
  return bytes;
}

size_t RequestMemory(const HttpRequest& request,
                     const CallerMetadata& metadata) {
  return kRequestObjects + HeadMemory(request.headers) + request.target.size() +
         metadata.prompt_parts.size() * kPartMemory;
}

}  // namespace papaya
