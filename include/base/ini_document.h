#ifndef INCLUDE_BASE_INI_DOCUMENT_H_
#define INCLUDE_BASE_INI_DOCUMENT_H_

#include <string>
#include <vector>

namespace papaya {

// One `key = value` line.
struct IniEntry {
  std::string key;
  std::string value;
  int line = 0;  // counted from 1
};

// One `[name]` section, or `[kind name]`, with its entries in file order.
struct IniSection {
  std::string name;
  int line = 0;  // counted from 1
  std::vector<IniEntry> entries;

  // The first entry with that key; null if there is none.
  const IniEntry* Find(const std::string& key) const;

  // The word before the first space of the name, as `route` of `[route chat]`.
  std::string Kind() const;

  // What follows that space, as `chat`; empty if there is none.
  std::string Label() const;
};

// A fault found in a text, at a line counted from 1.
struct TextFault {
  int line = 0;
  std::string message;

  bool operator==(const TextFault&) const = default;
};

// An INI text with the line of each part, so that faults can name theirs.
// Comments are whole lines that start with `;` or `#`. A value runs to the end
// of its line, without the white space around it. A line that ends in `\` goes
// on with the next one.
//
// Boost.PropertyTree reads INI too, but keeps no line numbers.
class IniDocument {
 public:
  // Reads `text` whole. Broken lines, entries before any section, sections or
  // keys that stand twice: each is added to faults() and passed over.
  static IniDocument Parse(const std::string& text);

  const std::vector<IniSection>& sections() const { return sections_; }
  const std::vector<TextFault>& faults() const { return faults_; }

  // The section with that whole name; null if there is none.
  const IniSection* Find(const std::string& name) const;

 private:
  // Adds the section that `line` starts; null, with a fault, if it may not.
  IniSection* AddSection(const std::string& line, int number);
  void AddFault(int line, const std::string& message);

  std::vector<IniSection> sections_;
  std::vector<TextFault> faults_;
};

}  // namespace papaya

#endif  // INCLUDE_BASE_INI_DOCUMENT_H_
