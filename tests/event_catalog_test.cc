#include "include/telemetry/event_catalog.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <map>
#include <regex>
#include <set>
#include <string>

#include "include/base/text_file.h"
#include "include/telemetry/event_page.h"

namespace papaya {
namespace {

std::string ReadSource(const std::string& path) {
  const absl::StatusOr<std::string> text =
      ReadTextFile(std::string(PAPAYA_SOURCE_DIR) + "/" + path);
  REQUIRE(text.ok());
  return *text;
}

// Enumerators of EventId and their numbers, as the header has them.
std::map<std::string, int> ReadEnumerators() {
  const std::string header = ReadSource("include/telemetry/event_catalog.h");
  const std::regex pattern("(k[A-Za-z]+) = ([0-9]{4}),");
  std::map<std::string, int> enumerators;
  for (auto found = std::sregex_iterator(header.begin(), header.end(), pattern);
       found != std::sregex_iterator(); ++found) {
    enumerators[(*found)[1]] = std::stoi((*found)[2]);
  }
  return enumerators;
}

// All `EventId::kName` of the sources but for the catalogue itself.
std::set<std::string> FindUsedEvents() {
  const std::regex pattern("EventId::(k[A-Za-z]+)");
  std::set<std::string> used;
  const std::filesystem::path root =
      std::filesystem::path(PAPAYA_SOURCE_DIR) / "src";
  for (const auto& entry :
       std::filesystem::recursive_directory_iterator(root)) {
    const bool is_source =
        entry.path().extension() == ".cc" || entry.path().extension() == ".h";
    if (!is_source || entry.path().stem() == "event_catalog") {
      continue;
    }
    const std::string text = *ReadTextFile(entry.path().string());
    for (auto found = std::sregex_iterator(text.begin(), text.end(), pattern);
         found != std::sregex_iterator(); ++found) {
      used.insert((*found)[1]);
    }
  }
  return used;
}

TEST_CASE("EventCatalog: has each event of the code once, by number",
          "[telemetry]") {
  std::set<int> numbers;
  int last = 0;
  for (const EventInfo& info : EventCatalog()) {
    const int number = static_cast<int>(info.id);
    CHECK(number > last);
    last = number;
    numbers.insert(number);
  }
  const std::map<std::string, int> enumerators = ReadEnumerators();
  CHECK(enumerators.size() == numbers.size());
  for (const auto& [name, number] : enumerators) {
    INFO(name);
    CHECK(numbers.contains(number));
  }
}

TEST_CASE("EventCatalog: every event is logged somewhere", "[telemetry]") {
  const std::set<std::string> used = FindUsedEvents();
  for (const auto& [name, number] : ReadEnumerators()) {
    INFO(name);
    CHECK(used.contains(name));
  }
}

TEST_CASE("EventCatalog: docs/EVENTS.md says the same", "[telemetry]") {
  CHECK(ReadSource("docs/EVENTS.md") == RenderEventPage());
}

}  // namespace
}  // namespace papaya
