#ifndef SRC_SETTINGS_KEY_RULE_H_
#define SRC_SETTINGS_KEY_RULE_H_

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "src/settings/fault_list.h"

namespace papaya {

enum class Presence : uint8_t { kRequired, kOptional };

// How one key of a section is read into a `T`.
template <typename T>
struct KeyRule {
  const char* key;
  Presence presence;
  // What a valid value is, as `a duration such as 250ms`.
  const char* expected;
  // Stores the value; false, with nothing stored, if it is not valid.
  std::function<bool(const std::string& value, T& target)> read;
};

// The names of all keys in `rules`, as a fault lists them.
template <typename T>
std::string ListKeys(const std::vector<KeyRule<T>>& rules) {
  return absl::StrJoin(rules, ", ", [](std::string* out, const auto& rule) {
    absl::StrAppend(out, rule.key);
  });
}

// Reads `section` into `target` by `rules`. Keys without a rule, values that
// are not valid and required keys that are missing become faults.
template <typename T>
void ReadSection(const IniSection& section,
                 const std::vector<KeyRule<T>>& rules,
                 T& target,
                 FaultList& faults) {
  for (const IniEntry& entry : section.entries) {
    const auto rule = std::find_if(
        rules.begin(), rules.end(),
        [&entry](const KeyRule<T>& r) { return entry.key == r.key; });
    if (rule == rules.end()) {
      faults.Add(entry.line, absl::StrCat("[", section.name, "] ", entry.key,
                                          ": found an unknown key, expected "
                                          "one of ",
                                          ListKeys(rules)));
      continue;
    }
    if (!rule->read(entry.value, target)) {
      faults.AddValue(section, entry, rule->expected);
    }
  }
  for (const KeyRule<T>& rule : rules) {
    if (rule.presence == Presence::kRequired &&
        section.Find(rule.key) == nullptr) {
      faults.AddMissing(section, rule.key, rule.expected);
    }
  }
}

}  // namespace papaya

#endif  // SRC_SETTINGS_KEY_RULE_H_
