#ifndef INCLUDE_GATEWAY_HEADER_CODEC_H_
#define INCLUDE_GATEWAY_HEADER_CODEC_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "include/base/units.h"
#include "include/wire/http_message.h"

namespace papaya {

// One segment of a prompt. Requests whose prompts start with the same segments
// can share an engine's cache for them.
struct PromptPart {
  // Identifies the segment's text; equal in all routers.
  uint64_t hash = 0;
  Tokens tokens;
};

// Formats the hashes of the parts that other requests may share, that is, all
// but the last one, for logs. At most kMaxLoggedParts of them.
std::string FormatSharedParts(const std::vector<PromptPart>& parts);

// Metadata from the headers of a caller's request.
struct CallerMetadata {
  // Identifies one attempt of the caller; its retries have other ids.
  std::string attempt_id;
  // How long the caller waits for the response; empty if not stated.
  std::optional<Duration> time_limit;
  std::string api_key;
  // Both are empty for requests that generate no text.
  std::optional<Tokens> prompt_tokens;
  std::optional<Tokens> max_output_tokens;
  std::vector<PromptPart> prompt_parts;
  // The caller's estimate of the response's length.
  std::optional<Tokens> expected_output;
  // The caller resumes a stream after this event; empty for a new stream.
  std::string last_event_id;
};

// Metadata that a router adds to a request before it sends it to an upstream.
struct ForwardMetadata {
  std::string instance;
  // Empty for anonymous requests.
  std::string account;
  Duration time_left{};
  // Resume the stream after this event; empty to start from the beginning.
  std::string last_event_id;
};

// Metadata from the headers of an upstream's response.
struct ResponseMetadata {
  // The attempt that is answered; empty if the response does not name it.
  std::string attempt_id;
  // The upstream states that it did not run the request.
  bool is_not_run = false;
  // The request reached an instance other than the expected one.
  bool is_other_instance = false;
  // The upstream closes idle connections after this time; empty if not stated.
  std::optional<Duration> idle_timeout;
  // The upstream closes the connection after this response.
  bool closes = false;
  // The upstream is shutting down and must get no new requests.
  bool is_leaving = false;
  // The upstream rejected the request and wants no further ones from this
  // router for this time; empty if not stated.
  std::optional<Duration> retry_after;
  // How much longer the upstream stays cold; empty if not stated.
  std::optional<Duration> warmup_left;
  // Why the time that it stated can't be used; empty if it can.
  std::string warmup_error;

  // The requests a second that the upstream takes from all routers together;
  // empty if it does not limit them.
  std::optional<double> limit_per_second;
  // Why the limit that it named can't be used; empty if it can.
  std::string limit_error;

  bool HasWarmup() const {
    return warmup_left.has_value() || !warmup_error.empty();
  }
};

// Reads and writes the platform's headers between callers, routers and
// upstreams.
struct HeaderCodec {
  std::function<CallerMetadata(const HttpHeaders&)> read_caller;
  // Returns true for request headers that routers never forward as received
  // from the caller. `name` is case-insensitive.
  std::function<bool(const std::string& name)> is_reserved;
  std::function<void(const ForwardMetadata&, HttpHeaders*)> write_forward;
  std::function<ResponseMetadata(int status, const HttpHeaders&)> read_response;
};

}  // namespace papaya

#endif  // INCLUDE_GATEWAY_HEADER_CODEC_H_
