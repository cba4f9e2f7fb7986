#include "src/wire/ack_watch.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>

namespace papaya {

namespace {

// A check that is later than this shows that the process was paused, maybe with
// the whole machine, so that acknowledgements could not arrive.
constexpr Duration kPauseLimit = std::chrono::seconds(1);
constexpr Duration kMinDelay = std::chrono::milliseconds(20);

}  // namespace

std::optional<SendState> ReadSendState(int handle) {
  tcp_info info = {};
  socklen_t size = sizeof(info);
  int queued = 0;
  // A system that fills in only part of this has no retransmission timeout.
  if (getsockopt(handle, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
      size < sizeof(info) || info.tcpi_rto == 0 ||
      ioctl(handle, SIOCOUTQ, &queued) != 0) {
    return std::nullopt;
  }
  return SendState{
      .queued_bytes = queued,
      .is_unanswered = info.tcpi_unacked > 0 || info.tcpi_probes > 0,
      .ack_age = std::chrono::milliseconds(info.tcpi_last_ack_recv)};
}

std::optional<Duration> AckWatch::OnWrite(TimePoint now) {
  if (is_clear_) {
    is_clear_ = false;
    unanswered_since_ = now;
  }
  if (is_watching_) {
    return std::nullopt;
  }
  is_watching_ = true;
  check_due_ = now + kCheckInterval;
  return kCheckInterval;
}

AckWatch::Decision AckWatch::Check(const SendState& state,
                                   int64_t unsent,
                                   int64_t written,
                                   TimePoint now) {
  Decision decision;
  const int64_t acknowledged = written - state.queued_bytes;
  decision.has_progress = acknowledged > acknowledged_;
  acknowledged_ = std::max(acknowledged_, acknowledged);
  const bool was_paused = now - check_due_ > kPauseLimit;
  if (!state.is_unanswered || was_paused) {
    unanswered_since_ = now;
  }
  is_clear_ = state.queued_bytes == 0;
  is_watching_ = !is_clear_ || unsent > 0;
  if (!is_watching_) {
    return decision;
  }
  const Duration silence = std::min(state.ack_age, now - unanswered_since_);
  decision.is_dead = state.is_unanswered && silence >= kTimeout;
  const Duration delay =
      std::clamp(kTimeout - silence, kMinDelay, kCheckInterval);
  check_due_ = now + delay;
  decision.next_check = delay;
  return decision;
}

}  // namespace papaya
