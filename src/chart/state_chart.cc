#include "include/chart/state_chart.h"

#include <set>

#include "absl/strings/str_cat.h"
#include "include/base/error.h"
#include "include/base/ini_document.h"
#include "include/base/text_file.h"

namespace papaya {

namespace {

constexpr char kChartSection[] = "chart";
constexpr char kStateKind[] = "state";
constexpr char kFinalKey[] = "final";
constexpr char kYes[] = "yes";

// Collects faults as `file:line: message` lines.
class FaultList {
 public:
  explicit FaultList(const std::string& file) : file_(file) {}

  void Add(int line, const std::string& message) {
    absl::StrAppend(&text_, text_.empty() ? "" : "\n", file_, ":", line, ": ",
                    message);
  }

  const std::string& text() const { return text_; }

 private:
  std::string file_;
  std::string text_;
};

// The sections that describe states, with faults for all other sections.
std::vector<const IniSection*> FindStateSections(const IniDocument& document,
                                                 FaultList& faults) {
  std::vector<const IniSection*> sections;
  for (const IniSection& section : document.sections()) {
    if (section.name == kChartSection) {
      continue;
    }
    if (section.Kind() != kStateKind || section.Label().empty()) {
      faults.Add(section.line,
                 absl::StrCat("unknown section [", section.name,
                              "]; expected [chart] or [state NAME]"));
      continue;
    }
    sections.push_back(&section);
  }
  return sections;
}

// The value of `key` in [chart]; empty, with a fault, if it is missing.
std::string ReadHeader(const IniDocument& document,
                       const std::string& key,
                       FaultList& faults) {
  const IniSection* header = document.Find(kChartSection);
  const IniEntry* entry = header == nullptr ? nullptr : header->Find(key);
  if (entry == nullptr || entry->value.empty()) {
    const int line = header == nullptr ? 1 : header->line;
    faults.Add(line, absl::StrCat("[chart] needs `", key, "`"));
    return "";
  }
  return entry->value;
}

std::set<std::string> FindReachable(
    const std::vector<const IniSection*>& sections,
    const std::string& initial) {
  std::set<std::string> reachable;
  std::vector<std::string> pending = {initial};
  while (!pending.empty()) {
    const std::string state = pending.back();
    pending.pop_back();
    if (!reachable.insert(state).second) {
      continue;
    }
    for (const IniSection* section : sections) {
      if (section->Label() != state) {
        continue;
      }
      for (const IniEntry& entry : section->entries) {
        pending.push_back(entry.value);
      }
    }
  }
  return reachable;
}

}  // namespace

absl::StatusOr<StateChart> StateChart::Parse(const std::string& text,
                                             const std::string& file) {
  FaultList faults(file);
  const IniDocument document = IniDocument::Parse(text);
  for (const TextFault& fault : document.faults()) {
    faults.Add(fault.line, fault.message);
  }

  StateChart chart;
  chart.name_ = ReadHeader(document, "name", faults);
  chart.initial_ = ReadHeader(document, "initial", faults);
  const std::vector<const IniSection*> sections =
      FindStateSections(document, faults);
  for (const IniSection* section : sections) {
    chart.states_[section->Label()];
  }
  if (!chart.initial_.empty() && !chart.states_.contains(chart.initial_)) {
    faults.Add(document.Find(kChartSection)->line,
               absl::StrCat("initial state `", chart.initial_,
                            "` is not a state of the chart"));
  }

  const std::set<std::string> reachable =
      FindReachable(sections, chart.initial_);
  for (const IniSection* section : sections) {
    State& state = chart.states_[section->Label()];
    for (const IniEntry& entry : section->entries) {
      if (entry.key == kFinalKey) {
        state.is_final = entry.value == kYes;
        if (!state.is_final) {
          faults.Add(entry.line, "`final` may only be `yes`");
        }
        continue;
      }
      if (entry.value.empty()) {
        faults.Add(entry.line,
                   absl::StrCat("event `", entry.key, "` has no target"));
        continue;
      }
      if (!chart.states_.contains(entry.value)) {
        faults.Add(entry.line,
                   absl::StrCat("event `", entry.key, "` leads to `",
                                entry.value, "`, which is not a state"));
        continue;
      }
      state.transitions[entry.key] = entry.value;
    }
    if (state.is_final && !state.transitions.empty()) {
      faults.Add(section->line, absl::StrCat("final state `", section->Label(),
                                             "` has a transition"));
    }
    if (!state.is_final && state.transitions.empty()) {
      faults.Add(section->line,
                 absl::StrCat("state `", section->Label(),
                              "` is not final and has no transition"));
    }
    if (!reachable.contains(section->Label())) {
      faults.Add(section->line, absl::StrCat("state `", section->Label(),
                                             "` can't be reached"));
    }
  }
  if (!faults.text().empty()) {
    return MakeError(absl::StatusCode::kInvalidArgument,
                     {.step = "chart.parse", .peer = file}, faults.text());
  }
  return chart;
}

absl::StatusOr<StateChart> StateChart::Load(const std::string& path) {
  const absl::StatusOr<std::string> text = ReadTextFile(path);
  if (!text.ok()) {
    return text.status();
  }
  return Parse(*text, path);
}

std::vector<std::string> StateChart::states() const {
  std::vector<std::string> names;
  names.reserve(states_.size());
  for (const auto& [name, state] : states_) {
    names.push_back(name);
  }
  return names;
}

const std::string* StateChart::FindState(const std::string& state) const {
  const auto found = states_.find(state);
  return found == states_.end() ? nullptr : &found->first;
}

bool StateChart::IsFinal(const std::string& state) const {
  const auto found = states_.find(state);
  return found != states_.end() && found->second.is_final;
}

const std::string* StateChart::Next(const std::string& state,
                                    const std::string& event) const {
  const auto found = states_.find(state);
  if (found == states_.end()) {
    return nullptr;
  }
  const auto transition = found->second.transitions.find(event);
  return transition == found->second.transitions.end() ? nullptr
                                                       : &transition->second;
}

bool StateChart::HasEvent(const std::string& event) const {
  for (const auto& [name, state] : states_) {
    if (state.transitions.contains(event)) {
      return true;
    }
  }
  return false;
}

}  // namespace papaya
