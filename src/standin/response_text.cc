#include "include/standin/response_text.h"

#include "absl/strings/str_cat.h"
#include "include/base/stable_hash.h"

namespace papaya {

namespace {

constexpr int64_t kBytesPerToken = 4;
// Each token contains 20 bits of the hash of its prompt, which identify the
// response. More bits would lengthen the tokens.
constexpr uint64_t kMarkMask = 0xfffff;

}  // namespace

std::string ResponseToken(const std::string& prompt, int64_t index) {
  const uint64_t mark = StableHash(prompt) & kMarkMask;
  return absl::StrCat(absl::Hex(mark), ".", index, " ");
}

std::string ResponseText(const std::string& prompt, Tokens count) {
  std::string text;
  for (int64_t index = 0; index < count.value(); ++index) {
    text += ResponseToken(prompt, index);
  }
  return text;
}

Tokens CountPromptTokens(const std::string& prompt) {
  const int64_t bytes = static_cast<int64_t>(prompt.size());
  return Tokens(
      std::max<int64_t>(1, (bytes + kBytesPerToken - 1) / kBytesPerToken));
}

}  // namespace papaya
