#ifndef INCLUDE_STANDIN_RESPONSE_TEXT_H_
#define INCLUDE_STANDIN_RESPONSE_TEXT_H_

#include <cstdint>
#include <string>

#include "include/base/units.h"

namespace papaya {

// The text of token `index` of every stand-in engine's answer to `prompt`.
// Callers work it out too, and so see if an answer is whole and their own.
std::string ResponseToken(const std::string& prompt, int64_t index);

// The first `count` tokens in one text.
std::string ResponseText(const std::string& prompt, Tokens count);

// The tokens of `prompt` as stand-in engines count them: one for each four
// bytes, and at least one.
Tokens CountPromptTokens(const std::string& prompt);

}  // namespace papaya

#endif  // INCLUDE_STANDIN_RESPONSE_TEXT_H_
