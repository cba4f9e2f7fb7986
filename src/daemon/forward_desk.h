#ifndef SRC_DAEMON_FORWARD_DESK_H_
#define SRC_DAEMON_FORWARD_DESK_H_

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
class ForwardDesk {
 public:
  using ReplyHook = std::function<void(absl::StatusOr<HttpResponse>)>;
  using SendHook = std::function<void(const RouterId&, const ForwardRequest&)>;

  static constexpr size_t kMaxWaiting = 4096;

  explicit ForwardDesk(SendHook send) : send_(std::move(send)) {}

  // Sends `request` to `issuer`. `done` is called once: with the answer, with
  // kDeadlineExceeded by OnTick, or with kResourceExhausted at once if too many
  // wait; then nothing was sent.
  void Forward(const RouterId& issuer,
               ForwardRequest request,
               TimePoint deadline,
               ReplyHook done);

  // A late or doubled answer is passed over.
  void OnReply(const ForwardReply& reply);

  // Call every 100 ms or oftener.
  void OnTick(TimePoint now);

 private:
  struct Waiting {
    RouterId issuer;
    TimePoint deadline;
    ReplyHook done;
  };

  SendHook send_;
  uint64_t next_serial_ = 1;
  std::map<uint64_t, Waiting> waiting_;
};

}  // namespace papaya

#endif  // SRC_DAEMON_FORWARD_DESK_H_
