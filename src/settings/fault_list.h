#ifndef SRC_SETTINGS_FAULT_LIST_H_
#define SRC_SETTINGS_FAULT_LIST_H_

#include <string>
#include <vector>

#include "absl/status/status.h"
#include "include/base/ini_document.h"

namespace papaya {

// Gathers the faults of one settings file and gives them as one error.
class FaultList {
 public:
  explicit FaultList(std::string file) : file_(std::move(file)) {}

  // A fault of no single key.
  void Add(int line, const std::string& message);

  // A fault of the value of `entry`.
  void AddValue(const IniSection& section,
                const IniEntry& entry,
                const std::string& expected);

  // A key that must be there and is not.
  void AddMissing(const IniSection& section,
                  const std::string& key,
                  const std::string& expected);

  bool empty() const { return faults_.empty(); }

  // kInvalidArgument with a line for each fault, in file order; OK if none.
  absl::Status ToStatus() const;

 private:
  std::string file_;
  std::vector<TextFault> faults_;
};

}  // namespace papaya

#endif  // SRC_SETTINGS_FAULT_LIST_H_
