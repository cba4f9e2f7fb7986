#include "src/gateway/event_splitter.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>
#include <string>

#include "include/base/random.h"

namespace papaya {
namespace {

std::string MakeEvents(int first, int last) {
  std::string text;
  for (int id = first; id <= last; ++id) {
    text += "id: " + std::to_string(id) + "\ndata: token " +
            std::to_string(id) + "\n\n";
  }
  return text;
}

std::string FeedInPieces(const std::string& text,
                         uint64_t seed,
                         EventSplitter* splitter) {
  Random random(seed);
  std::string output;
  size_t at = 0;
  while (at < text.size()) {
    const size_t step = 1 + random.Below(30);
    output += splitter->Feed(text.substr(at, step));
    at += step;
  }
  return output;
}

TEST_CASE("EventSplitter: returns complete events with unchanged bytes",
          "[gateway]") {
  rc::prop("any cut", [](uint64_t seed) {
    EventSplitter splitter;
    const std::string expected = MakeEvents(1, 8);
    RC_ASSERT(FeedInPieces(expected + "id: 9\nda", seed, &splitter) ==
              expected);
    RC_ASSERT(splitter.last_id() == "8");
    RC_ASSERT(splitter.events() == 8);
    RC_ASSERT(splitter.TakePartialEvent() == "id: 9\nda");
  });
}

TEST_CASE("EventSplitter: a resumed stream contains each event once",
          "[gateway]") {
  rc::prop("any break and any overlap", [](uint64_t seed) {
    Random random(seed);
    EventSplitter splitter;
    const std::string expected = MakeEvents(1, 12);
    std::string output = FeedInPieces(
        expected.substr(0, random.Below(expected.size())), seed, &splitter);
    splitter.Restart();
    const int next =
        splitter.last_id().empty() ? 1 : std::stoi(splitter.last_id()) + 1;
    // The second upstream may start a few events before the requested one.
    const int first = std::max(1, next - static_cast<int>(random.Below(3)));
    output += FeedInPieces(MakeEvents(first, 12), seed + 1, &splitter);
    RC_ASSERT(output == expected);
  });
}

TEST_CASE("EventSplitter: accepts lines that end in CRLF", "[gateway]") {
  EventSplitter splitter;
  CHECK(splitter.Feed("id: 4\r\ndata: x\r\n\r\nid") ==
        "id: 4\r\ndata: x\r\n\r\n");
  CHECK(splitter.last_id() == "4");
}

}  // namespace
}  // namespace papaya
