#include "src/daemon/forward_dispatcher.h"

#include <utility>
#include <vector>

#include "include/base/error.h"

namespace papaya {

void ForwardDispatcher::Forward(const RouterId& issuer,
                                Incarnation incarnation,
                                ForwardRequest request,
                                TimePoint deadline,
                                ReplyHook done) {
  if (pending_.size() >= kMaxPending) {
    done(MakeError(absl::StatusCode::kResourceExhausted,
                   {.step = "ticket.forward", .peer = issuer.value()},
                   "too many forwarded requests are pending"));
    return;
  }
  request.serial = next_serial_++;
  pending_[request.serial] = {.issuer = issuer,
                              .incarnation = incarnation,
                              .deadline = deadline,
                              .done = std::move(done)};
  send_(issuer, request);
}

void ForwardDispatcher::OnReply(const ForwardReply& reply) {
  const auto found = pending_.find(reply.serial);
  if (found == pending_.end()) {
    return;
  }
  const ReplyHook done = std::move(found->second.done);
  pending_.erase(found);
  done(reply.response);
}

void ForwardDispatcher::OnTick(TimePoint now) {
  std::vector<PendingForward> ended;
  for (auto next = pending_.begin(); next != pending_.end();) {
    const PendingForward& pending = next->second;
    if (now < pending.deadline &&
        is_alive_(pending.issuer, pending.incarnation)) {
      ++next;
      continue;
    }
    ended.push_back(std::move(next->second));
    next = pending_.erase(next);
  }
  for (const PendingForward& pending : ended) {
    const bool is_late = now >= pending.deadline;
    pending.done(
        MakeError(is_late ? absl::StatusCode::kDeadlineExceeded
                          : absl::StatusCode::kUnavailable,
                  {.step = "ticket.forward", .peer = pending.issuer.value()},
                  is_late ? "the issuer did not reply before the deadline"
                          : "the issuer died before it replied"));
  }
}

}  // namespace papaya
