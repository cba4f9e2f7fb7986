#include "include/wire/sse_reader.h"

#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "include/base/error.h"

namespace papaya {

namespace {

constexpr char kDone[] = "[DONE]";

// The part of an SSE line after its colon and one space.
std::string FieldValue(const std::string& line, size_t colon) {
  size_t start = colon + 1;
  if (start < line.size() && line[start] == ' ') {
    ++start;
  }
  return line.substr(start);
}

}  // namespace

bool IsStreamEnd(const SseEvent& event) {
  return event.data == kDone;
}

std::string FormatSseEvent(const SseEvent& event) {
  std::string text;
  if (event.index.has_value()) {
    absl::StrAppend(&text, "id: ", *event.index, "\n");
  }
  size_t start = 0;
  while (true) {
    const size_t end = event.data.find('\n', start);
    absl::StrAppend(&text, "data: ", event.data.substr(start, end - start),
                    "\n");
    if (end == std::string::npos) {
      break;
    }
    start = end + 1;
  }
  text += "\n";
  return text;
}

absl::Status SseReader::Feed(const std::string& bytes,
                             std::vector<SseEvent>* events) {
  for (const char byte : bytes) {
    const bool second_of_pair = after_return_ && byte == '\n';
    after_return_ = byte == '\r';
    if (second_of_pair) {
      continue;
    }
    if (byte == '\n' || byte == '\r') {
      TakeLine(std::exchange(line_, {}), events);
      continue;
    }
    line_ += byte;
    if (std::ssize(line_) + std::ssize(event_.data) > max_event_.value()) {
      return MakeError(absl::StatusCode::kResourceExhausted,
                       {.step = "stream.read"}, "an event is too long");
    }
  }
  return absl::OkStatus();
}

void SseReader::TakeLine(const std::string& line,
                         std::vector<SseEvent>* events) {
  if (line.empty()) {
    if (has_data_) {
      events->push_back(std::move(event_));
    }
    event_ = SseEvent();
    has_data_ = false;
    return;
  }
  const size_t colon = line.find(':');
  if (colon == 0 || colon == std::string::npos) {
    return;
  }
  const std::string field = line.substr(0, colon);
  if (field == "data") {
    if (has_data_) {
      event_.data += '\n';
    }
    event_.data += FieldValue(line, colon);
    has_data_ = true;
    return;
  }
  int64_t index = 0;
  if (field == "id" && absl::SimpleAtoi(FieldValue(line, colon), &index) &&
      index >= 0) {
    event_.index = index;
  }
}

}  // namespace papaya
