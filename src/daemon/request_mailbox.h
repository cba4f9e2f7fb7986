#ifndef SRC_DAEMON_REQUEST_MAILBOX_H_
#define SRC_DAEMON_REQUEST_MAILBOX_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>

#include "include/admission/attempt_result.h"
#include "include/config/fleet_config.h"

namespace papaya {

// What the scheduler, or the caller's connection, asks of one request.
struct RequestCommand {
  enum class Kind : uint8_t {
    kDispatch,            // attempt it at `upstream`
    kReject,              // tell the caller `refusal`; it has ended
    kPreempt,             // cancel the attempt under way
    kCallerDisconnected,  // the caller has closed its connection
  };

  Kind kind = Kind::kDispatch;
  UpstreamSpec upstream;
  Rejection rejection;
};

// Commands to one request on their way to its coroutine. Lives on the thread of
// the request's connection; only executor() may be used from others.
class RequestMailbox {
 public:
  explicit RequestMailbox(const boost::asio::any_io_executor& executor);

  const boost::asio::any_io_executor& executor() const { return executor_; }

  // Adds a command. kPreempt and kCallerDisconnected also call the interrupt
  // hook; kPreempt does nothing else.
  void Push(RequestCommand command);

  // Takes the next command, waiting for it if need be.
  boost::asio::awaitable<RequestCommand> Next();

  // `interrupt` is called when the attempt under way is to end early, at once
  // if that was asked already; null during none.
  void SetCancelHook(std::function<void()> cancel_attempt);

  bool caller_disconnected() const { return caller_disconnected_; }

  // True if kPreempt came since the last kDispatch.
  bool preempted() const { return preempted_; }

 private:
  boost::asio::any_io_executor executor_;
  boost::asio::steady_timer wake_;
  std::deque<RequestCommand> commands_;
  std::function<void()> cancel_attempt_;
  bool caller_disconnected_ = false;
  bool preempted_ = false;
};

}  // namespace papaya

#endif  // SRC_DAEMON_REQUEST_MAILBOX_H_
