#ifndef INCLUDE_STANDIN_LOAD_RUNNER_H_
#define INCLUDE_STANDIN_LOAD_RUNNER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "include/standin/load_plan.h"
#include "include/standin/load_tally.h"

namespace papaya {

class LoadCaller;

// Sends a planned load as an open-loop generator: each call is sent at its
// planned time, even if earlier calls have not ended. Counts the outcomes. Must
// be used on the thread that runs the context.
class LoadRunner {
 public:
  // `context` must be run by one thread and outlive the runner. The runner must
  // outlive its calls. `done` is called once, when all calls have ended.
  LoadRunner(boost::asio::io_context* context,
             const LoadOptions& options,
             std::function<void()> done);
  ~LoadRunner();

  void Start();

  // Stops sending calls. Calls in flight still run to their end.
  void Stop();

  const LoadTally& tally() const { return tally_; }

 private:
  boost::asio::awaitable<void> SendAll();
  boost::asio::awaitable<void> SendOne(PlannedCall call);
  void CallDoneIfFinished();

  boost::asio::io_context& context_;
  const LoadOptions options_;
  const std::function<void()> done_;
  const std::vector<PlannedCall> plan_;
  boost::asio::steady_timer timer_;
  std::unique_ptr<LoadCaller> caller_;
  LoadTally tally_;
  bool is_stopped_ = false;
  bool is_all_sent_ = false;
  int in_flight_ = 0;
};

}  // namespace papaya

#endif  // INCLUDE_STANDIN_LOAD_RUNNER_H_
