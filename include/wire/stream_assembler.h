#ifndef INCLUDE_WIRE_STREAM_ASSEMBLER_H_
#define INCLUDE_WIRE_STREAM_ASSEMBLER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "absl/status/status.h"
#include "include/base/units.h"
#include "include/wire/sse_reader.h"

namespace papaya {

// Puts the events of one stream into the order of their indexes: doubled ones
// are dropped, early ones are held until those before them have come. Events
// without an index are taken to follow the one before.
class StreamAssembler {
 public:
  struct Limits {
    size_t max_held_events = 1024;
    Bytes max_held_bytes{1024 * 1024};
  };

  // The first event to give out has index `first`.
  StreamAssembler(int64_t first, const Limits& limits);

  // Takes one event and appends those that are now in order to `ready`. The
  // end of the stream is no event of its own here; see IsComplete. Fails with
  // kResourceExhausted if too much would be held; the event is not taken then.
  absl::Status Add(SseEvent event, std::vector<SseEvent>* ready);

  // The index that is waited for: how many tokens were given out, counted from
  // the start of the stream.
  int64_t next() const { return next_; }

  // True once the stream has ended and every event of it was given out.
  bool IsComplete() const;

  // True if the stream has ended but events of it are missing.
  bool HasGap() const { return ended_ && !IsComplete(); }

  // Forgets that the stream has ended, before it is asked for again from
  // next(). Events held stay.
  void Reopen() { ended_ = false; }

 private:
  void GiveOut(std::vector<SseEvent>* ready);

  Limits limits_;
  int64_t next_;
  std::map<int64_t, SseEvent> held_;
  int64_t held_bytes_ = 0;
  bool ended_ = false;
  // How many tokens the stream has, if its end said so.
  std::optional<int64_t> length_;
};

}  // namespace papaya

#endif  // INCLUDE_WIRE_STREAM_ASSEMBLER_H_
