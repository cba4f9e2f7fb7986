#include "include/wire/sse_reader.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

namespace papaya {
namespace {

TEST_CASE("SseReader: reads formatted events however they are split",
          "[wire]") {
  rc::prop("same events", [](const std::vector<std::string>& texts) {
    std::vector<SseEvent> sent;
    std::string bytes;
    for (const std::string& text : texts) {
      std::string data = text;
      std::erase(data, '\r');
      sent.push_back({static_cast<int64_t>(sent.size()), data});
      bytes += FormatSseEvent(sent.back());
    }
    SseReader reader(Bytes(1 << 20));
    std::vector<SseEvent> read;
    size_t at = 0;
    while (at < bytes.size()) {
      const size_t size = *rc::gen::inRange<size_t>(1, 9);
      RC_ASSERT(reader.Feed(bytes.substr(at, size), &read).ok());
      at += size;
    }
    RC_ASSERT(read == sent);
  });
}

TEST_CASE("SseReader: takes all line ends, comments and unknown fields",
          "[wire]") {
  SseReader reader(Bytes(100));
  std::vector<SseEvent> events;
  REQUIRE(reader
              .Feed(": hello\r\nretry: 3\r\nid: 7\r\ndata:a\r\ndata: b\r\n\r\n"
                    "id: x\rdata: [DONE]\r\r",
                    &events)
              .ok());
  REQUIRE(events.size() == 2);
  CHECK(events[0] == SseEvent{7, "a\nb"});
  CHECK_FALSE(events[1].index.has_value());
  CHECK(IsStreamEnd(events[1]));
}

TEST_CASE("SseReader: an endless event is an error", "[wire]") {
  SseReader reader(Bytes(100));
  std::vector<SseEvent> events;
  CHECK(reader.Feed("data: " + std::string(200, 'a'), &events).code() ==
        absl::StatusCode::kResourceExhausted);
}

}  // namespace
}  // namespace papaya
