#ifndef INCLUDE_BASE_TEXT_FILE_H_
#define INCLUDE_BASE_TEXT_FILE_H_

#include <cstddef>
#include <string>

#include "absl/status/statusor.h"

namespace papaya {

// The longest text file that is read, in bytes.
inline constexpr size_t kMaxTextFileBytes = size_t{4} << 20;

// The whole file at `path`. Fails with kNotFound if it can't be opened, with
// kResourceExhausted if it is longer than kMaxTextFileBytes.
absl::StatusOr<std::string> ReadTextFile(const std::string& path);

}  // namespace papaya

#endif  // INCLUDE_BASE_TEXT_FILE_H_
