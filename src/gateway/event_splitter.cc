#include "src/gateway/event_splitter.h"

#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/strip.h"

namespace papaya {

namespace {

// Returns the position after the empty line that ends the first event in
// `text`, or npos if the event is incomplete.
size_t FindEventEnd(std::string_view text) {
  size_t line = 0;
  while (true) {
    const size_t end = text.find('\n', line);
    if (end == std::string_view::npos) {
      return end;
    }
    const bool is_empty =
        end == line || (end == line + 1 && text[line] == '\r');
    if (is_empty) {
      return end + 1;
    }
    line = end + 1;
  }
}

// Returns the value of the event's `id` line, or an empty string.
std::string FindId(std::string_view event) {
  constexpr std::string_view kIdField = "id:";
  size_t line = 0;
  while (line < event.size()) {
    const size_t end = event.find('\n', line);
    std::string_view text = event.substr(line, end - line);
    if (text.starts_with(kIdField)) {
      text.remove_prefix(kIdField.size());
      if (text.starts_with(' ')) {
        text.remove_prefix(1);
      }
      if (text.ends_with('\r')) {
        text.remove_suffix(1);
      }
      return std::string(text);
    }
    if (end == std::string_view::npos) {
      break;
    }
    line = end + 1;
  }
  return "";
}

}  // namespace

std::string EventSplitter::Feed(std::string_view bytes) {
  partial_event_.append(bytes);
  std::string complete_events;
  size_t begin = 0;
  while (true) {
    const std::string_view text =
        std::string_view(partial_event_).substr(begin);
    const size_t size = FindEventEnd(text);
    if (size == std::string_view::npos) {
      break;
    }
    if (AcceptEvent(text.substr(0, size))) {
      complete_events.append(text.substr(0, size));
    }
    begin += size;
  }
  partial_event_.erase(0, begin);
  return complete_events;
}

std::string EventSplitter::TakePartialEvent() {
  return std::exchange(partial_event_, std::string());
}

bool EventSplitter::AcceptEvent(std::string_view text) {
  const std::string id = FindId(text);
  int64_t number = 0;
  if (!id.empty() && absl::SimpleAtoi(id, &number)) {
    if (last_number_.has_value() && number <= *last_number_) {
      return false;
    }
    last_number_ = number;
  }
  if (!id.empty()) {
    last_id_ = id;
  }
  ++events_;
  return true;
}

}  // namespace papaya
