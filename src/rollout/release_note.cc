#include "include/rollout/release_note.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "include/config/upstream_kind.h"
#include "include/settings/value_parsers.h"

namespace papaya {

namespace {

constexpr int kMaxSlots = 4096;

// Reads the value of one key into a `T`. Returns null, or a description of the
// expected value if `value` is not valid.
template <typename T>
struct KeyReader {
  const char* key;
  std::function<const char*(const std::string& value, T* into)> read;
};

// Parses a duration such as `90s`, `20m` or `2h`.
std::optional<Duration> ReadDuration(const std::string& value) {
  int64_t count = 0;
  if (value.size() < 2 ||
      !absl::SimpleAtoi(value.substr(0, value.size() - 1), &count) ||
      count < 0 || count > 100000) {
    return std::nullopt;
  }
  switch (value.back()) {
    case 's':
      return std::chrono::seconds(count);
    case 'm':
      return std::chrono::minutes(count);
    case 'h':
      return std::chrono::hours(count);
    default:
      return std::nullopt;
  }
}

// Returns true for addresses such as `10.0.3.7:8000` and `[fd00::7]:8000`.
bool IsAddress(const std::string& value) {
  const size_t colon = value.rfind(':');
  int port = 0;
  if (colon == std::string::npos || colon == 0 ||
      !absl::SimpleAtoi(value.substr(colon + 1), &port)) {
    return false;
  }
  return port > 0 && port < 65536 &&
         value.substr(0, colon).find_first_not_of("0123456789abcdef.:[]") ==
             std::string::npos;
}

const char* ReadBoolValue(const std::string& value, std::optional<bool>* into) {
  *into = ParseBool(value);
  return into->has_value() ? nullptr : "one of yes, true, no and false";
}

template <typename Id>
const char* ReadIdValue(const std::string& value, std::optional<Id>* into) {
  *into = Id(value);
  return value.empty() ? "a name" : nullptr;
}

const char* ReadWithdrawnValue(const std::string& value, bool* into) {
  std::optional<bool> read;
  const char* const expected = ReadBoolValue(value, &read);
  *into = read.value_or(false);
  return expected;
}

const std::vector<KeyReader<ReleaseNote>>& NoteKeys() {
  static const std::vector<KeyReader<ReleaseNote>> keys = {
      {"summary",
       [](const std::string& value, ReleaseNote* note) -> const char* {
         note->summary = value;
         return nullptr;
       }},
      {"traffic_by",
       [](const std::string& value, ReleaseNote* note) -> const char* {
         const std::optional<WallTime> time = ParseWallTime(value);
         note->traffic_by = time.value_or(WallTime());
         return time ? nullptr : "a time such as `2026-12-04T18:00:00Z`";
       }},
      {"bake",
       [](const std::string& value, ReleaseNote* note) -> const char* {
         note->bake = ReadDuration(value);
         return note->bake ? nullptr
                           : "a duration such as `90s`, `20m` or `2h`";
       }},
  };
  return keys;
}

const std::vector<KeyReader<PoolChange>>& PoolKeys() {
  static const std::vector<KeyReader<PoolChange>> keys = {
      {"version",
       [](const std::string& value, PoolChange* pool) -> const char* {
         pool->version = VersionId(value);
         return value.empty() ? "a version" : nullptr;
       }},
      {"adapters",
       [](const std::string& value, PoolChange* pool) -> const char* {
         pool->adapters =
             absl::StrSplit(value, absl::ByAnyChar(", "), absl::SkipEmpty());
         return pool->adapters.empty() ? "names separated by commas" : nullptr;
       }},
      {"withdrawn",
       [](const std::string& value, PoolChange* pool) {
         return ReadWithdrawnValue(value, &pool->withdrawn);
       }},
  };
  return keys;
}

const char* ReadAddressValue(const std::string& value,
                             UpstreamChange* upstream) {
  upstream->address = value;
  return IsAddress(value) ? nullptr : "IP:PORT";
}

const char* ReadKindValue(const std::string& value, UpstreamChange* upstream) {
  upstream->kind = ParseUpstreamKind(value);
  return upstream->kind ? nullptr : "`model_engine` or `plain_service`";
}

const char* ReadSlotsValue(const std::string& value, UpstreamChange* upstream) {
  int slots = 0;
  const bool valid =
      absl::SimpleAtoi(value, &slots) && slots > 0 && slots <= kMaxSlots;
  upstream->slots = slots;
  return valid ? nullptr : "a number from 1 to 4096";
}

const char* ReadRoleValue(const std::string& value, UpstreamChange* upstream) {
  upstream->role = value;
  return value.empty() ? "a role" : nullptr;
}

// Returns a reader of `key` that stores an id in `member`.
template <typename Id>
KeyReader<UpstreamChange> IdKey(const char* key,
                                std::optional<Id> UpstreamChange::*member) {
  return {key, [member](const std::string& value, UpstreamChange* upstream) {
            return ReadIdValue(value, &(upstream->*member));
          }};
}

KeyReader<UpstreamChange> BoolKey(const char* key,
                                  std::optional<bool> UpstreamChange::*member) {
  return {key, [member](const std::string& value, UpstreamChange* upstream) {
            return ReadBoolValue(value, &(upstream->*member));
          }};
}

const std::vector<KeyReader<UpstreamChange>>& UpstreamKeys() {
  static const std::vector<KeyReader<UpstreamChange>> keys = {
      {"withdrawn",
       [](const std::string& value, UpstreamChange* upstream) {
         return ReadWithdrawnValue(value, &upstream->withdrawn);
       }},
      IdKey("vm", &UpstreamChange::vm),
      {"address", &ReadAddressValue},
      IdKey("zone", &UpstreamChange::zone),
      {"kind", &ReadKindValue},
      IdKey("pool", &UpstreamChange::pool),
      IdKey("version", &UpstreamChange::version),
      IdKey("generation", &UpstreamChange::generation),
      {"slots", &ReadSlotsValue},
      BoolKey("checks_fencing", &UpstreamChange::checks_fencing),
      BoolKey("refusal_means_not_run", &UpstreamChange::refusal_means_not_run),
      {"role", &ReadRoleValue},
  };
  return keys;
}

template <typename T>
std::string KeyList(const std::vector<KeyReader<T>>& readers) {
  std::string list;
  for (const KeyReader<T>& reader : readers) {
    absl::StrAppend(&list, list.empty() ? "" : ", ", reader.key);
  }
  return list;
}

// Reads all entries of `section` into `into`; appends an error for each unknown
// key and each invalid value.
template <typename T>
void ReadSection(const IniSection& section,
                 const std::vector<KeyReader<T>>& readers,
                 T* into,
                 std::vector<TextFault>* faults) {
  for (const IniEntry& entry : section.entries) {
    const auto reader = std::find_if(
        readers.begin(), readers.end(),
        [&entry](const KeyReader<T>& known) { return known.key == entry.key; });
    if (reader == readers.end()) {
      faults->push_back(
          {entry.line,
           absl::StrCat("[", section.name, "] has no key `", entry.key,
                        "`, expected one of ", KeyList(readers))});
      continue;
    }
    const char* const expected = reader->read(entry.value, into);
    if (expected != nullptr) {
      faults->push_back(
          {entry.line,
           absl::StrCat("[", section.name, "] ", entry.key, ": found `",
                        entry.value, "`, expected ", expected)});
    }
  }
}

// Returns true if the section has a label; otherwise appends an error.
bool HasLabel(const IniSection& section, std::vector<TextFault>* faults) {
  if (section.Label().empty()) {
    faults->push_back(
        {section.line, absl::StrCat("[", section.name, "] lacks a name after `",
                                    section.Kind(), "`")});
    return false;
  }
  return true;
}

void ReadNoteSection(const IniSection& section,
                     ReleaseNote* note,
                     std::vector<TextFault>* faults) {
  ReadSection(section, NoteKeys(), note, faults);
  if (section.Find("traffic_by") == nullptr) {
    faults->push_back({section.line, "[note] lacks `traffic_by`"});
  }
}

void ReadPoolSection(const IniSection& section,
                     ReleaseNote* note,
                     std::vector<TextFault>* faults) {
  if (!HasLabel(section, faults)) {
    return;
  }
  PoolChange pool;
  pool.pool = PoolId(section.Label());
  pool.line = section.line;
  ReadSection(section, PoolKeys(), &pool, faults);
  note->pools.push_back(std::move(pool));
}

void ReadUpstreamSection(const IniSection& section,
                         ReleaseNote* note,
                         std::vector<TextFault>* faults) {
  if (!HasLabel(section, faults)) {
    return;
  }
  UpstreamChange upstream;
  upstream.id = UpstreamId(section.Label());
  upstream.line = section.line;
  ReadSection(section, UpstreamKeys(), &upstream, faults);
  note->upstreams.push_back(std::move(upstream));
}

using SectionReader = void (*)(const IniSection&,
                               ReleaseNote*,
                               std::vector<TextFault>*);

SectionReader FindSectionReader(const std::string& kind) {
  static const std::vector<std::pair<std::string, SectionReader>> readers = {
      {"note", &ReadNoteSection},
      {"pool", &ReadPoolSection},
      {"upstream", &ReadUpstreamSection},
  };
  for (const std::pair<std::string, SectionReader>& reader : readers) {
    if (reader.first == kind) {
      return reader.second;
    }
  }
  return nullptr;
}

}  // namespace

ReleaseNote ReleaseNote::Parse(const std::string& text,
                               std::vector<TextFault>* faults) {
  const IniDocument document = IniDocument::Parse(text);
  faults->insert(faults->end(), document.faults().begin(),
                 document.faults().end());
  ReleaseNote note;
  for (const IniSection& section : document.sections()) {
    const SectionReader reader = FindSectionReader(section.Kind());
    if (reader == nullptr) {
      faults->push_back(
          {section.line,
           absl::StrCat("[", section.name,
                        "] is not a section of a release note: expected "
                        "[note], [pool NAME] or "
                        "[upstream NAME]")});
      continue;
    }
    reader(section, &note, faults);
  }
  if (document.Find("note") == nullptr) {
    faults->push_back({1, "the section [note] is missing"});
  }
  return note;
}

}  // namespace papaya
