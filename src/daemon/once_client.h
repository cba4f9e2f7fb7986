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
#include "include/once/once_decision.h"
#include "include/once/stored_answer.h"
#include "include/wire/forward_messages.h"
#include "src/daemon/once_controller.h"

namespace papaya {

// Lets traffic threads call the OnceController and forward requests to the
// issuers of their tickets; both run on the control thread. All methods may be
// called on any thread; each coroutine resumes on the executor of its caller.
class OnceClient {
 public:
  using ReplyHook = std::function<void(absl::StatusOr<HttpResponse>)>;
  // Forwards a request to another router. Called on the control thread; calls
  // ReplyHook once, at the latest at the deadline.
  using ForwardHook = std::function<void(const RouterId&,
                                         Incarnation,
                                         ForwardRequest,
                                         TimePoint deadline,
                                         ReplyHook)>;

  // `context` is run by the control thread. `controller` must outlive the
  // client.
  OnceClient(boost::asio::io_context& context,
             OnceController* controller,
             ForwardHook forward)
      : context_(context),
        controller_(controller),
        forward_(std::move(forward)) {}

  // See OnceController::Decide.
  boost::asio::awaitable<absl::StatusOr<OnceDecision>> Decide(
      OnceRequest request);

  // Records the outcome of a request for which Decide returned kProceed.
  void End(RequestId id, Outcome outcome, StoredAnswer answer);

  // Forwards a request to `incarnation` of the router that issued its ticket
  // and waits for the response. Fails with kResourceExhausted if nothing was
  // sent, or with kUnavailable or kDeadlineExceeded; after the latter two the
  // request may have run.
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
