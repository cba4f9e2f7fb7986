#ifndef SRC_DAEMON_ONCE_CLIENT_H_
#define SRC_DAEMON_ONCE_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "include/base/ids.h"
#include "include/base/outcome.h"
#include "include/once/once_verdict.h"
#include "include/once/stored_answer.h"
#include "include/wire/forward_messages.h"
#include "src/daemon/once_controller.h"

namespace papaya {

// The traffic threads' way to the control thread's OnceController, and to the
// routers that issued tickets. All methods may be called on any thread; each
// coroutine goes on where it was.
class OnceClient {
 public:
  using ReplyHook = std::function<void(absl::StatusOr<HttpResponse>)>;
  // Hands a request to another router; on the control thread. Calls back once,
  // by the deadline at the latest.
  using ForwardHook = std::function<void(const RouterId&,
                                         Incarnation,
                                         ForwardRequest,
                                         TimePoint deadline,
                                         ReplyHook)>;

  // `context` is the control thread's. `plane` must outlive this.
  OnceClient(boost::asio::io_context& context,
             OnceController* controller,
             ForwardHook forward)
      : context_(context),
        controller_(controller),
        forward_(std::move(forward)) {}

  // Decides on a request that must not run twice; the contract of
  // OnceController::Decide.
  boost::asio::awaitable<absl::StatusOr<OnceVerdict>> Decide(
      OnceRequest request);

  // Notes how a request that proceeded ended.
  void End(RequestId id, Outcome outcome, StoredAnswer answer);

  // Hands a request to that incarnation of the issuer of its ticket and awaits
  // its answer. Fails with kUnavailable or kDeadlineExceeded; the request may
  // then have run.
  boost::asio::awaitable<absl::StatusOr<HttpResponse>> Forward(
      RouterId issuer,
      Incarnation incarnation,
      ForwardRequest request,
      TimePoint deadline);

  boost::asio::awaitable<std::vector<std::string>> IssueTickets(
      AccountId account,
      int count);

 private:
  boost::asio::io_context& context_;
  OnceController* controller_;
  ForwardHook forward_;
};

}  // namespace papaya

#endif  // SRC_DAEMON_ONCE_CLIENT_H_
