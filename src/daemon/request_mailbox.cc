#include "src/daemon/request_mailbox.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace papaya {

namespace asio = boost::asio;

RequestMailbox::RequestMailbox(const asio::any_io_executor& executor)
    : executor_(executor),
      wake_(executor, asio::steady_timer::time_point::max()) {}

void RequestMailbox::Push(RequestCommand command) {
  const bool ends_attempt =
      command.kind == RequestCommand::Kind::kPreempt ||
      command.kind == RequestCommand::Kind::kCallerDisconnected;
  switch (command.kind) {
    case RequestCommand::Kind::kPreempt:
      preempted_ = true;
      break;
    case RequestCommand::Kind::kDispatch:
      // A preemption only concerns the previous attempt.
      preempted_ = false;
      break;
    case RequestCommand::Kind::kCallerDisconnected:
      caller_disconnected_ = true;
      break;
    case RequestCommand::Kind::kReject:
      break;
  }
  if (command.kind != RequestCommand::Kind::kPreempt) {
    commands_.push_back(std::move(command));
    wake_.cancel();
  }
  if (ends_attempt && cancel_attempt_ != nullptr) {
    cancel_attempt_();
  }
}

asio::awaitable<RequestCommand> RequestMailbox::Next() {
  while (commands_.empty()) {
    boost::system::error_code cancelled;
    co_await wake_.async_wait(
        asio::redirect_error(asio::use_awaitable, cancelled));
  }
  RequestCommand command = std::move(commands_.front());
  commands_.pop_front();
  co_return command;
}

void RequestMailbox::SetCancelHook(std::function<void()> cancel_attempt) {
  cancel_attempt_ = std::move(cancel_attempt);
  if (cancel_attempt_ != nullptr && (caller_disconnected_ || preempted_)) {
    cancel_attempt_();
  }
}

}  // namespace papaya
