#ifndef INCLUDE_STANDIN_RESPONSE_CHECKER_H_
#define INCLUDE_STANDIN_RESPONSE_CHECKER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "include/base/units.h"
#include "include/wire/sse_reader.h"

namespace papaya {

// Follows one streamed answer of a stand-in engine, over broken connections
// and resumptions, and sees if it is whole and the caller's own.
class ResponseChecker {
 public:
  ResponseChecker(const std::string& prompt, Tokens max_tokens);

  // Takes the next event. After a resumption at next() the stream goes on as
  // if it had not been broken.
  void OnEvent(const SseEvent& event);

  // The token that is to come next, the offset to resume at.
  int64_t next() const { return next_; }

  // True if a token was not the one expected, or the end came early or twice.
  bool is_invalid() const { return is_invalid_; }

  // True once all tokens and the end were there, and nothing was wrong.
  bool is_complete() const { return is_ended_ && !is_invalid_; }

  // True if `body`, an answer that is not streamed, is whole and right.
  static bool IsCompleteResponse(const std::string& body,
                                 const std::string& prompt,
                                 Tokens max_tokens);

 private:
  const std::string prompt_;
  const Tokens max_tokens_;
  int64_t next_ = 0;
  bool is_ended_ = false;
  bool is_invalid_ = false;
};

}  // namespace papaya

#endif  // INCLUDE_STANDIN_RESPONSE_CHECKER_H_
