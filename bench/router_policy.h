#ifndef BENCH_ROUTER_POLICY_H_
#define BENCH_ROUTER_POLICY_H_

#include <memory>

#include "include/admission/scheduler.h"
#include "include/routing/routing_snapshot.h"

namespace papaya::bench {

// The scheduling decisions of one router: a Scheduler or a baseline policy.
class RouterPolicy {
 public:
  virtual ~RouterPolicy() = default;
  virtual void OnSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot,
                          TimePoint now) = 0;
  virtual void OnRequest(const RequestSpec& request, TimePoint now) = 0;
  virtual void OnFirstToken(RequestId, TimePoint) {}
  virtual void OnTokens(RequestId, Tokens, TimePoint) {}
  virtual void OnFinished(RequestId id,
                          const AttemptResult& result,
                          TimePoint now) = 0;
  virtual void OnLoadReport(const UpstreamId&, const LoadReport&, TimePoint) {}
  virtual void OnCacheEvent(const UpstreamId&, const CacheEvent&, TimePoint) {}
  virtual void OnDemandReport(const DemandReport&, TimePoint) {}
  virtual void OnTick(TimePoint) {}
  virtual SchedulerCounts counts() const { return {}; }
};

}  // namespace papaya::bench

#endif  // BENCH_ROUTER_POLICY_H_
