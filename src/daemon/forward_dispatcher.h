#ifndef SRC_DAEMON_FORWARD_DISPATCHER_H_
#define SRC_DAEMON_FORWARD_DISPATCHER_H_

#include <cstdint>
#include <functional>
#include <map>

#include "absl/status/statusor.h"
#include "include/base/ids.h"
#include "include/base/units.h"
#include "include/wire/forward_messages.h"

namespace papaya {

// Requests that this router handed to the issuers of their tickets and that
// await the answer. Bounded. Control thread.
class ForwardDispatcher {
 public:
  using ReplyHook = std::function<void(absl::StatusOr<HttpResponse>)>;
  using SendHook = std::function<void(const RouterId&, const ForwardRequest&)>;
  // True if that incarnation of a router is believed to be alive.
  using AliveHook = std::function<bool(const RouterId&, Incarnation)>;

  static constexpr size_t kMaxPending = 4096;

  ForwardDispatcher(SendHook send, AliveHook is_alive)
      : send_(std::move(send)), is_alive_(std::move(is_alive)) {}

  // Sends `request` to `issuer`. `done` is called once: with the answer; by
  // OnTick with kDeadlineExceeded, or with kUnavailable if that incarnation of
  // the issuer lives no more; or with kResourceExhausted at once if too many
  // wait, and then nothing was sent.
  void Forward(const RouterId& issuer,
               Incarnation incarnation,
               ForwardRequest request,
               TimePoint deadline,
               ReplyHook done);

  // A late or doubled answer is passed over.
  void OnReply(const ForwardReply& reply);

  // Call every 100 ms or oftener.
  void OnTick(TimePoint now);

 private:
  struct PendingForward {
    RouterId issuer;
    Incarnation incarnation;
    TimePoint deadline;
    ReplyHook done;
  };

  SendHook send_;
  AliveHook is_alive_;
  uint64_t next_serial_ = 1;
  std::map<uint64_t, PendingForward> pending_;
};

}  // namespace papaya

#endif  // SRC_DAEMON_FORWARD_DISPATCHER_H_
