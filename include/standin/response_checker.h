#ifndef INCLUDE_STANDIN_RESPONSE_CHECKER_H_
#define INCLUDE_STANDIN_RESPONSE_CHECKER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "include/base/units.h"
#include "include/wire/sse_reader.h"

namespace papaya {

// Checks that one streamed response of a stand-in engine is complete and
// belongs to the caller's own prompt, also if the stream was interrupted and
// resumed.
class ResponseChecker {
 public:
  ResponseChecker(const std::string& prompt, Tokens max_tokens);

  // Checks the next event. A stream that was resumed at next() continues as if
  // it had not been interrupted.
  void OnEvent(const SseEvent& event);

  // The index of the next expected token, which is the offset to resume at.
  int64_t next() const { return next_; }

  // True if an unexpected token was received, or if the end of the stream came
  // too early or twice.
  bool is_invalid() const { return is_invalid_; }

  // True once all tokens and the end were received without an error.
  bool is_complete() const { return is_ended_ && !is_invalid_; }

  // Returns true if `body`, a response that is not streamed, contains exactly
  // the expected text.
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
