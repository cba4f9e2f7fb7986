#include "src/gateway/prompt_prefix.h"

#include <algorithm>

#include "include/base/stable_hash.h"

namespace papaya {

namespace {

// Prompts are split into blocks of this size to track which prefixes an engine
// may have cached.
constexpr int64_t kBlockTokens = 1024;
// Blocks of a prompt beyond this number are not tracked, which bounds the work
// and the memory for a request that states a huge prompt.
constexpr size_t kMaxPrefixBlocks = 4096;
// Shared parts of a prompt beyond this number are not judged: those in the
// middle, as the first are shared most and the last are the newest.
constexpr size_t kMaxSharedParts = 256;

}  // namespace

std::vector<PromptPartId> SharedParts(const std::vector<PromptPart>& parts) {
  std::vector<PromptPartId> shared;
  const size_t count = parts.empty() ? 0 : parts.size() - 1;
  const size_t left_out = count - std::min(count, kMaxSharedParts);
  for (size_t i = 0; i < count; ++i) {
    const bool is_left_out =
        i >= kMaxSharedParts / 2 && i < kMaxSharedParts / 2 + left_out;
    if (!is_left_out) {
      shared.emplace_back(parts[i].hash);
    }
  }
  return shared;
}

std::optional<PromptPartId> OwnPart(const std::vector<PromptPart>& parts) {
  return parts.empty()
             ? std::nullopt
             : std::optional<PromptPartId>(PromptPartId(parts.back().hash));
}

void SetPrefix(const std::vector<PromptPart>& parts, RequestSpec* spec) {
  uint64_t chain = 0;
  Tokens end;
  for (const PromptPart& part : parts) {
    int64_t left = part.tokens.value();
    for (uint64_t block = 0;
         left > 0 && spec->prefix_hashes.size() < kMaxPrefixBlocks; ++block) {
      chain = CombineHashes(chain, CombineHashes(part.hash, block));
      end += Tokens(std::min(left, kBlockTokens));
      left -= kBlockTokens;
      spec->prefix_hashes.push_back(chain);
      spec->prefix_ends.push_back(end);
    }
  }
}

}  // namespace papaya
