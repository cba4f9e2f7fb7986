#include "include/wire/stream_assembler.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

namespace papaya {
namespace {

SseEvent Token(int64_t index) {
  return {.index = index, .data = "token " + std::to_string(index)};
}

TEST_CASE(
    "StreamAssembler: any mix of doubled, late and early events gives "
    "the original",
    "[wire]") {
  rc::prop("exactly the original text", [](uint8_t length, uint8_t offset) {
    std::vector<int64_t> order;
    for (int64_t i = 0; i < length; ++i) {
      const int copies = *rc::gen::inRange(1, 4);
      order.insert(order.end(), static_cast<size_t>(copies), i);
    }
    for (size_t i = 0; i + 1 < order.size(); ++i) {
      std::swap(order[i], order[*rc::gen::inRange(i, order.size())]);
    }
    StreamAssembler assembler(offset, StreamAssembler::Limits());
    std::vector<SseEvent> given;
    for (const int64_t index : order) {
      RC_ASSERT(assembler.Add(Token(index), &given).ok());
    }
    std::vector<SseEvent> expected;
    for (int64_t i = offset; i < length; ++i) {
      expected.push_back(Token(i));
    }
    RC_ASSERT(given == expected);
    RC_ASSERT(!assembler.IsComplete());
    const SseEvent end{.index = length, .data = "[DONE]"};
    RC_ASSERT(assembler.Add(end, &given).ok());
    RC_ASSERT(assembler.IsComplete());
  });
}

TEST_CASE("StreamAssembler: holds no more than its bounds", "[wire]") {
  StreamAssembler::Limits limits;
  limits.max_held_events = 3;
  limits.max_held_bytes = Bytes(100);
  StreamAssembler assembler(0, limits);
  std::vector<SseEvent> ready;
  for (int64_t i = 1; i <= 3; ++i) {
    CHECK(assembler.Add(Token(i), &ready).ok());
  }
  CHECK(assembler.Add(Token(4), &ready).code() ==
        absl::StatusCode::kResourceExhausted);
  CHECK(assembler.Add(Token(0), &ready).ok());
  CHECK(ready.size() == 4);
  const SseEvent large{.index = 9, .data = std::string(101, 'a')};
  CHECK(assembler.Add(large, &ready).code() ==
        absl::StatusCode::kResourceExhausted);
}

TEST_CASE("StreamAssembler: an end before its events is a gap", "[wire]") {
  StreamAssembler assembler(0, StreamAssembler::Limits());
  std::vector<SseEvent> ready;
  CHECK(assembler.Add(Token(1), &ready).ok());
  CHECK(assembler.Add({.index = std::nullopt, .data = "[DONE]"}, &ready).ok());
  CHECK(assembler.HasGap());
  assembler.Reopen();
  CHECK(assembler.next() == 0);
  CHECK(assembler.Add(Token(0), &ready).ok());
  CHECK(assembler.Add({.index = 2, .data = "[DONE]"}, &ready).ok());
  CHECK(assembler.IsComplete());
}

}  // namespace
}  // namespace papaya
