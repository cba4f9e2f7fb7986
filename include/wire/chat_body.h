#ifndef INCLUDE_WIRE_CHAT_BODY_H_
#define INCLUDE_WIRE_CHAT_BODY_H_

#include <string>

#include "absl/status/statusor.h"
#include "include/base/ids.h"
#include "include/base/units.h"

namespace papaya {

// What a router needs to know of the body of `POST /v1/chat/completions`.
struct ChatBody {
  // Names the pool.
  PoolId model;
  // The texts of all messages with a line end between them, as engines hash
  // them.
  std::string prompt;
  // 0 if the caller set no limit.
  Tokens max_tokens;
  bool stream = false;
};

// Reads the JSON `body`. Fails with kInvalidArgument if it is broken, or has no
// model or no messages.
absl::StatusOr<ChatBody> ParseChatBody(const std::string& body);

}  // namespace papaya

#endif  // INCLUDE_WIRE_CHAT_BODY_H_
