#ifndef SRC_GATEWAY_EVENT_SPLITTER_H_
#define SRC_GATEWAY_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace papaya {

// Splits a text/event-stream into complete events and leaves their bytes
// unchanged. A response that breaks off within an event can then be resumed at
// another upstream after the last complete event. Events with a numeric id that
// is not above the last one are dropped as duplicates.
class EventSplitter {
 public:
  // Adds bytes of the stream. Returns the events that are complete now.
  std::string Feed(std::string_view bytes);

  // Returns and clears the bytes after the last complete event.
  std::string TakePartialEvent();

  // Bytes after the last complete event.
  size_t partial_size() const { return partial_event_.size(); }

  // Prepares for another response that resumes the stream after last_id().
  void Restart() { partial_event_.clear(); }

  // The id of the last event returned by Feed that has one; empty if none has.
  const std::string& last_id() const { return last_id_; }
  // The number of events returned by Feed so far.
  int64_t events() const { return events_; }

 private:
  // Records the event in `text`. Returns false if it is a duplicate.
  bool AcceptEvent(std::string_view text);

  std::string partial_event_;
  std::string last_id_;
  std::optional<int64_t> last_number_;
  int64_t events_ = 0;
};

}  // namespace papaya

#endif  // SRC_GATEWAY_EVENT_SPLITTER_H_
