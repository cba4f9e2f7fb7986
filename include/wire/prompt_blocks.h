#ifndef INCLUDE_WIRE_PROMPT_BLOCKS_H_
#define INCLUDE_WIRE_PROMPT_BLOCKS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "include/base/units.h"

namespace papaya {

// Bytes of prompt text that are taken for one token.
inline constexpr int64_t kBytesPerToken = 4;

// Bytes of one block of a prompt; engines cache prompts by whole blocks.
inline constexpr int64_t kPromptBlockBytes = 256;

// A prompt's length, as a router estimates it.
Tokens EstimateTokens(const std::string& prompt);

// Chained hashes of the whole blocks of `prompt`, as
// RequestSpec::prefix_hashes has them and engines publish them; at most
// `max_blocks`.
std::vector<uint64_t> HashPromptBlocks(const std::string& prompt,
                                       size_t max_blocks = 256);

}  // namespace papaya

#endif  // INCLUDE_WIRE_PROMPT_BLOCKS_H_
