#ifndef SRC_WIRE_ACK_WATCH_H_
#define SRC_WIRE_ACK_WATCH_H_

#include <cstdint>
#include <optional>

#include "include/base/units.h"

namespace papaya {

// What the system knows of the bytes that it has taken for a TCP connection.
struct SendState {
  // Bytes that the peer has not acknowledged, sent or not.
  int64_t queued_bytes = 0;
  // The peer has not acknowledged a segment or a window probe that was sent.
  bool is_unanswered = false;
  // Time since anything was acknowledged.
  Duration ack_age{};
};

// Returns the state of the connected socket `handle`; empty if the system does
// not tell. Costs two system calls.
std::optional<SendState> ReadSendState(int handle);

// Decides when the peer of a connection is dead: it acknowledges nothing of
// what was sent to it for kTimeout. A peer that keeps its window closed, as it
// reads slowly, answers window probes and is alive. TCP_USER_TIMEOUT does not
// make this difference. Does no I/O and reads no clock.
class AckWatch {
 public:
  // Below the 2 s after which callers abandon a silent stream.
  static constexpr Duration kTimeout = std::chrono::milliseconds(1800);
  static constexpr Duration kCheckInterval = std::chrono::milliseconds(600);

  struct Decision {
    bool is_dead = false;
    // Some bytes were acknowledged since the last check.
    bool has_progress = false;
    // The delay until the next check; empty if there is nothing to watch.
    std::optional<Duration> next_check;
  };

  // Bytes were passed to the system. Returns the delay until the first check,
  // or nothing if a check is already due.
  std::optional<Duration> OnWrite(TimePoint now);

  // `unsent` is the number of bytes that wait outside the system, and
  // `written` the number of those that it has taken so far.
  Decision Check(const SendState& state,
                 int64_t unsent,
                 int64_t written,
                 TimePoint now);

 private:
  bool is_watching_ = false;
  // All that was sent is acknowledged, as of the last check.
  bool is_clear_ = true;
  // Since when something that was sent may be unacknowledged.
  TimePoint unanswered_since_;
  TimePoint check_due_;
  int64_t acknowledged_ = 0;
};

}  // namespace papaya

#endif  // SRC_WIRE_ACK_WATCH_H_
