#include "include/wire/stream_assembler.h"

#include <utility>

#include "include/base/error.h"

namespace papaya {

StreamAssembler::StreamAssembler(int64_t first, const Limits& limits)
    : limits_(limits), next_(first) {}

absl::Status StreamAssembler::Add(SseEvent event,
                                  std::vector<SseEvent>* ready) {
  if (IsStreamEnd(event)) {
    ended_ = true;
    length_ = event.index;
    return absl::OkStatus();
  }
  const int64_t index = event.index.value_or(next_);
  event.index = index;
  if (index < next_ || held_.contains(index)) {
    return absl::OkStatus();
  }
  if (index > next_) {
    const int64_t bytes = held_bytes_ + std::ssize(event.data);
    if (held_.size() >= limits_.max_held_events ||
        bytes > limits_.max_held_bytes.value()) {
      return MakeError(absl::StatusCode::kResourceExhausted,
                       {.step = "stream.assemble"},
                       "too many events are ahead of a missing one");
    }
    held_bytes_ = bytes;
    held_.emplace(index, std::move(event));
    return absl::OkStatus();
  }
  ready->push_back(std::move(event));
  ++next_;
  GiveOut(ready);
  return absl::OkStatus();
}

void StreamAssembler::GiveOut(std::vector<SseEvent>* ready) {
  while (!held_.empty() && held_.begin()->first == next_) {
    held_bytes_ -= std::ssize(held_.begin()->second.data);
    ready->push_back(std::move(held_.begin()->second));
    held_.erase(held_.begin());
    ++next_;
  }
}

bool StreamAssembler::IsComplete() const {
  return ended_ && held_.empty() && next_ >= length_.value_or(next_);
}

}  // namespace papaya
