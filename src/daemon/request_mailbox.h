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

// A command to one request, from the scheduler or from the caller's connection.
struct RequestCommand {
  enum class Kind : uint8_t {
    kDispatch,            // start an attempt at `upstream`
    kReject,              // end the request and return `rejection`
    kPreempt,             // cancel the attempt in progress
    kCallerDisconnected,  // the caller closed its connection
  };

  Kind kind = Kind::kDispatch;
  UpstreamSpec upstream;
  Rejection rejection;
};

// Queue of commands to the coroutine of one request. Must be used on the thread
// of the request's connection, except for executor(), which may be called on
// any thread.
class RequestMailbox {
 public:
  explicit RequestMailbox(const boost::asio::any_io_executor& executor);

  const boost::asio::any_io_executor& executor() const { return executor_; }

  // Adds a command. kPreempt and kCallerDisconnected also call the cancel hook;
  // kPreempt is not queued.
  void Push(RequestCommand command);

  // Removes the next command, waiting until there is one.
  boost::asio::awaitable<RequestCommand> Next();

  // Sets the function that cancels the attempt in progress; null if there is
  // none. It is called on kPreempt and kCallerDisconnected, and immediately if
  // one of them has already arrived for this attempt.
  void SetCancelHook(std::function<void()> cancel_attempt);

  bool caller_disconnected() const { return caller_disconnected_; }

  // True if kPreempt arrived after the last kDispatch.
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
