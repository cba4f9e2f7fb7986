#include "include/standin/load_runner.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "include/wire/steady_time.h"
#include "src/standin/load_caller.h"

namespace papaya {

namespace {

namespace asio = boost::asio;

}  // namespace

LoadRunner::LoadRunner(asio::io_context* context,
                       const LoadOptions& options,
                       std::function<void()> done)
    : context_(*context),
      options_(options),
      done_(std::move(done)),
      plan_(PlanLoad(options)),
      timer_(*context),
      caller_(std::make_unique<LoadCaller>(options_)) {}

LoadRunner::~LoadRunner() = default;

void LoadRunner::Start() {
  asio::co_spawn(context_, SendAll(), asio::detached);
}

void LoadRunner::Stop() {
  is_stopped_ = true;
  timer_.cancel();
}

asio::awaitable<void> LoadRunner::SendAll() {
  const TimePoint start = SteadyNow();
  for (const PlannedCall& call : plan_) {
    timer_.expires_at(ToSteadyClock(start + call.at));
    boost::system::error_code ignored;
    co_await timer_.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    if (is_stopped_) {
      break;
    }
    ++in_flight_;
    asio::co_spawn(context_, SendOne(call), asio::detached);
  }
  is_all_sent_ = true;
  CallDoneIfFinished();
}

asio::awaitable<void> LoadRunner::SendOne(PlannedCall call) {
  const CallResult result = co_await caller_->Call(std::move(call));
  tally_.Add(result);
  --in_flight_;
  CallDoneIfFinished();
}

void LoadRunner::CallDoneIfFinished() {
  if (is_all_sent_ && in_flight_ == 0) {
    done_();
  }
}

}  // namespace papaya
