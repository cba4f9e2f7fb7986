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

// A Scheduler, with some of what it is told left out.
class BlindSchedulerPolicy : public SchedulerPolicy {
 public:
  BlindSchedulerPolicy(size_t router,
                       SchedulerHooks hooks,
                       PolicyKind kind,
                       const SchedulerParts& parts)
      : SchedulerPolicy(router,
                        std::move(hooks),
                        SchedulerOptions().max_queued,
                        parts),
        kind_(kind) {}

  void OnRequest(const RequestSpec& request, TimePoint now) override {
    RequestSpec told = request;
    if (kind_ == PolicyKind::kNoTiers) {
      told.tier = Tier::kStandard;
    }
    if (kind_ == PolicyKind::kNoAffinity) {
      told.prefix_hashes.clear();
    }
    SchedulerPolicy::OnRequest(told, now);
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

// Hands every request over at once; engines queue them.
class DirectPolicy : public RouterPolicy {
 public:
  DirectPolicy(SchedulerHooks hooks, bool is_least)
      : hooks_(std::move(hooks)), is_least_(is_least) {}

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
    --outstanding_[placed_[id]];
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
    const size_t start = next_[request.pool]++ % upstreams.size();
    UpstreamId best = snapshot_->upstream(upstreams[start]).spec.id;
    for (size_t i = 0; is_least_ && i < upstreams.size(); ++i) {
      const UpstreamId& id =
          snapshot_->upstream(upstreams[(start + i) % upstreams.size()])
              .spec.id;
      best = outstanding_[id] < outstanding_[best] ? id : best;
    }
    ++outstanding_[best];
    placed_[request.id] = best;
    hooks_.dispatch(request.id, best);
  }

  SchedulerHooks hooks_;
  bool is_least_;
  std::shared_ptr<const RoutingSnapshot> snapshot_;
  std::map<PoolId, size_t> next_;
  std::map<UpstreamId, int> outstanding_;
  std::map<RequestId, RequestSpec> requests_;
  std::map<RequestId, UpstreamId> placed_;
};

// The queue of all routers together. Upper tiers go first, then earlier
// deadlines; sees the true state and speed of every engine.
class CentralQueue {
 public:
  explicit CentralQueue(std::vector<UpstreamSpec> upstreams)
      : upstreams_(std::move(upstreams)), placed_(upstreams_.size()) {}

  void Attach(FakeFleet* fleet) { fleet_ = fleet; }

  void Push(const RequestSpec& request, SchedulerHooks* hooks) {
    hooks_[request.id] = hooks;
    requests_[request.id] = request;
    queue_.insert(Place(request));
  }
  void Finish(RequestId id, const AttemptResult& result) {
    for (std::set<RequestId>& placed : placed_) {
      placed.erase(id);
    }
    if (result.end != AttemptEnd::kOk) {
      queue_.insert(Place(requests_[id]));
    }
  }
  void Dispatch(TimePoint now) {
    std::set<PoolId> full;
    for (auto next = queue_.begin(); next != queue_.end();) {
      const RequestSpec& request = requests_[std::get<2>(*next)];
      if (request.deadline <= now) {
        hooks_[request.id]->reject(
            request.id, {RejectionReason::kDeadline, Outcome::kNotRun});
        next = queue_.erase(next);
        continue;
      }
      const int best = full.contains(request.pool) ? -1 : Choose(request);
      if (best < 0) {
        full.insert(request.pool);
        ++next;
        continue;
      }
      placed_[static_cast<size_t>(best)].insert(request.id);
      hooks_[request.id]->dispatch(request.id,
                                   upstreams_[static_cast<size_t>(best)].id);
      next = queue_.erase(next);
    }
  }

 private:
  using Key = std::tuple<Tier, TimePoint, RequestId>;

  // What the last free slot of an engine is kept for: the requests that come
  // next, and gain more by it. In seconds, and over how many free slots that
  // falls to 1/e.
  static constexpr double kReserveSeconds = 1.0;
  static constexpr double kReserveSlots = 1.5;

  static Key Place(const RequestSpec& request) {
    return {request.tier, request.deadline, request.id};
  }

  int Choose(const RequestSpec& request) const {
    int best = -1;
    double least = std::numeric_limits<double>::infinity();
    for (size_t i = 0; i < upstreams_.size(); ++i) {
      const FakeEngine& engine = fleet_->engine(i);
      const int slots = engine.speed().slots;
      if (upstreams_[i].pool != request.pool || engine.is_leaving() ||
          static_cast<int>(placed_[i].size()) >= slots) {
        continue;
      }
      const double free = slots - static_cast<double>(placed_[i].size());
      const double cost = EstimateFinish(request, engine) +
                          kReserveSeconds * std::exp(-free / kReserveSlots);
      if (cost < least) {
        least = cost;
        best = static_cast<int>(i);
      }
    }
    return best;
  }

  // The same weights as the policy has, with the true figures.
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
  std::vector<std::set<RequestId>> placed_;
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
        return std::make_unique<DirectPolicy>(std::move(hooks), false);
      case PolicyKind::kLeastOutstanding:
        return std::make_unique<DirectPolicy>(std::move(hooks), true);
      case PolicyKind::kFullKnowledge:
        return std::make_unique<CentralPolicy>(central, std::move(hooks));
      case PolicyKind::kScheduler:
      case PolicyKind::kNoTiers:
      case PolicyKind::kNoAffinity:
        break;
    }
    return std::make_unique<BlindSchedulerPolicy>(router, std::move(hooks),
                                                  kind, parts);
  };
  auto fleet = std::make_unique<FakeFleet>(std::move(options));
  central->Attach(fleet.get());
  return fleet;
}

}  // namespace papaya::bench
