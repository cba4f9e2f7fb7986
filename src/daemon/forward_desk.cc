#include "src/daemon/forward_desk.h"

#include <utility>
#include <vector>

#include "include/base/error.h"

namespace papaya {

void ForwardDesk::Forward(const RouterId& issuer,
                          Incarnation incarnation,
                          ForwardRequest request,
                          TimePoint deadline,
                          ReplyHook done) {
  if (waiting_.size() >= kMaxWaiting) {
    done(MakeError(absl::StatusCode::kResourceExhausted,
                   {.step = "ticket.forward", .peer = issuer.value()},
                   "too many requests wait for issuers of tickets"));
    return;
  }
  request.serial = next_serial_++;
  waiting_[request.serial] = {.issuer = issuer,
                              .incarnation = incarnation,
                              .deadline = deadline,
                              .done = std::move(done)};
  send_(issuer, request);
}

void ForwardDesk::OnReply(const ForwardReply& reply) {
  const auto found = waiting_.find(reply.serial);
  if (found == waiting_.end()) {
    return;
  }
  const ReplyHook done = std::move(found->second.done);
  waiting_.erase(found);
  done(reply.response);
}

void ForwardDesk::OnTick(TimePoint now) {
  std::vector<Waiting> over;
  for (auto next = waiting_.begin(); next != waiting_.end();) {
    const Waiting& waiting = next->second;
    if (now < waiting.deadline &&
        is_alive_(waiting.issuer, waiting.incarnation)) {
      ++next;
      continue;
    }
    over.push_back(std::move(next->second));
    next = waiting_.erase(next);
  }
  for (const Waiting& waiting : over) {
    const bool is_late = now >= waiting.deadline;
    waiting.done(
        MakeError(is_late ? absl::StatusCode::kDeadlineExceeded
                          : absl::StatusCode::kUnavailable,
                  {.step = "ticket.forward", .peer = waiting.issuer.value()},
                  is_late ? "gave no answer in time"
                          : "has ended before it gave an answer"));
  }
}

}  // namespace papaya
