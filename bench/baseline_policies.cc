#include "bench/baseline_policies.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <set>
#include <tuple>
#include <vector>

#include "bench/scheduler_policy.h"

namespace papaya::bench {

namespace {

// A Scheduler that receives only a part of its input, depending on `kind`.
class RestrictedSchedulerPolicy : public SchedulerPolicy {
 public:
  RestrictedSchedulerPolicy(size_t router,
                            SchedulerHooks hooks,
                            PolicyKind kind,
                            const SchedulerParts& parts)
      : SchedulerPolicy(router,
                        std::move(hooks),
                        SchedulerOptions().max_queued,
                        parts),
        kind_(kind) {}

  void OnRequest(const RequestSpec& request, TimePoint now) override {
    RequestSpec visible = request;
    if (kind_ == PolicyKind::kNoTiers) {
      visible.tier = Tier::kStandard;
    }
    if (kind_ == PolicyKind::kNoAffinity) {
      visible.prefix_hashes.clear();
    }
    SchedulerPolicy::OnRequest(visible, now);
  }
  void OnCacheEvent(const UpstreamId& upstream,
                    const CacheEvent& event,
                    TimePoint now) override {
    if (kind_ != PolicyKind::kNoAffinity) {
      SchedulerPolicy::OnCacheEvent(upstream, event, now);
    }
  }

 private:
  PolicyKind kind_;
};

// Dispatches every request at once, so that requests queue in the engines.
class ImmediateDispatchPolicy : public RouterPolicy {
 public:
  ImmediateDispatchPolicy(SchedulerHooks hooks, bool picks_least_outstanding)
      : hooks_(std::move(hooks)),
        picks_least_outstanding_(picks_least_outstanding) {}

  void OnSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot,
                  TimePoint /*now*/) override {
    snapshot_ = std::move(snapshot);
  }
  void OnRequest(const RequestSpec& request, TimePoint /*now*/) override {
    requests_[request.id] = request;
    Dispatch(request);
  }
  void OnFinished(RequestId id,
                  const AttemptResult& result,
                  TimePoint /*now*/) override {
    --outstanding_[assigned_[id]];
    const RequestSpec& request = requests_[id];
    if (result.end == AttemptEnd::kOk) {
      return;
    }
    if (result.end == AttemptEnd::kUnknown && !request.idempotent) {
      hooks_.reject(id, {RejectionReason::kAttemptsFailed, Outcome::kUnknown});
      return;
    }
    Dispatch(request);
  }

 private:
  void Dispatch(const RequestSpec& request) {
    const auto pool = snapshot_->FindPool(request.pool);
    const auto group = snapshot_->ChooseGroup(*pool, request.share_hash);
    if (!group.has_value()) {
      hooks_.reject(request.id, Rejection());
      return;
    }
    const std::vector<UpstreamIndex>& upstreams =
        snapshot_->group(*group).upstreams;
    const size_t start = next_positions_[request.pool]++ % upstreams.size();
    UpstreamId best = snapshot_->upstream(upstreams[start]).spec.id;
    for (size_t i = 0; picks_least_outstanding_ && i < upstreams.size(); ++i) {
      const UpstreamId& id =
          snapshot_->upstream(upstreams[(start + i) % upstreams.size()])
              .spec.id;
      best = outstanding_[id] < outstanding_[best] ? id : best;
    }
    ++outstanding_[best];
    assigned_[request.id] = best;
    hooks_.dispatch(request.id, best);
  }

  SchedulerHooks hooks_;
  bool picks_least_outstanding_;
  std::shared_ptr<const RoutingSnapshot> snapshot_;
  std::map<PoolId, size_t> next_positions_;
  std::map<UpstreamId, int> outstanding_;
  std::map<RequestId, RequestSpec> requests_;
  std::map<RequestId, UpstreamId> assigned_;
};

// One queue shared by all routers, in the order of tiers and then of deadlines.
// It reads the actual state and speed of every engine.
class CentralQueue {
 public:
  explicit CentralQueue(std::vector<UpstreamSpec> upstreams)
      : upstreams_(std::move(upstreams)), assigned_(upstreams_.size()) {}

  void SetFleet(FakeFleet* fleet) { fleet_ = fleet; }

  void Push(const RequestSpec& request, SchedulerHooks* hooks) {
    hooks_[request.id] = hooks;
    requests_[request.id] = request;
    queue_.insert(MakeKey(request));
  }
  void Finish(RequestId id, const AttemptResult& result) {
    for (std::set<RequestId>& assigned : assigned_) {
      assigned.erase(id);
    }
    if (result.end != AttemptEnd::kOk) {
      queue_.insert(MakeKey(requests_[id]));
    }
  }
  void Dispatch(TimePoint now) {
    std::set<PoolId> full_pools;
    for (auto next = queue_.begin(); next != queue_.end();) {
      const RequestSpec& request = requests_[std::get<2>(*next)];
      if (request.deadline <= now) {
        hooks_[request.id]->reject(
            request.id, {RejectionReason::kDeadline, Outcome::kNotRun});
        next = queue_.erase(next);
        continue;
      }
      const int best =
          full_pools.contains(request.pool) ? -1 : ChooseUpstream(request);
      if (best < 0) {
        full_pools.insert(request.pool);
        ++next;
        continue;
      }
      assigned_[static_cast<size_t>(best)].insert(request.id);
      hooks_[request.id]->dispatch(request.id,
                                   upstreams_[static_cast<size_t>(best)].id);
      next = queue_.erase(next);
    }
  }

 private:
  using Key = std::tuple<Tier, TimePoint, RequestId>;

  // The cost in seconds of taking an engine's last free slot, which is kept for
  // later requests that gain more by it, and the number of free slots over
  // which this cost falls to 1/e.
  static constexpr double kReserveSeconds = 1.0;
  static constexpr double kReserveSlots = 1.5;

  static Key MakeKey(const RequestSpec& request) {
    return {request.tier, request.deadline, request.id};
  }

  int ChooseUpstream(const RequestSpec& request) const {
    int best = -1;
    double min_cost = std::numeric_limits<double>::infinity();
    for (size_t i = 0; i < upstreams_.size(); ++i) {
      const FakeEngine& engine = fleet_->engine(i);
      const int slots = engine.speed().slots;
      if (upstreams_[i].pool != request.pool || engine.is_leaving() ||
          static_cast<int>(assigned_[i].size()) >= slots) {
        continue;
      }
      const double free = slots - static_cast<double>(assigned_[i].size());
      const double cost = EstimateFinish(request, engine) +
                          kReserveSeconds * std::exp(-free / kReserveSlots);
      if (cost < min_cost) {
        min_cost = cost;
        best = static_cast<int>(i);
      }
    }
    return best;
  }

  // Uses the weights of the scheduler policy with the actual engine figures.
  double EstimateFinish(const RequestSpec& request,
                        const FakeEngine& engine) const {
    const double blocks = static_cast<double>(request.prefix_hashes.size());
    const double cached =
        static_cast<double>(engine.CachedBlocks(request.prefix_hashes));
    const double tokens =
        blocks > 0 ? static_cast<double>(request.prompt_tokens.value()) *
                         (1.0 - cached / blocks)
                   : 0.0;
    const FleetRecord& record = fleet_->records().at(request.id.value());
    const double fill =
        static_cast<double>(engine.running() + 1) / engine.speed().slots;
    return engine.PrefillBacklog() +
           engine.slowness() *
               (tokens * engine.speed().prefill_seconds_per_token +
                0.02 * static_cast<double>(record.output.value()) *
                    engine.speed().decode_seconds_per_token *
                    (1.0 + engine.speed().batch_slowdown * fill));
  }

  std::vector<UpstreamSpec> upstreams_;
  FakeFleet* fleet_ = nullptr;
  std::vector<std::set<RequestId>> assigned_;
  std::set<Key> queue_;
  std::map<RequestId, RequestSpec> requests_;
  std::map<RequestId, SchedulerHooks*> hooks_;
};

class CentralPolicy : public RouterPolicy {
 public:
  CentralPolicy(std::shared_ptr<CentralQueue> queue, SchedulerHooks hooks)
      : queue_(std::move(queue)), hooks_(std::move(hooks)) {}

  void OnSnapshot(std::shared_ptr<const RoutingSnapshot>, TimePoint) override {}
  void OnRequest(const RequestSpec& request, TimePoint now) override {
    queue_->Push(request, &hooks_);
    queue_->Dispatch(now);
  }
  void OnFinished(RequestId id,
                  const AttemptResult& result,
                  TimePoint now) override {
    queue_->Finish(id, result);
    queue_->Dispatch(now);
  }
  void OnTick(TimePoint now) override { queue_->Dispatch(now); }

 private:
  std::shared_ptr<CentralQueue> queue_;
  SchedulerHooks hooks_;
};

}  // namespace

std::unique_ptr<FakeFleet> MakeFleet(const FakeSite& site,
                                     PolicyKind kind,
                                     const SchedulerParts& parts,
                                     const FleetLinks& links,
                                     uint64_t seed) {
  auto central = std::make_shared<CentralQueue>(site.upstreams);
  FleetOptions options;
  options.upstreams = site.upstreams;
  options.speeds = site.speeds;
  options.routers = site.routers;
  options.links = links;
  options.seed = seed;
  options.make_policy =
      [kind, parts, central](
          size_t router,
          SchedulerHooks hooks) -> std::unique_ptr<RouterPolicy> {
    switch (kind) {
      case PolicyKind::kRoundRobin:
        return std::make_unique<ImmediateDispatchPolicy>(std::move(hooks),
                                                         false);
      case PolicyKind::kLeastOutstanding:
        return std::make_unique<ImmediateDispatchPolicy>(std::move(hooks),
                                                         true);
      case PolicyKind::kFullKnowledge:
        return std::make_unique<CentralPolicy>(central, std::move(hooks));
      case PolicyKind::kScheduler:
      case PolicyKind::kNoTiers:
      case PolicyKind::kNoAffinity:
        break;
    }
    return std::make_unique<RestrictedSchedulerPolicy>(router, std::move(hooks),
                                                       kind, parts);
  };
  auto fleet = std::make_unique<FakeFleet>(std::move(options));
  central->SetFleet(fleet.get());
  return fleet;
}

}  // namespace papaya::bench
