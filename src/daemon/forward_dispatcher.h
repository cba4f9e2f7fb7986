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

// Forwards requests to the routers that issued their tickets and matches the
// replies. At most kMaxPending requests are pending. Runs on the control
// thread.
class ForwardDispatcher {
 public:
  using ReplyHook = std::function<void(absl::StatusOr<HttpResponse>)>;
  using SendHook = std::function<void(const RouterId&, const ForwardRequest&)>;
  // Returns true if that incarnation of the router is not declared dead.
  using AliveHook = std::function<bool(const RouterId&, Incarnation)>;

  static constexpr size_t kMaxPending = 4096;

  ForwardDispatcher(SendHook send, AliveHook is_alive)
      : send_(std::move(send)), is_alive_(std::move(is_alive)) {}

  // Sends `request` to `issuer`. Calls `done` exactly once: with the response;
  // from OnTick with kDeadlineExceeded after `deadline`, or with kUnavailable
  // once `incarnation` of the issuer is dead; or immediately with
  // kResourceExhausted, without sending anything, if kMaxPending requests are
  // pending.
  void Forward(const RouterId& issuer,
               Incarnation incarnation,
               ForwardRequest request,
               TimePoint deadline,
               ReplyHook done);

  // Late and duplicate replies are ignored.
  void OnReply(const ForwardReply& reply);

  // Must be called at least every 100 ms.
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
