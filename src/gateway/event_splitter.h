#ifndef SRC_GATEWAY_EVENT_SPLITTER_H_
#define SRC_GATEWAY_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace papaya {

// Finds the whole events in the pieces of a text/event-stream and leaves their
// bytes as they are, so that an answer that breaks off within an event can go
// on elsewhere after the last whole one. Events that were seen before are left
// out.
class EventSplitter {
 public:
  // Adds bytes of the stream; gives the whole events that are ready.
  std::string Feed(std::string_view bytes);

  // The bytes after the last whole event, which are then forgotten.
  std::string TakePartialEvent();

  // Another answer takes up the stream after last_id().
  void Restart() { partial_event_.clear(); }

  // The id of the last event given; empty if there was none.
  const std::string& last_id() const { return last_id_; }
  // Events given so far.
  int64_t events() const { return events_; }

 private:
  // True if the event in `text` is to be given.
  bool AcceptEvent(std::string_view text);

  std::string partial_event_;
  std::string last_id_;
  std::optional<int64_t> last_number_;
  int64_t events_ = 0;
};

}  // namespace papaya

#endif  // SRC_GATEWAY_EVENT_SPLITTER_H_
