#ifndef TESTS_FAKES_FAKE_ROLLOUT_FLEET_H_
#define TESTS_FAKES_FAKE_ROLLOUT_FLEET_H_

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "include/base/random.h"
#include "include/chart/state_chart.h"
#include "include/config/fleet_config_json.h"
#include "include/rollout/note_runner.h"
#include "include/rollout/release_note_store.h"
#include "include/rollout/stats_sender.h"
#include "include/rollout/stop_fact.h"
#include "include/rollout/version_judge.h"
#include "include/rollout/version_stats.h"
#include "tests/fakes/fake_object_store.h"
#include "tests/fakes/fake_rollout_engine.h"
#include "tests/fakes/fake_rollout_router.h"

namespace papaya {

inline constexpr char kFakePrefix[] = "fleet";

// A fleet in virtual time: the object store, engines, routers with all classes
// of the rollout module, gossip as delayed messages, and requests to each pool.
struct FakeRolloutFleet {
  // Returns the reply of `upstream`, which actually serves `version`.
  using Serve = std::function<FakeReply(const UpstreamSpec& upstream,
                                        const VersionId& version,
                                        const RouteId& route)>;

  FakeRolloutFleet(uint64_t seed,
                   const FakeRolloutOptions& fleet_options,
                   std::shared_ptr<const StateChart> note_chart)
      : options(fleet_options),
        chart(std::move(note_chart)),
        random(seed),
        backend(seed ^ 0x9e3779b97f4a7c15),
        operator_store(&backend),
        note_store(&operator_store, kFakePrefix, chart) {
    backend.now = TimePoint(std::chrono::hours(1));
    for (size_t i = 0; i < options.routers; ++i) {
      routers.push_back(std::make_unique<FakeRouter>());
      routers.back()->id = RouterId(absl::StrCat("router-", i));
      Start(routers.back().get());
    }
  }

  TimePoint now() const { return backend.now; }

  WallTime wall() const {
    return WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(
        backend.now.time_since_epoch() + std::chrono::hours(24 * 365 * 50)));
  }

  // Starts the process of a router with new state and the newest configuration.
  void Start(FakeRouter* router) {
    ++router->incarnation;
    retired_stores.push_back(std::move(router->store));
    router->store = std::make_unique<FakeObjectStore>(&backend);
    router->random = std::make_unique<Random>(random.Next64());
    Wake(router);
    router->stops = StopSet();
    router->config = FleetConfig();
    router->judge = std::make_unique<VersionJudge>(
        options.judge,
        [this, router](const StopFact& fact) { AddStopFact(router, fact); });
    router->stats = std::make_unique<VersionStats>(
        router->id, Incarnation(router->incarnation));
    router->sender = std::make_unique<StatsSender>(
        router->id, router->stats.get(),
        [this, router](const RouterId& judge, const StatsReport& report) {
          SendReport(router, judge, report);
        });
    router->runner = std::make_unique<NoteRunner>(
        router->store.get(), kFakePrefix,
        absl::StrCat(router->id.value(), "#", router->incarnation), chart,
        options.runner, MakeHooks(router), router->random.get());
    for (const StopFact& fact : known_facts) {
      AddStopFact(router, fact);
    }
    Adopt(router, newest);
  }

  // Kills the process of a router.
  void Kill(FakeRouter* router) {
    router->runner.reset();
    router->judge.reset();
  }

  // Resumes a paused process.
  void Wake(FakeRouter* router) {
    router->is_paused = false;
    router->awake_since = backend.now;
  }

  bool IsUp(const FakeRouter& router) const {
    return router.runner != nullptr && !router.is_paused;
  }

  NoteRunnerHooks MakeHooks(FakeRouter* router) {
    NoteRunnerHooks hooks;
    hooks.order = [this](const EngineOrder& order,
                         const NoteRunnerHooks::OrderDone& done) {
      SendOrder(order, done);
    };
    hooks.read_state = [this](const UpstreamSpec& upstream,
                              const NoteRunnerHooks::StateDone& done) {
      backend.At(backend.now + LinkDelay(), [this, id = upstream.id, done] {
        FakeEngine& engine = engines[id];
        done(engine.is_alive ? absl::StatusOr<EngineState>(engine.state)
                             : absl::UnavailableError("dead"));
      });
    };
    hooks.publish = [this, router](const FleetConfig& config, ObjectVersion) {
      Adopt(router, config);
    };
    return hooks;
  }

  // Delivers an order after a link delay. Of the orders that are lost, half
  // never arrive; the others arrive just before their `send_before` and take
  // effect, but their answer is lost.
  void SendOrder(const EngineOrder& order,
                 const NoteRunnerHooks::OrderDone& done) {
    const bool is_lost = random.Chance(lost_orders);
    const bool is_late = is_lost && random.Chance(0.5);
    const TimePoint arrives =
        is_late ? std::max(backend.now,
                           order.send_before - std::chrono::milliseconds(1))
                : backend.now + LinkDelay();
    ++orders;
    if (is_lost && !is_late) {
      backend.At(order.answer_before,
                 [done] { done(absl::DeadlineExceededError("lost")); });
      return;
    }
    backend.At(arrives, [this, order, done, is_late] {
      FakeEngine& engine = engines[order.upstream];
      const absl::Status status =
          engine.is_alive ? engine.Take(order, backend.now, options.load_time)
                          : absl::UnavailableError("dead");
      if (!is_late) {
        done(status);
      }
    });
    if (is_late) {
      backend.At(order.answer_before,
                 [done] { done(absl::DeadlineExceededError("late")); });
    }
  }

  Duration LinkDelay() {
    return SecondsToDuration(0.005 + random.Exponential(0.02));
  }

  // Adds a stop fact to a router and repeats it to the others until all have
  // it.
  void AddStopFact(FakeRouter* router, const StopFact& fact) {
    if (!router->stops.Add(fact)) {
      return;
    }
    if (std::find(known_facts.begin(), known_facts.end(), fact) ==
        known_facts.end()) {
      known_facts.push_back(fact);
      on_stop(fact);
    }
    router->runner->OnStopFact(fact);
    router->routed = router->stops.Apply(router->config);
    for (const std::unique_ptr<FakeRouter>& other : routers) {
      DeliverStopFact(other.get(), fact);
    }
  }

  void DeliverStopFact(FakeRouter* router, const StopFact& fact) {
    const Duration repeat = random.Chance(options.lost_gossip)
                                ? std::chrono::seconds(1)
                                : std::chrono::seconds(0);
    backend.At(backend.now + LinkDelay() + repeat, [this, router, fact] {
      if (router->runner == nullptr) {
        return;
      }
      if (router->is_paused || router->is_cut_off) {
        RetryStopFact(router, fact);
        return;
      }
      AddStopFact(router, fact);
    });
  }

  void RetryStopFact(FakeRouter* router, const StopFact& fact) {
    backend.At(backend.now + std::chrono::seconds(1),
               [this, router, fact] { DeliverStopFact(router, fact); });
  }

  void Adopt(FakeRouter* router, const FleetConfig& config) {
    if (router->runner == nullptr ||
        config.revision <= router->config.revision) {
      return;
    }
    router->config = config;
    router->routed = router->stops.Apply(config);
    router->judge->OnConfig(config);
    router->stats->OnConfig(config);
    if (newest.revision < config.revision) {
      newest = config;
    }
  }

  // Gives routers the newest revision that any of them or the store has.
  void SpreadConfig() {
    const auto stored =
        backend.objects.find(absl::StrCat(kFakePrefix, "/config"));
    if (!backend.faults.is_out && stored != backend.objects.end() &&
        stored->second.version != seen_config) {
      seen_config = stored->second.version;
      const absl::StatusOr<FleetConfig> config =
          ParseFleetConfigJson(stored->second.value);
      reverted = reverted || config->revision <= newest_stored;
      newest_stored = config->revision;
      newest = config->revision > newest.revision ? *config : newest;
    }
    for (const std::unique_ptr<FakeRouter>& router : routers) {
      if (IsUp(*router) && !router->is_cut_off &&
          !random.Chance(options.lost_gossip)) {
        Adopt(router.get(), newest);
      }
    }
  }

  // The routers that are up.
  std::vector<RouterId> LiveRouters() const {
    std::vector<RouterId> live;
    for (const std::unique_ptr<FakeRouter>& router : routers) {
      if (IsUp(*router)) {
        live.push_back(router->id);
      }
    }
    return live;
  }

  // Delivers a report to another router late or never, and to the router's own
  // judge at once.
  void SendReport(FakeRouter* from,
                  const RouterId& judge,
                  const StatsReport& report) {
    if (judge == from->id) {
      from->judge->OnReport(report);
      return;
    }
    const bool is_lost = from->is_cut_off || random.Chance(options.lost_gossip);
    backend.At(backend.now + LinkDelay(), [this, judge, report, is_lost] {
      for (const std::unique_ptr<FakeRouter>& to : routers) {
        if (to->id == judge && IsUp(*to) && !to->is_cut_off && !is_lost) {
          to->judge->OnReport(report);
        }
      }
    });
  }

  // Ticks every router, then runs all events due before the next tick.
  void Tick() {
    for (auto& [id, engine] : engines) {
      engine.FinishLoads(backend.now);
    }
    if (++ticks % (std::chrono::seconds(1) / options.tick) == 0) {
      SpreadConfig();
    }
    const std::vector<RouterId> live = LiveRouters();
    for (const std::unique_ptr<FakeRouter>& router : routers) {
      if (!IsUp(*router)) {
        continue;
      }
      router->judge->OnTick(backend.now);
      for (const VersionEvidence& evidence : router->judge->Evidence()) {
        router->runner->OnEvidence(evidence.note, evidence.requests);
      }
      router->runner->OnTick(backend.now, wall(), true);
      router->sender->OnTick(backend.now, live);
    }
    SendRequests();
    backend.RunUntil(backend.now + options.tick);
  }

  void RunFor(Duration length) {
    const TimePoint end = backend.now + length;
    while (backend.now < end) {
      Tick();
    }
  }

  void SendRequests() {
    due += rate * ToSeconds(options.tick);
    for (; due > 0.0; due -= random.Exponential(1.0)) {
      FakeRouter* const router = routers[random.Below(routers.size())].get();
      if (IsUp(*router) && !router->routed.upstreams.empty()) {
        SendRequest(router);
      }
    }
  }

  const UpstreamSpec* ChooseUpstream(const FleetConfig& config,
                                     const PoolId& pool) {
    int64_t point = static_cast<int64_t>(random.Below(1000));
    const VersionShare* chosen = nullptr;
    for (const VersionShare& share : config.shares) {
      if (share.pool == pool && chosen == nullptr) {
        point -= share.share.value();
        chosen = point < 0 ? &share : nullptr;
      }
    }
    std::vector<const UpstreamSpec*> members;
    for (const UpstreamSpec& upstream : config.upstreams) {
      if (upstream.pool == pool &&
          (chosen == nullptr || upstream.version == chosen->version)) {
        members.push_back(&upstream);
      }
    }
    return members.empty() ? nullptr : members[random.Below(members.size())];
  }

  void SendRequest(FakeRouter* router) {
    const size_t pool_index =
        options.pools.size() > 1 ? random.Below(options.pools.size()) : 0;
    const PoolId& pool = options.pools[pool_index];
    const UpstreamSpec* const upstream = ChooseUpstream(router->routed, pool);
    if (upstream == nullptr) {
      return;
    }
    const RouteId& route = options.routes[random.Below(options.routes.size())];
    // A plain service serves the version in the configuration; an engine serves
    // the version that was last activated.
    const VersionId& serving = upstream->kind == UpstreamKind::kPlainService
                                   ? upstream->version
                                   : engines[upstream->id].state.active;
    sender = router;
    const FakeReply reply = serve(*upstream, serving, route);
    router->stats->OnReply(pool, upstream->version, route, upstream->id,
                           reply.failed, reply.latency);
  }

  std::optional<NoteRecord> ReadNote(const NoteId& id) const {
    const auto found =
        backend.objects.find(absl::StrCat(kFakePrefix, "/notes/", id.value()));
    if (found == backend.objects.end()) {
      return std::nullopt;
    }
    return *ParseNoteRecord(found->second.value);
  }

  FakeRouter* Holder() {
    for (const std::unique_ptr<FakeRouter>& router : routers) {
      if (IsUp(*router) && router->runner->IsHolder(backend.now)) {
        return router.get();
      }
    }
    return nullptr;
  }

  const FakeRolloutOptions options;
  const std::shared_ptr<const StateChart> chart;
  Random random;
  FakeObjectStoreBackend backend;
  FakeObjectStore operator_store;
  ReleaseNoteStore note_store;
  std::map<UpstreamId, FakeEngine> engines;
  // Stores of killed processes; their calls may still complete.
  std::vector<std::unique_ptr<FakeObjectStore>> retired_stores;
  std::vector<std::unique_ptr<FakeRouter>> routers;
  Serve serve = [](const UpstreamSpec&, const VersionId&, const RouteId&) {
    return FakeReply{false, std::chrono::milliseconds(200)};
  };
  // The router that sent the request being served.
  const FakeRouter* sender = nullptr;
  std::function<void(const StopFact&)> on_stop = [](const StopFact&) {};
  std::vector<StopFact> known_facts;
  FleetConfig newest;
  ObjectVersion seen_config;
  Revision newest_stored;
  bool reverted = false;
  // Total requests per second; 0 sends none.
  double rate = 0.0;
  // Fraction of orders that arrive late or never.
  double lost_orders = 0.0;
  uint64_t orders = 0;
  uint64_t ticks = 0;
  double due = 0.0;
};

}  // namespace papaya

#endif  // TESTS_FAKES_FAKE_ROLLOUT_FLEET_H_
