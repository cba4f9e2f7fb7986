#ifndef SRC_GATEWAY_OBJECT_TEXT_H_
#define SRC_GATEWAY_OBJECT_TEXT_H_

#include <optional>
#include <string>
#include <vector>

#include "include/gateway/platform_store.h"

namespace papaya {

// The text format in which routers pass objects of the platform's store to each
// other.
std::string FormatObjects(const std::vector<PlatformObject>& objects);

// Returns std::nullopt if `text` is malformed. An empty text has no objects.
std::optional<std::vector<PlatformObject>> ParseObjects(
    const std::string& text);

// Compresses a text of the format above with zlib, and undoes that.
// UnpackText returns std::nullopt if `packed` is malformed or unpacks to more
// than `kMaxUnpackedBytes`.
inline constexpr size_t kMaxUnpackedBytes = size_t{4} * 1024 * 1024;
std::string PackText(const std::string& text);
std::optional<std::string> UnpackText(const std::string& packed);

}  // namespace papaya

#endif  // SRC_GATEWAY_OBJECT_TEXT_H_
