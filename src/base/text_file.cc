#include "include/base/text_file.h"

#include <fstream>

#include "absl/strings/str_cat.h"
#include "include/base/error.h"

namespace papaya {

absl::StatusOr<std::string> ReadTextFile(const std::string& path) {
  const ErrorOrigin origin{.step = "file.read", .peer = path};
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return MakeError(absl::StatusCode::kNotFound, origin, "can't be opened");
  }
  std::string text(kMaxTextFileBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<size_t>(file.gcount()));
  if (text.size() > kMaxTextFileBytes) {
    return MakeError(
        absl::StatusCode::kResourceExhausted, origin,
        absl::StrCat("is longer than ", kMaxTextFileBytes, " bytes"));
  }
  return text;
}

}  // namespace papaya
