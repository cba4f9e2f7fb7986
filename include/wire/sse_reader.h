#ifndef INCLUDE_WIRE_SSE_READER_H_
#define INCLUDE_WIRE_SSE_READER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "include/base/units.h"

namespace papaya {

// One event of a server-sent event stream.
struct SseEvent {
  // Token index; empty if the event had no `id`, or one that is no number.
  std::optional<int64_t> index;
  std::string data;

  bool operator==(const SseEvent&) const = default;
};

// True for the event that ends a stream of an engine: `data: [DONE]`.
bool IsStreamEnd(const SseEvent& event);

// The event's text on the wire, blank line included.
std::string FormatSseEvent(const SseEvent& event);

// Cuts a byte stream into server-sent events, however the bytes are split.
class SseReader {
 public:
  // An event longer than `max_event` is an error.
  explicit SseReader(Bytes max_event) : max_event_(max_event) {}

  // Takes the next bytes and appends the events that they complete to
  // `events`. Fails with kResourceExhausted on an event that is too long; the
  // reader is of no use then.
  absl::Status Feed(const std::string& bytes, std::vector<SseEvent>* events);

 private:
  void TakeLine(const std::string& line, std::vector<SseEvent>* events);

  Bytes max_event_;
  std::string line_;
  SseEvent event_;
  bool has_data_ = false;
  bool after_return_ = false;
};

}  // namespace papaya

#endif  // INCLUDE_WIRE_SSE_READER_H_
