#ifndef SRC_GATEWAY_PROMPT_PREFIX_H_
#define SRC_GATEWAY_PROMPT_PREFIX_H_

#include <optional>
#include <vector>

#include "include/base/ids.h"
#include "include/base/request_spec.h"
#include "include/gateway/header_codec.h"

namespace papaya {

// Returns the parts that other requests may share, that is, all but the last
// one. Parts beyond a limit are left out, which bounds the work for a request
// that states many.
std::vector<PromptPartId> SharedParts(const std::vector<PromptPart>& parts);

// Returns the last part, which belongs to the request or its session; empty if
// there are no parts.
std::optional<PromptPartId> OwnPart(const std::vector<PromptPart>& parts);

// Sets the chained hashes of the prompt's blocks. Prompts with a common prefix
// share their first hashes.
void SetPrefix(const std::vector<PromptPart>& parts, RequestSpec* spec);

}  // namespace papaya

#endif  // SRC_GATEWAY_PROMPT_PREFIX_H_
