#include "src/wire/peer_liveness.h"

#include <algorithm>

namespace papaya {

namespace {

// The limit as a multiple of the last delay, and of the timeout at most.
constexpr int kDelayFactor = 4;
constexpr int kMaxTimeouts = 4;

}  // namespace

void PeerLiveness::OnSent(uint64_t frames, TimePoint now) {
  if (sent_ == acknowledged_) {
    waiting_since_ = now;
  }
  sent_ += frames;
}

void PeerLiveness::OnAcknowledged(uint64_t frames, TimePoint now) {
  if (frames <= acknowledged_ || frames > sent_) {
    return;
  }
  limit_ = std::clamp(kDelayFactor * (now - waiting_since_), timeout_,
                      kMaxTimeouts * timeout_);
  acknowledged_ = frames;
  waiting_since_ = now;
}

std::optional<TimePoint> PeerLiveness::SilentAt() const {
  return sent_ == acknowledged_
             ? std::nullopt
             : std::optional<TimePoint>(waiting_since_ + limit_);
}

}  // namespace papaya
