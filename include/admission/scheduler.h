#ifndef INCLUDE_ADMISSION_SCHEDULER_H_
#define INCLUDE_ADMISSION_SCHEDULER_H_

#include <functional>
#include <memory>

#include "include/admission/attempt_result.h"
#include "include/admission/demand_report.h"
#include "include/admission/scheduler_options.h"
#include "include/base/ids.h"
#include "include/base/request_spec.h"
#include "include/base/units.h"
#include "include/routing/routing_snapshot.h"
#include "include/routing/upstream_reports.h"
#include "include/telemetry/event.h"

namespace papaya {

class SchedulerCore;

// Callbacks from a Scheduler to its owner. They are called from within the
// Scheduler's methods and must not call back into it. All must be set.
struct SchedulerHooks {
  // Sends the request to the upstream as one attempt, which ends with
  // OnFinished.
  std::function<void(RequestId, const UpstreamId&)> dispatch;
  // Reports the rejection to the caller. The request has ended.
  std::function<void(RequestId, const Rejection&)> reject;
  // Cancels the current attempt. The owner then calls OnFinished with
  // kPreempted once the upstream has released the attempt, or with the result
  // if it ended otherwise.
  std::function<void(RequestId)> preempt;
  // Sends each of `parts` to its router. `whole` is the full demand of this
  // router.
  std::function<void(const DemandReport& whole, const DemandParts& parts)>
      send_demand;
  EventHook event;
};

// Number of requests that a Scheduler holds.
struct SchedulerCounts {
  size_t queued = 0;
  size_t running = 0;
};

// Decides for one router which request goes to which upstream and when. Queues
// waiting requests, divides the slots of upstreams with the other routers, and
// retries failed attempts where that is allowed. Does no I/O and reads no
// clock. Not thread-safe. `now` must never decrease.
//
// Every request passed to OnRequest ends exactly once: by OnFinished with kOk,
// by OnCancelled, or by the hook `reject`. Between attempts it waits in the
// queue.
class Scheduler {
 public:
  // An upstream that asks for more is tried again after this time. It bounds
  // how long one faulty response can keep an upstream out of use.
  static constexpr Duration kMaxRequestedDelay = std::chrono::minutes(5);

  Scheduler(SchedulerOptions options, SchedulerHooks hooks);
  ~Scheduler();

  // Sets the routes to use from now on; must not be null. Requests are rejected
  // until the first snapshot arrives.
  void OnSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot,
                  TimePoint now);

  // Sets this router's part of the retries, which depends on the number of
  // routers. Saved retries beyond the new limit are lost.
  void SetRetryBudget(const RetryBudgetOptions& options);

  // Accepts a new request. Its id must not have been used before.
  void OnRequest(const RequestSpec& request, TimePoint now);

  // The first output token of the current attempt has arrived.
  void OnFirstToken(RequestId id, TimePoint now);

  // The current attempt has produced `total` output tokens so far.
  void OnTokens(RequestId id, Tokens total, TimePoint now);

  // The current attempt has ended.
  void OnFinished(RequestId id, const AttemptResult& result, TimePoint now);

  // The caller has disconnected. The owner cancels a running attempt itself.
  void OnCancelled(RequestId id, TimePoint now);

  void OnLoadReport(const UpstreamId& upstream,
                    const LoadReport& report,
                    TimePoint now);
  // The upstream has asked this router to send it no request for `delay`.
  // Longer delays than kMaxRequestedDelay are cut to it.
  void OnRetryAfter(const UpstreamId& upstream, Duration delay, TimePoint now);

  void OnCacheEvent(const UpstreamId& upstream,
                    const CacheEvent& event,
                    TimePoint now);

  // Receives a report of another router; it may be late or out of order.
  void OnDemandReport(const DemandReport& report, TimePoint now);

  // Must be called at least every 50 ms.
  void OnTick(TimePoint now);

  SchedulerCounts counts() const;

 private:
  std::unique_ptr<SchedulerCore> core_;
};

}  // namespace papaya

#endif  // INCLUDE_ADMISSION_SCHEDULER_H_
