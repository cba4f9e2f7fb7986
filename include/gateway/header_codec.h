#ifndef INCLUDE_GATEWAY_HEADER_CODEC_H_
#define INCLUDE_GATEWAY_HEADER_CODEC_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "include/base/units.h"
#include "include/wire/http_message.h"

namespace papaya {

// A part of a prompt that requests may share, in the order of the prompt.
struct PromptPart {
  uint64_t hash = 0;
  Tokens tokens;
};

// What the headers of a caller's request say.
struct CallerMetadata {
  // One try of the caller; the next one has another id.
  std::string attempt_id;
  // How long the caller waits; empty if it does not say.
  std::optional<Duration> time_limit;
  std::string api_key;
  // Both empty for requests that are no generations.
  std::optional<Tokens> prompt_tokens;
  std::optional<Tokens> max_output_tokens;
  std::vector<PromptPart> prompt_parts;
  // The caller's estimate of the answer's length.
  std::optional<Tokens> expected_output;
  // The caller goes on after this event of a stream; empty if not.
  std::string last_event_id;
};

// What a router adds to a request for an upstream.
struct ForwardMetadata {
  std::string instance;
  // Empty for anonymous requests.
  std::string account;
  Duration time_left{};
  // Go on after this event of a stream; empty to begin at the start.
  std::string last_event_id;
};

// What the headers of an upstream's answer say.
struct ResponseMetadata {
  // Empty if the answer does not say whose it is.
  std::string attempt_id;
  // The upstream states that it did not run the request.
  bool is_not_run = false;
  // Another instance answers at this address.
  bool is_other_instance = false;
  // An idle connection is closed after this time, if the upstream says so.
  std::optional<Duration> idle_timeout;
  // This connection takes no further request.
  bool closes = false;
};

// How headers are spelled between callers, routers and upstreams.
struct HeaderCodec {
  std::function<CallerMetadata(const HttpHeaders&)> read_caller;
  // True for a request header that routers never pass on as the caller sent it.
  std::function<bool(const std::string& name)> is_reserved;
  std::function<void(const ForwardMetadata&, HttpHeaders*)> write_forward;
  std::function<ResponseMetadata(int status, const HttpHeaders&)> read_response;
};

}  // namespace papaya

#endif  // INCLUDE_GATEWAY_HEADER_CODEC_H_
