#ifndef BENCH_FAKE_FLEET_H_
#define BENCH_FAKE_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "bench/fake_engine.h"
#include "bench/fleet_links.h"
#include "bench/fleet_options.h"
#include "bench/fleet_record.h"
#include "bench/fleet_router.h"
#include "bench/virtual_loop.h"
#include "include/admission/demand_name_resolver.h"
#include "include/admission/demand_packing.h"
#include "include/admission/demand_share.h"
#include "include/admission/scheduler.h"
#include "include/base/random.h"
#include "include/routing/routing_snapshot.h"

namespace papaya::bench {

// Several routers before several fake engines in virtual time, as much as the
// tests and measures of scheduling need.
class FakeFleet {
 public:
  explicit FakeFleet(FleetOptions options)
      : options_(std::move(options)), random_(options_.seed) {
    config_.upstreams = options_.upstreams;
    config_.shares = options_.shares;
    for (size_t i = 0; i < options_.upstreams.size(); ++i) {
      engines_.push_back(
          std::make_unique<FakeEngine>(&loop_, options_.speeds[i]));
      numbers_[options_.upstreams[i].id] = i;
    }
    routers_.resize(options_.routers);
    for (size_t i = 0; i < options_.routers; ++i) {
      routers_[i].policy = options_.make_policy(i, MakeHooks(i));
    }
    PublishSnapshots();
    Tick();
    SendLoadReports();
  }

  VirtualLoop& loop() { return loop_; }
  FakeEngine& engine(size_t number) { return *engines_[number]; }
  size_t engine_count() const { return engines_.size(); }
  size_t router_count() const { return routers_.size(); }
  bool IsAlive(size_t router) const { return routers_[router].is_alive; }
  SchedulerCounts CountsOf(size_t router) const {
    return routers_[router].policy->counts();
  }
  const std::map<uint64_t, FleetRecord>& records() const { return records_; }
  double wasted_prefill() const { return wasted_prefill_; }
  double total_prefill() const { return total_prefill_; }

  // Sends a request to `router`; its id, arrival and deadline are filled in.
  void Offer(size_t router, RequestSpec spec, Tokens output, Duration limit) {
    const uint64_t id = ++last_id_;
    spec.id = RequestId(id);
    spec.arrival = loop_.now();
    spec.deadline = loop_.now() + limit;
    FleetRecord& record = records_[id];
    record.spec = spec;
    record.output = output;
    record.router = router;
    ToRouter(router, [this, router, spec] {
      routers_[router].policy->OnRequest(spec, loop_.now());
    });
  }

  // The router dies with all it has; the others learn it after `detection`.
  void KillRouter(size_t router, Duration detection) {
    routers_[router].is_alive = false;
    for (auto& [id, record] : records_) {
      if (record.router == router && record.ends == 0) {
        record.is_lost = true;
        record.ends = 1;
        CancelAttempt(id);
      }
    }
    loop_.After(detection, [this, router] {
      routers_[router].is_listed = false;
      PublishSnapshots();
    });
  }

  // The router does nothing for `time`; what was sent to it comes after that.
  void PauseRouter(size_t router, Duration time) {
    routers_[router].paused_until =
        std::max(routers_[router].paused_until, loop_.now() + time);
  }

  // No report passes between the two halves of the routers until Heal().
  void Partition(size_t first_of_second) { partition_ = first_of_second; }
  void Heal() { partition_ = 0; }

  // The engine refuses new work; the routers' snapshots learn it only after
  // `notice`, if ever.
  void Leave(size_t number, std::optional<Duration> notice) {
    engines_[number]->Leave();
    if (notice.has_value()) {
      loop_.After(*notice, [this, number] {
        leaving_.push_back(options_.upstreams[number].id);
        PublishSnapshots();
      });
    }
  }

  // Requests of `pool` below `tier` that engines work on now.
  int ServedBelow(const PoolId& pool, Tier tier) const {
    int served = 0;
    for (const auto& [key, id] : serving_) {
      const RequestSpec& spec = records_.at(id).spec;
      served += spec.pool == pool && spec.tier > tier ? 1 : 0;
    }
    return served;
  }

 private:
  static constexpr uint64_t kMaxAttempts = 1024;

  // Calls `body` on the router after the link's delay, if it lives then.
  void ToRouter(size_t router, std::function<void()> body) {
    ToRouterAfter(router, options_.links.delay, std::move(body));
  }
  void ToRouterAfter(size_t router,
                     Duration delay,
                     std::function<void()> body) {
    loop_.After(delay, [this, router, body = std::move(body)] {
      if (!routers_[router].is_alive) {
        return;
      }
      if (routers_[router].paused_until > loop_.now()) {
        ToRouterAfter(router, routers_[router].paused_until - loop_.now(),
                      body);
        return;
      }
      body();
    });
  }

  SchedulerHooks MakeHooks(size_t router) {
    SchedulerHooks hooks;
    hooks.dispatch = [this](RequestId id, const UpstreamId& upstream) {
      Dispatch(id.value(), numbers_.at(upstream));
    };
    hooks.reject = [this](RequestId id, const Rejection& refusal) {
      FleetRecord& record = records_.at(id.value());
      ++record.ends;
      record.refusal = refusal;
      record.is_shed_before_lower =
          ServedBelow(record.spec.pool, record.spec.tier) > 0;
    };
    hooks.preempt = [this, router](RequestId id) {
      loop_.After(options_.links.delay, [this, router, id] {
        const std::optional<Tokens> output = CancelAttempt(id.value());
        if (output.has_value()) {
          Finish(router, id.value(), attempts_[id.value()],
                 {AttemptEnd::kPreempted, *output});
        }
      });
    };
    hooks.send_demand = [this, router](const DemandReport& /*whole*/,
                                       const DemandParts& parts) {
      SendParts(router, parts);
    };
    hooks.event = [](const Event&) {};
    return hooks;
  }

  // Passes `parts` on as the daemon does, packed.
  void SendParts(size_t from, const DemandParts& parts) {
    if (parts.empty()) {
      return;
    }
    for (size_t to = 0; to < routers_.size(); ++to) {
      const bool is_cut =
          partition_ > 0 && (from < partition_) != (to < partition_);
      if (to == from || is_cut || random_.Chance(options_.links.report_loss)) {
        continue;
      }
      const auto part = parts.find(PlaceOf(to).id);
      if (part == parts.end()) {
        continue;
      }
      const std::string packed = PackDemand(MakeDemandNotice(part->second));
      const Duration extra = SecondsToDuration(
          ToSeconds(options_.links.report_delay) * random_.Uniform());
      ToRouterAfter(to, options_.links.delay + extra, [this, from, to, packed] {
        const std::optional<DemandNotice> notice = UnpackDemand(packed);
        routers_[to].policy->OnDemandReport(
            routers_[to].names.Resolve(PlaceOf(from).id, *notice), loop_.now());
      });
    }
  }

  void Dispatch(uint64_t id, size_t engine) {
    FleetRecord& record = records_.at(id);
    record.dispatched.push_back(engine);
    record.dispatch_times.push_back(loop_.now());
    const uint64_t attempt = ++attempts_[id];
    const uint64_t key = id * kMaxAttempts + attempt;
    const size_t router = record.router;
    FakeJob job;
    job.key = key;
    job.prompt_tokens = record.spec.prompt_tokens;
    job.prefix_hashes = record.spec.prefix_hashes;
    job.output_tokens = record.output;
    job.on_begin = [this, id, key](int64_t prefilled) {
      OnBegin(id, key, prefilled);
    };
    job.on_first_token = [this, id, attempt, router] {
      FleetRecord& done = records_.at(id);
      done.first_token = done.first_token.value_or(loop_.now());
      ToRouter(router, [this, id, attempt, router] {
        if (attempts_[id] == attempt) {
          routers_[router].policy->OnFirstToken(RequestId(id), loop_.now());
        }
      });
    };
    job.on_tokens = [this, id, attempt, router](Tokens total) {
      ToRouter(router, [this, id, attempt, router, total] {
        const bool is_model = records_.at(id).spec.prompt_tokens.value() > 0;
        if (attempts_[id] == attempt && is_model) {
          routers_[router].policy->OnTokens(RequestId(id), total, loop_.now());
        }
      });
    };
    job.on_end = [this, id, key, attempt, router](AttemptEnd end,
                                                  Tokens output) {
      serving_.erase(key);
      Finish(router, id, attempt, {end, output});
    };
    if (random_.Chance(options_.links.cut)) {
      const Duration when = SecondsToDuration(random_.Uniform());
      loop_.After(when, [this, id, attempt, router] {
        Finish(router, id, attempt, {AttemptEnd::kUnknown, Tokens()});
      });
    }
    loop_.After(options_.links.delay, [this, engine, key, id, job] {
      if (records_.at(id).is_lost) {
        return;
      }
      engine_of_[key] = engine;
      engines_[engine]->Submit(job);
    });
  }

  void SendCacheEvent(size_t engine, const std::vector<uint64_t>& hashes) {
    for (size_t i = 0; i < routers_.size() && !hashes.empty(); ++i) {
      if (random_.Chance(options_.links.cache_event_loss)) {
        continue;
      }
      ToRouterAfter(i, options_.links.cache_event_delay,
                    [this, i, engine, event = CacheEvent{hashes, {}}] {
                      routers_[i].policy->OnCacheEvent(
                          options_.upstreams[engine].id, event, loop_.now());
                    });
    }
  }

  void OnBegin(uint64_t id, uint64_t key, int64_t prefilled) {
    SendCacheEvent(engine_of_.at(key), records_.at(id).spec.prefix_hashes);
    FleetRecord& record = records_.at(id);
    ++record.begins;
    record.began = record.began.value_or(loop_.now());
    serving_[key] = id;
    total_prefill_ += static_cast<double>(prefilled);
    double first_time = 0.0;
    const std::vector<uint64_t>& hashes = record.spec.prefix_hashes;
    for (uint64_t hash : hashes) {
      if (seen_blocks_.insert(hash).second) {
        first_time += static_cast<double>(record.spec.prompt_tokens.value()) /
                      static_cast<double>(hashes.size());
      }
    }
    if (!hashes.empty()) {
      wasted_prefill_ +=
          std::max(0.0, static_cast<double>(prefilled) - first_time);
    }
  }

  // An attempt ended as its router will hear; later news of it are void.
  void Finish(size_t router,
              uint64_t id,
              uint64_t attempt,
              const AttemptResult& result) {
    ToRouter(router, [this, router, id, attempt, result] {
      FleetRecord& record = records_.at(id);
      if (attempts_[id] != attempt || finished_[id] >= attempt) {
        return;
      }
      finished_[id] = attempt;
      if (result.end == AttemptEnd::kOk) {
        ++record.ends;
        record.answered = loop_.now();
      }
      routers_[router].policy->OnFinished(RequestId(id), result, loop_.now());
    });
  }

  // Stops the engine's work on the attempt under way; empty if there is none.
  std::optional<Tokens> CancelAttempt(uint64_t id) {
    const uint64_t key = id * kMaxAttempts + attempts_[id];
    auto engine = engine_of_.find(key);
    if (engine == engine_of_.end() || !engines_[engine->second]->Cancel(key)) {
      return std::nullopt;
    }
    serving_.erase(key);
    return Tokens();
  }

  void PublishSnapshots() {
    auto config = std::make_shared<FleetConfig>(config_);
    RoutingInput input;
    input.config = config;
    input.leaving = leaving_;
    for (size_t i = 0; i < routers_.size(); ++i) {
      if (routers_[i].is_listed) {
        input.routers.push_back(PlaceOf(i));
      }
    }
    for (size_t i = 0; i < routers_.size(); ++i) {
      input.self = PlaceOf(i);
      const auto snapshot = RoutingSnapshot::Build(input);
      ToRouter(i, [this, i, snapshot] {
        routers_[i].names = DemandNameResolver(*snapshot);
        routers_[i].policy->OnSnapshot(snapshot, loop_.now());
      });
    }
  }

  static RouterLocation PlaceOf(size_t router) {
    return {RouterId("r" + std::to_string(router)),
            AvailabilityZoneId("z" + std::to_string(router % 3))};
  }

  void Tick() {
    for (size_t i = 0; i < routers_.size(); ++i) {
      ToRouter(i, [this, i] { routers_[i].policy->OnTick(loop_.now()); });
    }
    loop_.After(std::chrono::milliseconds(50), [this] { Tick(); });
  }

  void SendLoadReports() {
    for (size_t i = 0; i < engines_.size(); ++i) {
      LoadReport report;
      report.running = engines_[i]->running();
      report.waiting = engines_[i]->waiting();
      report.age = options_.links.load_report_age;
      report.leaving = engines_[i]->is_leaving();
      for (size_t router = 0; router < routers_.size(); ++router) {
        ToRouterAfter(router, report.age, [this, router, i, report] {
          routers_[router].policy->OnLoadReport(options_.upstreams[i].id,
                                                report, loop_.now());
        });
      }
    }
    loop_.After(std::chrono::seconds(1), [this] { SendLoadReports(); });
  }

  FleetOptions options_;
  Random random_;
  VirtualLoop loop_;
  FleetConfig config_;
  std::vector<UpstreamId> leaving_;
  std::vector<std::unique_ptr<FakeEngine>> engines_;
  std::map<UpstreamId, size_t> numbers_;
  std::vector<FleetRouter> routers_;
  size_t partition_ = 0;
  uint64_t last_id_ = 0;
  std::map<uint64_t, FleetRecord> records_;
  std::map<uint64_t, uint64_t> attempts_;
  std::map<uint64_t, uint64_t> finished_;
  std::map<uint64_t, size_t> engine_of_;
  // Keys of the attempts that engines work on, with their requests.
  std::map<uint64_t, uint64_t> serving_;
  std::set<uint64_t> seen_blocks_;
  double wasted_prefill_ = 0.0;
  double total_prefill_ = 0.0;
};

}  // namespace papaya::bench

#endif  // BENCH_FAKE_FLEET_H_
