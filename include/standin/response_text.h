#ifndef INCLUDE_STANDIN_RESPONSE_TEXT_H_
#define INCLUDE_STANDIN_RESPONSE_TEXT_H_

#include <cstdint>
#include <string>

#include "include/base/units.h"

namespace papaya {

// Returns the text of token `index` in the response of any stand-in engine to
// `prompt`. The text is a function of the prompt, so that callers can check
// that a response is complete and belongs to their prompt.
std::string ResponseToken(const std::string& prompt, int64_t index);

// Returns the first `count` tokens of the response, concatenated.
std::string ResponseText(const std::string& prompt, Tokens count);

// Returns the number of tokens of `prompt` as stand-in engines count them: one
// for each four bytes, rounded up, and at least one.
Tokens CountPromptTokens(const std::string& prompt);

}  // namespace papaya

#endif  // INCLUDE_STANDIN_RESPONSE_TEXT_H_
