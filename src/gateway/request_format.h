#ifndef SRC_GATEWAY_REQUEST_FORMAT_H_
#define SRC_GATEWAY_REQUEST_FORMAT_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "include/gateway/header_codec.h"
#include "include/wire/http_message.h"

namespace papaya {

// The memory that a request in progress reserves for its response: one read of
// the response under a memory limit, and the receive queue of the connection to
// the upstream. See tcp_channel.cc.
inline constexpr int64_t kResponseReserve = int64_t{16 + 64} * 1024;

// Returns the headers to forward: all but hop-by-hop ones. Content-Length is
// one of them, so that the receiver learns the length.
HttpHeaders EndToEndHeaders(const HttpHeaders& headers);

// Returns the header section of `request` for an upstream, with the empty line.
std::string FormatRequestHead(const HttpRequest& request,
                              size_t body_bytes,
                              const ForwardMetadata& metadata,
                              const HeaderCodec& codec);

// Returns about how much memory `headers` take.
size_t HeadMemory(const HttpHeaders& headers);

// Returns about how much memory a request without its body takes, including the
// scheduler's state for its prompt parts.
size_t RequestMemory(const HttpRequest& request,
                     const CallerMetadata& metadata);

}  // namespace papaya

#endif  // SRC_GATEWAY_REQUEST_FORMAT_H_
