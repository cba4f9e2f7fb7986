#ifndef SRC_DAEMON_SCHEDULER_HOST_H_
#define SRC_DAEMON_SCHEDULER_HOST_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "absl/container/flat_hash_map.h"
#include "include/admission/scheduler.h"
#include "include/base/request_spec.h"

namespace papaya {

class RequestMailbox;

// Runs the Scheduler on one traffic thread: delivers events from all threads to
// it and its decisions to the mailboxes of the requests. All public methods may
// be called on any thread.
class SchedulerHost {
 public:
  struct Hooks {
    // Sends each part to its router. Called on the thread of the scheduler.
    std::function<void(const DemandParts&)> send_demand;
    EventHook event;
  };

  // `context` must be run by exactly one thread and outlive this object.
  SchedulerHost(boost::asio::io_context& context,
                SchedulerOptions options,
                Hooks hooks);

  // Starts the ticks.
  void Start();

  // Stops the ticks so that `context` can run out of work.
  void Stop();

  void SetSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot);

  // Adds a request; commands for it are pushed to `mailbox`.
  void Submit(const RequestSpec& request,
              std::shared_ptr<RequestMailbox> mailbox);

  void FirstToken(RequestId id);
  void SetTokens(RequestId id, Tokens total);
  void Finish(RequestId id, const AttemptResult& result);

  // Removes a request that ends without a complete response.
  void Cancel(RequestId id);

  void AddLoadReport(const UpstreamId& upstream, const LoadReport& report);
  void AddCacheEvent(const UpstreamId& upstream, const CacheEvent& event);
  void AddDemandReport(const DemandReport& report);

  size_t queued() const { return queued_; }
  size_t running() const { return running_; }

 private:
  void Tick();
  void PushTo(RequestId id, struct RequestCommand command, bool is_last);
  void Dispatch(RequestId id, const UpstreamId& upstream);
  void Reject(RequestId id, const Rejection& rejection);
  void Preempt(RequestId id);
  SchedulerHooks MakeHooks();
  // Posts `step` to the thread of the scheduler; it receives the time at which
  // it runs.
  void Run(std::function<void(TimePoint)> step);

  boost::asio::io_context& context_;
  boost::asio::steady_timer timer_;
  Hooks hooks_;
  Scheduler scheduler_;
  std::shared_ptr<const RoutingSnapshot> snapshot_;
  absl::flat_hash_map<RequestId, std::shared_ptr<RequestMailbox>> mailboxes_;
  std::atomic<size_t> queued_ = 0;
  std::atomic<size_t> running_ = 0;
  bool stopped_ = false;
};

}  // namespace papaya

#endif  // SRC_DAEMON_SCHEDULER_HOST_H_
