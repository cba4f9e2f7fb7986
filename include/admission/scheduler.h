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
#include "include/routing/upstream_news.h"
#include "include/telemetry/event.h"

namespace papaya {

class SchedulerCore;

// What a Scheduler asks of the daemon. Hooks are called from inside the
// Scheduler's methods and must not call back into it; all must be set.
struct SchedulerHooks {
  // Send the request to that upstream, as one attempt. Ends with OnFinished.
  std::function<void(RequestId, const UpstreamId&)> dispatch;
  // Tell the caller so; the request has ended.
  std::function<void(RequestId, const Rejection&)> reject;
  // Cancel the attempt under way, and report kPreempted once the upstream has
  // let go of it, or how else it ended.
  std::function<void(RequestId)> preempt;
  // This router has `whole` in hand: pass each of `parts` on to its router.
  std::function<void(const DemandReport& whole, const DemandParts& parts)>
      send_demand;
  EventHook event;
};

// What a Scheduler has in hand.
struct SchedulerCounts {
  size_t queued = 0;
  size_t running = 0;
};

// Decides for one router which request goes to which upstream and when: holds
// the requests that wait, divides the slots of upstreams with the other
// routers, and tries again what may be tried again. Does no I/O and reads no
// clock; not thread-safe. `now` must never go back.
//
// Every request handed to OnRequest ends exactly once: by OnFinished with kOk,
// by OnCancelled, or by the hook `refuse`. Between two attempts, and while it
// is in none, it waits here.
class Scheduler {
 public:
  Scheduler(SchedulerOptions options, SchedulerHooks hooks);
  ~Scheduler();

  // The routes to take from now on; must not be null. Requests are refused
  // until the first one is there.
  void OnSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot,
                  TimePoint now);

  // Takes in a request whose id was not used before.
  void OnRequest(const RequestSpec& request, TimePoint now);

  // The first output token of the attempt under way has arrived.
  void OnFirstToken(RequestId id, TimePoint now);

  // The attempt under way has given `total` output tokens so far.
  void OnTokens(RequestId id, Tokens total, TimePoint now);

  // The attempt under way has ended.
  void OnFinished(RequestId id, const AttemptResult& result, TimePoint now);

  // The caller has gone; an attempt under way is cancelled by the daemon.
  void OnCancelled(RequestId id, TimePoint now);

  void OnLoadReport(const UpstreamId& upstream,
                    const LoadReport& report,
                    TimePoint now);
  void OnCacheEvent(const UpstreamId& upstream,
                    const CacheEvent& event,
                    TimePoint now);

  // A report of another router, however late or out of order.
  void OnDemandReport(const DemandReport& report, TimePoint now);

  // To be called at least every 50 ms.
  void OnTick(TimePoint now);

  SchedulerCounts counts() const;

 private:
  std::unique_ptr<SchedulerCore> core_;
};

}  // namespace papaya

#endif  // INCLUDE_ADMISSION_SCHEDULER_H_
