#include "src/settings/fault_list.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "include/base/error.h"

namespace papaya {

void FaultList::Add(int line, const std::string& message) {
  faults_.push_back({.line = line, .message = message});
}

void FaultList::AddValue(const IniSection& section,
                         const IniEntry& entry,
                         const std::string& expected) {
  Add(entry.line, absl::StrCat("[", section.name, "] ", entry.key, ": found `",
                               entry.value, "`, expected ", expected));
}

void FaultList::AddMissing(const IniSection& section,
                           const std::string& key,
                           const std::string& expected) {
  Add(section.line, absl::StrCat("[", section.name, "] ", key,
                                 ": found nothing, expected ", expected));
}

absl::Status FaultList::ToStatus() const {
  if (faults_.empty()) {
    return absl::OkStatus();
  }
  std::vector<TextFault> sorted = faults_;
  std::stable_sort(
      sorted.begin(), sorted.end(),
      [](const TextFault& a, const TextFault& b) { return a.line < b.line; });
  std::vector<std::string> lines;
  lines.reserve(sorted.size());
  for (const TextFault& fault : sorted) {
    lines.push_back(absl::StrCat(file_, ":", fault.line, ": ", fault.message));
  }
  return MakeError(absl::StatusCode::kInvalidArgument,
                   {.step = "settings.parse", .peer = file_},
                   absl::StrCat("\n", absl::StrJoin(lines, "\n")));
}

}  // namespace papaya
