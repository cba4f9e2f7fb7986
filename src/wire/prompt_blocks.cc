#include "include/wire/prompt_blocks.h"

#include <algorithm>

#include "include/base/stable_hash.h"

namespace papaya {

Tokens EstimateTokens(const std::string& prompt) {
  return Tokens((std::ssize(prompt) + kBytesPerToken - 1) / kBytesPerToken);
}

std::vector<uint64_t> HashPromptBlocks(const std::string& prompt,
                                       size_t max_blocks) {
  const size_t blocks = std::min(prompt.size() / kPromptBlockBytes, max_blocks);
  std::vector<uint64_t> hashes;
  hashes.reserve(blocks);
  uint64_t chained = 0;
  for (size_t i = 0; i < blocks; ++i) {
    const std::string block =
        prompt.substr(i * kPromptBlockBytes, kPromptBlockBytes);
    chained = CombineHashes(chained, StableHash(block));
    hashes.push_back(chained);
  }
  return hashes;
}

}  // namespace papaya
