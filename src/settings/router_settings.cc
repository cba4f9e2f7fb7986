#include "include/settings/router_settings.h"

#include <functional>
#include <map>

#include "absl/strings/str_cat.h"
#include "include/base/ini_document.h"
#include "include/base/text_file.h"
#include "include/settings/value_parsers.h"
#include "src/settings/router_settings_checks.h"
#include "src/settings/router_settings_rules.h"

namespace papaya {

namespace {

constexpr Duration kDefaultDeadline = std::chrono::seconds(30);
constexpr Duration kDefaultAttemptTimeout = std::chrono::seconds(60);

constexpr const char* kSectionsExpected =
    "[router], [store], [limits], [rollout], [account NAME] or [route NAME]";

// Reads one `[kind NAME]` section and appends it to `list`.
template <typename T, typename Id>
void ReadNamedSection(const IniSection& section,
                      const std::vector<KeyRule<T>>& rules,
                      T initial,
                      Id T::*id,
                      std::vector<T>& list,
                      FaultList& faults) {
  if (section.name != absl::StrCat(section.Kind(), " ", section.Label()) ||
      !IsName(section.Label())) {
    faults.Add(section.line,
               absl::StrCat("[", section.name, "]: found the name `",
                            section.Label(), "`, expected [", section.Kind(),
                            " NAME] with a name of at most 64 letters, digits, "
                            "`-`, `_` and `.`"));
    return;
  }
  initial.*id = Id(section.Label());
  ReadSection(section, rules, initial, faults);
  list.push_back(std::move(initial));
}

// Collects a document into settings, section by section.
class SettingsReader {
 public:
  explicit SettingsReader(FaultList& faults) : faults_(faults) {}

  void Read(const IniSection& section) {
    static const std::map<std::string, void (SettingsReader::*)(
                                           const IniSection&)>& by_kind =
        *new std::map<std::string, void (SettingsReader::*)(const IniSection&)>{
            {"router", &SettingsReader::ReadRouter},
            {"store", &SettingsReader::ReadStore},
            {"limits", &SettingsReader::ReadLimits},
            {"rollout", &SettingsReader::ReadRollout},
            {"account", &SettingsReader::ReadAccount},
            {"route", &SettingsReader::ReadRoute},
        };
    const auto reader = by_kind.find(section.Kind());
    const bool is_single = section.Label().empty();
    const bool may_be_single =
        section.Kind() != "account" && section.Kind() != "route";
    if (reader == by_kind.end() || (may_be_single && !is_single)) {
      faults_.Add(section.line,
                  absl::StrCat("[", section.name,
                               "]: found an unknown section, expected ",
                               kSectionsExpected));
      return;
    }
    (this->*reader->second)(section);
  }

  // Adds a fault for each section that must stand and does not.
  void CheckSections(const IniDocument& document) {
    for (const char* name : {"router", "store"}) {
      if (document.Find(name) == nullptr) {
        faults_.Add(
            1, absl::StrCat("found no section [", name, "], expected one"));
      }
    }
  }

  const RouterSettings& settings() const { return settings_; }

 private:
  void ReadRouter(const IniSection& section) {
    ReadSection(section, RouterRules(), settings_, faults_);
  }

  void ReadStore(const IniSection& section) {
    ReadSection(section, StoreRules(), settings_, faults_);
  }

  void ReadLimits(const IniSection& section) {
    ReadSection(section, LimitRules(), settings_.limits, faults_);
  }

  void ReadRollout(const IniSection& section) {
    ReadSection(section, RolloutRules(), settings_.rollout, faults_);
  }

  void ReadAccount(const IniSection& section) {
    ReadNamedSection(section, AccountRules(), AccountSettings(),
                     &AccountSettings::id, settings_.accounts, faults_);
  }

  void ReadRoute(const IniSection& section) {
    RouteSettings route;
    route.deadline = kDefaultDeadline;
    route.attempt_timeout = kDefaultAttemptTimeout;
    ReadNamedSection(section, RouteRules(), route, &RouteSettings::id,
                     settings_.routes, faults_);
  }

  FaultList& faults_;
  RouterSettings settings_;
};

}  // namespace

absl::StatusOr<RouterSettings> ParseRouterSettings(const std::string& text,
                                                   const std::string& file) {
  const IniDocument document = IniDocument::Parse(text);
  FaultList faults(file);
  for (const TextFault& fault : document.faults()) {
    faults.Add(fault.line, fault.message);
  }
  SettingsReader reader(faults);
  for (const IniSection& section : document.sections()) {
    reader.Read(section);
  }
  reader.CheckSections(document);
  CheckAcrossKeys(document, reader.settings(), faults);
  if (!faults.empty()) {
    return faults.ToStatus();
  }
  return reader.settings();
}

absl::StatusOr<RouterSettings> LoadRouterSettings(const std::string& path) {
  const absl::StatusOr<std::string> text = ReadTextFile(path);
  if (!text.ok()) {
    return text.status();
  }
  return ParseRouterSettings(*text, path);
}

}  // namespace papaya
