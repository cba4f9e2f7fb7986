#ifndef SRC_WIRE_PEER_LIVENESS_H_
#define SRC_WIRE_PEER_LIVENESS_H_

#include <cstdint>
#include <optional>

#include "include/base/units.h"

namespace papaya {

// Decides when a connection to another router has gone silent: the frames sent
// on it are not acknowledged in time. The time follows the delay of the last
// acknowledgement, so that a slow router gets longer. Does no I/O and reads no
// clock.
class PeerLiveness {
 public:
  // `timeout` is the least time that an acknowledgement may take.
  explicit PeerLiveness(Duration timeout)
      : timeout_(timeout), limit_(timeout) {}

  // `frames` more were written to the connection.
  void OnSent(uint64_t frames, TimePoint now);

  // The other router has received `frames` since the connection was opened.
  void OnAcknowledged(uint64_t frames, TimePoint now);

  // The time from which the connection counts as silent if nothing more is
  // acknowledged; empty while everything is acknowledged.
  std::optional<TimePoint> SilentAt() const;

  // How long frames have waited for an acknowledgement. Call only while some
  // do.
  Duration Silence(TimePoint now) const { return now - waiting_since_; }

  // The number of frames that were acknowledged.
  uint64_t acknowledged() const { return acknowledged_; }

 private:
  Duration timeout_;
  // How long the next acknowledgement may take.
  Duration limit_;
  uint64_t sent_ = 0;
  uint64_t acknowledged_ = 0;
  // Since when frames wait for an acknowledgement; later than their sending if
  // others were acknowledged meanwhile.
  TimePoint waiting_since_;
};

}  // namespace papaya

#endif  // SRC_WIRE_PEER_LIVENESS_H_
