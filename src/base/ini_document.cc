#include "include/base/ini_document.h"

#include <algorithm>
#include <sstream>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

namespace papaya {

namespace {

std::string Strip(const std::string& text) {
  return std::string(absl::StripAsciiWhitespace(text));
}

// Gives the lines that are neither blank nor comments, stripped, with those
// that end in a backslash joined to the next.
class LineReader {
 public:
  explicit LineReader(const std::string& text) : stream_(text) {}

  // Goes to the next line; false at the end of the text.
  bool Next() {
    while (ReadPhysicalLine()) {
      number_ = physical_number_;
      line_ = Strip(physical_line_);
      while (line_.ends_with('\\') && ReadPhysicalLine()) {
        line_.pop_back();
        line_ = Strip(absl::StrCat(Strip(line_), " ", Strip(physical_line_)));
      }
      const bool is_comment = line_.starts_with(';') || line_.starts_with('#');
      if (!line_.empty() && !is_comment) {
        return true;
      }
    }
    return false;
  }

  const std::string& line() const { return line_; }

  // The number of the first physical line of line(), counted from 1.
  int number() const { return number_; }

 private:
  bool ReadPhysicalLine() {
    ++physical_number_;
    return static_cast<bool>(std::getline(stream_, physical_line_));
  }

  std::istringstream stream_;
  std::string physical_line_;
  int physical_number_ = 0;
  std::string line_;
  int number_ = 0;
};

}  // namespace

const IniEntry* IniSection::Find(const std::string& key) const {
  const auto found =
      std::find_if(entries.begin(), entries.end(),
                   [&key](const IniEntry& entry) { return entry.key == key; });
  return found == entries.end() ? nullptr : &*found;
}

std::string IniSection::Kind() const {
  return name.substr(0, name.find(' '));
}

std::string IniSection::Label() const {
  const size_t space = name.find(' ');
  return space == std::string::npos ? "" : Strip(name.substr(space));
}

IniDocument IniDocument::Parse(const std::string& text) {
  IniDocument document;
  LineReader lines(text);
  // Null before the first section and inside one that was refused.
  IniSection* section = nullptr;
  bool seen_section = false;
  while (lines.Next()) {
    if (lines.line().front() == '[') {
      seen_section = true;
      section = document.AddSection(lines.line(), lines.number());
      continue;
    }
    const size_t equals = lines.line().find('=');
    const std::string key = equals == std::string::npos
                                ? ""
                                : Strip(lines.line().substr(0, equals));
    if (key.empty()) {
      document.AddFault(lines.number(), "expected `key = value`");
      continue;
    }
    if (!seen_section) {
      document.AddFault(
          lines.number(),
          absl::StrCat("key `", key, "` stands before any section"));
      continue;
    }
    if (section == nullptr) {
      continue;
    }
    if (section->Find(key) != nullptr) {
      document.AddFault(lines.number(),
                        absl::StrCat("key `", key, "` stands twice in [",
                                     section->name, "]"));
      continue;
    }
    section->entries.push_back({.key = key,
                                .value = Strip(lines.line().substr(equals + 1)),
                                .line = lines.number()});
  }
  return document;
}

IniSection* IniDocument::AddSection(const std::string& line, int number) {
  const std::string name =
      line.back() == ']' ? Strip(line.substr(1, line.size() - 2)) : "";
  if (name.empty()) {
    AddFault(number, "a section needs a name in square brackets");
    return nullptr;
  }
  if (Find(name) != nullptr) {
    AddFault(number, absl::StrCat("section [", name, "] stands twice"));
    return nullptr;
  }
  sections_.push_back({.name = name, .line = number});
  return &sections_.back();
}

void IniDocument::AddFault(int line, const std::string& message) {
  faults_.push_back({.line = line, .message = message});
}

const IniSection* IniDocument::Find(const std::string& name) const {
  const auto found = std::find_if(
      sections_.begin(), sections_.end(),
      [&name](const IniSection& section) { return section.name == name; });
  return found == sections_.end() ? nullptr : &*found;
}

}  // namespace papaya
