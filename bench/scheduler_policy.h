#ifndef BENCH_SCHEDULER_POLICY_H_
#define BENCH_SCHEDULER_POLICY_H_

#include <memory>
#include <string>
#include <utility>

#include "bench/fake_fleet.h"
#include "include/admission/scheduler.h"

namespace papaya::bench {

// A RouterPolicy that delegates to a Scheduler.
class SchedulerPolicy : public RouterPolicy {
 public:
  SchedulerPolicy(size_t router,
                  SchedulerHooks hooks,
                  size_t max_queued = SchedulerOptions().max_queued,
                  SchedulerParts parts = {},
                  Bytes report_budget = SchedulerOptions().report_budget)
      : scheduler_(MakeOptions(router, max_queued, parts, report_budget),
                   std::move(hooks)) {}

  void OnSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot,
                  TimePoint now) override {
    scheduler_.OnSnapshot(std::move(snapshot), now);
  }
  void OnRequest(const RequestSpec& request, TimePoint now) override {
    scheduler_.OnRequest(request, now);
  }
  void OnFirstToken(RequestId id, TimePoint now) override {
    scheduler_.OnFirstToken(id, now);
  }
  void OnTokens(RequestId id, Tokens total, TimePoint now) override {
    scheduler_.OnTokens(id, total, now);
  }
  void OnFinished(RequestId id,
                  const AttemptResult& result,
                  TimePoint now) override {
    scheduler_.OnFinished(id, result, now);
  }
  void OnLoadReport(const UpstreamId& upstream,
                    const LoadReport& report,
                    TimePoint now) override {
    scheduler_.OnLoadReport(upstream, report, now);
  }
  void OnCacheEvent(const UpstreamId& upstream,
                    const CacheEvent& event,
                    TimePoint now) override {
    scheduler_.OnCacheEvent(upstream, event, now);
  }
  void OnDemandReport(const DemandReport& report, TimePoint now) override {
    scheduler_.OnDemandReport(report, now);
  }
  void OnTick(TimePoint now) override { scheduler_.OnTick(now); }
  SchedulerCounts counts() const override { return scheduler_.counts(); }

 private:
  static SchedulerOptions MakeOptions(size_t router,
                                      size_t max_queued,
                                      SchedulerParts parts,
                                      Bytes report_budget) {
    SchedulerOptions options;
    options.router = RouterId("r" + std::to_string(router));
    options.incarnation = Incarnation(1);
    options.max_queued = max_queued;
    options.parts = parts;
    options.report_budget = report_budget;
    return options;
  }

  Scheduler scheduler_;
};

}  // namespace papaya::bench

#endif  // BENCH_SCHEDULER_POLICY_H_
