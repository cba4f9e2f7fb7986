#include "src/daemon/forward_desk.h"

#include <utility>
#include <vector>

#include "include/base/error.h"

namespace papaya {

void ForwardDesk::Forward(const RouterId& issuer,
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
  waiting_[request.serial] = {
      .issuer = issuer, .deadline = deadline, .done = std::move(done)};
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
  std::vector<Waiting> late;
  for (auto next = waiting_.begin(); next != waiting_.end();) {
    if (now < next->second.deadline) {
      ++next;
      continue;
    }
    late.push_back(std::move(next->second));
    next = waiting_.erase(next);
  }
  for (const Waiting& waiting : late) {
    waiting.done(
        MakeError(absl::StatusCode::kDeadlineExceeded,
                  {.step = "ticket.forward", .peer = waiting.issuer.value()},
                  "gave no answer in time"));
  }
}

}  // namespace papaya
