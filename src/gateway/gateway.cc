#include "include/gateway/gateway.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "include/base/stable_hash.h"
#include "include/gateway/object_watcher.h"
#include "include/gateway/quarantine_archive.h"
#include "include/gateway/store_feed.h"
#include "include/gateway/upstream_directory.h"
#include "include/gateway/version_moves.h"
#include "include/telemetry/event_budget.h"
#include "include/telemetry/logger.h"
#include "include/telemetry/loop_monitor.h"
#include "include/wire/steady_time.h"
#include "src/gateway/caller_listener.h"
#include "src/gateway/counted_store.h"
#include "src/gateway/gateway_metrics.h"
#include "src/gateway/memory_log.h"
#include "src/gateway/report_events.h"
#include "src/gateway/request_dispatcher.h"
#include "src/gateway/router_mesh.h"
#include "src/gateway/store_probe.h"
#include "src/gateway/zone_control.h"

namespace papaya {

namespace {

constexpr std::chrono::milliseconds kTick{25};
// Minimum time between two updates for changes of the live routers. Each one
// goes to several parts that sort or hash all routers, a cost that the pace of
// routing snapshots does not include, and while a fleet starts or is replaced
// there are hundreds of changes.
constexpr Duration kRouterUpdateInterval = std::chrono::milliseconds(300);
// Interval of the work that is not needed on every tick.
constexpr Duration kSlowTick = std::chrono::milliseconds(100);
// Descriptors that callers can't use: reserved for files, other routers, the
// store and upstreams.
constexpr int kReservedDescriptors = 700;
constexpr int kMinCallerConnections = 100;
constexpr int kMaxProbeConnections = 64;
// The load balancer stops sending new callers after two failed readiness
// probes, which are a second apart.
constexpr Duration kBalancerDetectionTime = std::chrono::milliseconds(2200);
// Requests still in flight are abandoned this long before the platform kills
// the process.
constexpr Duration kGraceMargin = std::chrono::milliseconds(400);
// They are answered this long before the platform kills the process, so that
// the answers are sent before the process ends.
constexpr Duration kAnswerMargin = std::chrono::milliseconds(700);

// A router that starts discovers the others within about this time.
constexpr Duration kFirstWatchDelay = std::chrono::milliseconds(1200);

// How much the waits of the watches of different routers and kinds differ, so
// that they do not all end at the same time.
constexpr Duration kWatchWaitSpread = std::chrono::milliseconds(200);

// Maximum wait of a watch for version moves while other routers are fed, and
// how long a feed of moves is recent.
constexpr Duration kMoveFeedingWait = std::chrono::seconds(2);
constexpr Duration kMaxMoveFeedAge = std::chrono::milliseconds(2700);
// Maximum wait of a watch of a router that reads for others. StoreProbe shows
// that the store responds; a lost response is noticed by the versions of other
// routers, or after this time.
constexpr Duration kReadingWait = std::chrono::seconds(3);
// Each batch of changes costs the readers a call. With this delay, changes are
// in force well within the 2 s that manifests and upstreams may take.
constexpr Duration kFeedingCoalesceDelay = std::chrono::milliseconds(400);
// Backoff of the routers that read for others, and of those that hear from them
// and will learn from them when the store is available again.
constexpr Duration kMaxReadingBackoff = std::chrono::milliseconds(800);
constexpr Duration kMinFedBackoff = std::chrono::seconds(5);
constexpr Duration kMaxFedBackoff = std::chrono::seconds(10);
// Time for the next readers to take over before a router reads for itself. The
// feed is recent for 1.4 s, so that changes are in force within 2 s even if all
// readers have lost the store.
constexpr Duration kStaleFeedPatience = std::chrono::milliseconds(400);

// True if the settings name other routers to find a fleet by.
bool HasOtherSeeds(const GatewaySettings& settings) {
  return std::any_of(settings.seeds.begin(), settings.seeds.end(),
                     [&settings](const std::string& seed) {
                       return seed != settings.peer_address;
                     });
}

ObjectWatcher::Options WatcherOptions(const GatewaySettings& settings,
                                      const std::string& kind) {
  ObjectWatcher::Options options;
  options.kind = kind;
  const uint64_t hash = StableHash(kind, StableHash(settings.router.value()));
  options.wait +=
      SecondsToDuration(ToSeconds(kWatchWaitSpread) * HashToUnit(hash));
  options.first_watch_delay = kFirstWatchDelay;
  options.reading_wait = kReadingWait;
  options.feeding_coalesce_delay = kFeedingCoalesceDelay;
  options.max_reading_backoff = kMaxReadingBackoff;
  options.min_fed_backoff = kMinFedBackoff;
  options.max_fed_backoff = kMaxFedBackoff;
  options.stale_feed_patience = kStaleFeedPatience;
  // A router that restarts has callers waiting, so it does not wait for a stale
  // list to be completed.
  options.starts_stale = settings.is_first_start && HasOtherSeeds(settings);
  return options;
}

ObjectWatcher::Options MoveWatcherOptions(const GatewaySettings& settings,
                                          const std::string& kind) {
  ObjectWatcher::Options options = WatcherOptions(settings, kind);
  options.feeding_wait = kMoveFeedingWait;
  options.max_feed_age = kMaxMoveFeedAge;
  return options;
}

Incarnation NewIncarnation() {
  return Incarnation(
      static_cast<uint64_t>(WallNow().time_since_epoch().count()));
}

std::vector<RouterId> IdsOf(const std::vector<RouterLocation>& routers) {
  std::vector<RouterId> ids;
  ids.reserve(routers.size());
  for (const RouterLocation& router : routers) {
    ids.push_back(router.id);
  }
  return ids;
}

}  // namespace

class Gateway::Impl {
 public:
  Impl(boost::asio::io_context& context,
       const GatewaySettings& settings,
       PlatformBinding binding,
       Logger* logger);

  // Connections that outlive the gateway must not call into it.
  ~Impl() { memory_->SetHooks({}); }

  absl::Status Start();
  void Drain(std::function<void()> ended);
  void SetBounds(const GatewayBounds& bounds) {
    settings_.bounds = bounds;
    dispatcher_.SetBounds(bounds);
    moves_.SetBounds(bounds.exposure);
    zones_.SetBounds(bounds);
    Log(EventId::kSettingsReloaded, {});
  }
  void SetSeeds(const std::vector<std::string>& seeds) {
    mesh_.SetSeeds(seeds, SteadyNow());
    Log(EventId::kSeedsChanged, {{"seeds", absl::StrJoin(seeds, ",")}});
  }

 private:
  using Fields = std::vector<std::pair<std::string, std::string>>;

  void Log(EventId id, Fields fields);
  RequestDispatcher::Hooks MakeDispatcherHooks();
  RouterMesh::Hooks MakeMeshHooks();
  // Returns the hooks for a kind whose listed and changed objects are passed to
  // `handle` one by one.
  ObjectWatcher::Hooks MakeWatcherHooks(
      void (Impl::*handle)(const PlatformObject&));
  ObjectWatcher::Hooks MakeConfigHooks();
  ObjectWatcher::Hooks MakeUpstreamHooks();
  VersionMoves::Hooks MakeMoveHooks();
  QuarantineArchive::Hooks MakeArchiveHooks();
  CountedStore::Hooks MakeStoreHooks();
  StoreFeed::Hooks MakeFeedHooks();
  ZoneControl::Hooks MakeZoneHooks();
  // The watchers of all kinds.
  std::vector<ObjectWatcher*> Watchers() {
    std::vector<ObjectWatcher*> watchers = {&config_watcher_,
                                            &upstream_watcher_, &move_watcher_};
    if (zones_.watcher() != nullptr) {
      watchers.push_back(zones_.watcher());
    }
    return watchers;
  }
  // Returns null if there is none.
  ObjectWatcher* WatcherOf(const std::string& kind);
  void OnFeedUpdate(const RouterId& from, const FeedUpdate& update);
  void OnUpstream(const PlatformObject& object);
  void OnMove(const PlatformObject& object);
  void OnConfig(const PlatformObject& object);
  void OnReport(const RelayReport& report);
  // Counts an event and logs it within the event budget.
  void LogBounded(const Event& event);
  void OnProbe(const std::shared_ptr<CallerConnection>& caller,
               const HttpRequest& request);
  // Serves /metrics.
  void OnMetricsRequest(const std::shared_ptr<CallerConnection>& caller,
                        const HttpRequest& request);
  // Passes the registered upstreams and the live routers to the dispatcher.
  void PublishUpstreams();
  // Passes the live routers to all parts that depend on them.
  void PublishRouters();
  bool IsReady() const;
  void ScheduleTick();
  void Tick();
  void SlowTick(TimePoint now);
  void ContinueDrain(TimePoint now);

  GatewaySettings settings_;
  const PlatformBinding binding_;
  Logger* const logger_;
  const Incarnation incarnation_ = NewIncarnation();
  LoopMonitor monitor_{&SteadyNow};
  boost::asio::steady_timer timer_;
  const std::shared_ptr<MemoryBudget> memory_;
  std::unique_ptr<CountedStore> store_;
  RequestDispatcher dispatcher_;
  QuarantineArchive archive_;
  RouterMesh mesh_;
  UpstreamDirectory directory_;
  ObjectWatcher config_watcher_;
  ObjectWatcher upstream_watcher_;
  VersionMoves moves_;
  ObjectWatcher move_watcher_;
  ZoneControl zones_;
  StoreFeed feed_;
  StoreProbe store_probe_;
  CallerListener caller_listener_;
  CallerListener probe_listener_;
  CallerListener metrics_listener_;
  std::shared_ptr<const GatewayConfig> config_;
  GatewayMetrics metrics_;
  EventBudget budget_{RequestEventLimits()};
  TimePoint next_slow_tick_;
  // The registered upstreams, or the live routers, have changed since they were
  // last published.
  bool have_upstreams_changed_ = false;
  bool have_routers_changed_ = false;
  TimePoint next_router_update_;
  bool was_ready_ = false;
  std::optional<TimePoint> drain_start_;
  std::function<void()> drain_ended_;
  bool has_stopped_ = false;
};

Gateway::Impl::Impl(boost::asio::io_context& context,
                    const GatewaySettings& settings,
                    PlatformBinding binding,
                    Logger* logger)
    : settings_(settings),
      binding_(std::move(binding)),
      logger_(logger),
      timer_(context),
      memory_(MakeMemoryBudget(context, settings.memory_limit, logger)),
      store_(std::make_unique<CountedStore>(
          binding_.open_store(context, settings.store_address, memory_),
          MakeStoreHooks())),
      dispatcher_(context,
                  settings_,
                  incarnation_,
                  &binding_.header_codec,
                  MakeDispatcherHooks()),
      archive_(settings_.router,
               store_.get(),
               binding_.quarantine_kind,
               MakeArchiveHooks()),
      mesh_(context, settings_, incarnation_, memory_, MakeMeshHooks()),
      directory_(
          {.decode = binding_.decode_upstream,
           .changed = [this] { have_upstreams_changed_ = true; },
           .event = [this](const Event& event) { LogBounded(event); },
           .cold = [this](const UpstreamId& id,
                          Duration left) { dispatcher_.OnWarmup(id, left); }}),
      config_watcher_(store_.get(),
                      WatcherOptions(settings_, binding_.config_kind),
                      MakeConfigHooks()),
      upstream_watcher_(store_.get(),
                        WatcherOptions(settings_, binding_.upstream_kind),
                        MakeUpstreamHooks()),
      moves_(settings_.router, incarnation_, MakeMoveHooks()),
      move_watcher_(store_.get(),
                    MoveWatcherOptions(settings_, binding_.move_kind),
                    MakeWatcherHooks(&Impl::OnMove)),
      zones_(settings_,
             binding_,
             store_.get(),
             kFirstWatchDelay,
             MakeZoneHooks()),
      feed_({.id = settings_.router, .zone = settings_.zone}, MakeFeedHooks()),
      store_probe_(store_.get(),
                   binding_.move_kind,
                   {.alive =
                        [this](TimePoint sent) {
                          for (ObjectWatcher* watcher : Watchers()) {
                            watcher->OnStoreAlive(sent);
                          }
                        },
                    .silent =
                        [this](TimePoint now) {
                          for (ObjectWatcher* watcher : Watchers()) {
                            watcher->OnStoreSilent(now);
                          }
                        }}),
      caller_listener_(
          context,
          std::max(kMinCallerConnections,
                   settings.max_descriptors - kReservedDescriptors),
          [this](const std::shared_ptr<CallerConnection>& caller,
                 HttpRequest request) {
            const LoopMonitor::Scope work(&monitor_, LoopWork::kRequests);
            dispatcher_.OnRequest(caller, std::move(request));
          }),
      probe_listener_(
          context,
          kMaxProbeConnections,
          [this](const std::shared_ptr<CallerConnection>& caller,
                 const HttpRequest& request) { OnProbe(caller, request); }),
      metrics_listener_(context,
                        kMaxProbeConnections,
                        [this](const std::shared_ptr<CallerConnection>& caller,
                               const HttpRequest& request) {
                          OnMetricsRequest(caller, request);
                        }) {
  store_->SetEventHook(logger_->hook());
  moves_.SetBounds(settings_.bounds.exposure);
  caller_listener_.SetReadDelayHook([this] { return monitor_.Delay(); });
  caller_listener_.SetMemory(dispatcher_.MakeCallerMemory());
}

void Gateway::Impl::Log(EventId id, Fields fields) {
  Event event{.id = id};
  event.fields = std::move(fields);
  logger_->Log(event);
}

RequestDispatcher::Hooks Gateway::Impl::MakeDispatcherHooks() {
  RequestDispatcher::Hooks hooks;
  hooks.send_demand = [this](const DemandParts& parts) {
    for (const auto& [router, part] : parts) {
      mesh_.Send(router, MakeDemandNotice(part));
    }
  };
  hooks.send_usage = [this](const RouterId& router, const UsageReport& report) {
    mesh_.Send(router, report);
  };
  hooks.send_totals = [this](const RouterId& router,
                             const UsageTotals& totals) {
    mesh_.Send(router, totals);
  };
  hooks.send_crashes = [this](const RouterId& router, const CrashNews& news) {
    mesh_.Send(router, news);
  };
  hooks.quarantine_begun = [this](PromptPartId part) {
    archive_.OnBegun(part, IdsOf(mesh_.Routers()));
  };
  hooks.report = [this](const RelayReport& report) { OnReport(report); };
  hooks.apply_moves = [this](FleetConfig config) {
    return moves_.Apply(std::move(config));
  };
  hooks.sent = [this](const UpstreamRecord& upstream) {
    moves_.OnSent(upstream.service, upstream.version, SteadyNow());
  };
  hooks.measured = [this](const UpstreamRecord& upstream, const RouteId& route,
                          bool failed, Duration latency) {
    if (moves_.IsCounting(upstream.service)) {
      moves_.OnAttemptEnd(upstream.service, upstream.version, route,
                          upstream.id, failed, latency);
    }
  };
  hooks.upstream_leaving = [this](const UpstreamRecord& upstream) {
    directory_.OnLeaving(upstream);
  };
  hooks.read_delay = [this] { return monitor_.Delay(); };
  hooks.rejected = [this](const std::string& reason) {
    metrics_.CountRejected(reason);
  };
  hooks.event = [this](const Event& event) { LogBounded(event); };
  hooks.memory = memory_;
  return hooks;
}

RouterMesh::Hooks Gateway::Impl::MakeMeshHooks() {
  RouterMesh::Hooks hooks;
  hooks.changed = [this] { have_routers_changed_ = true; };
  hooks.receive = [this](const RouterId& from, const PeerMessage& message) {
    const LoopMonitor::Scope work(&monitor_, LoopWork::kPeers);
    const DemandNotice* notice = std::get_if<DemandNotice>(&message);
    if (notice != nullptr && notice->incarnation != Incarnation()) {
      dispatcher_.OnDemand(from, *notice);
    }
    if (const StatsReport* report = std::get_if<StatsReport>(&message)) {
      moves_.OnReport(*report);
    }
    if (const UsageReport* report = std::get_if<UsageReport>(&message)) {
      dispatcher_.OnUsage(from, *report);
    }
    if (const UsageTotals* totals = std::get_if<UsageTotals>(&message)) {
      dispatcher_.OnUsage(from, *totals);
    }
    if (const MoveApproval* approval = std::get_if<MoveApproval>(&message)) {
      moves_.OnApproval(*approval);
    }
    if (const CrashNews* news = std::get_if<CrashNews>(&message)) {
      dispatcher_.OnCrashNews(*news);
    }
    if (const FeedRequest* request = std::get_if<FeedRequest>(&message)) {
      feed_.OnRequest(from, *request, SteadyNow());
    }
    if (const FeedUpdate* update = std::get_if<FeedUpdate>(&message)) {
      OnFeedUpdate(from, *update);
    }
  };
  hooks.event = logger_->hook();
  return hooks;
}

ObjectWatcher::Hooks Gateway::Impl::MakeWatcherHooks(
    void (Impl::*handle)(const PlatformObject&)) {
  ObjectWatcher::Hooks hooks;
  hooks.replaced = [this, handle](const std::vector<PlatformObject>& objects) {
    for (const PlatformObject& object : objects) {
      (this->*handle)(object);
    }
  };
  hooks.changed = [this, handle](const PlatformObject& object) {
    (this->*handle)(object);
  };
  hooks.store_recovered = [] {};
  hooks.read = [this](const KindFeed& feed) { feed_.OnRead(feed); };
  hooks.behind = [this] { feed_.RequestMissing(SteadyNow()); };
  hooks.now = &SteadyNow;
  hooks.event = logger_->hook();
  return hooks;
}

ObjectWatcher::Hooks Gateway::Impl::MakeConfigHooks() {
  ObjectWatcher::Hooks hooks = MakeWatcherHooks(&Impl::OnConfig);
  hooks.store_restored = [this] {
    archive_.OnStoreRestored(IdsOf(mesh_.Routers()));
  };
  return hooks;
}

ObjectWatcher::Hooks Gateway::Impl::MakeUpstreamHooks() {
  ObjectWatcher::Hooks hooks = MakeWatcherHooks(&Impl::OnUpstream);
  // Upstreams that are missing from a complete list are no longer registered.
  hooks.replaced = [this](const std::vector<PlatformObject>& objects) {
    directory_.Replace(objects, SteadyNow());
  };
  hooks.store_recovered = [this] { directory_.OnStoreRecovered(SteadyNow()); };
  hooks.store_restored = [this] { directory_.OnStoreRestored(SteadyNow()); };
  return hooks;
}

StoreFeed::Hooks Gateway::Impl::MakeFeedHooks() {
  StoreFeed::Hooks hooks;
  hooks.request = [this](const RouterId& router, const FeedRequest& request) {
    mesh_.Send(router, request);
  };
  hooks.update = [this](const RouterId& router, const FeedUpdate& update) {
    mesh_.Send(router, update);
  };
  hooks.snapshot = [this](TimePoint now) {
    std::vector<KindFeed> feeds;
    for (ObjectWatcher* watcher : Watchers()) {
      if (watcher->IsListed()) {
        feeds.push_back(watcher->MakeFeed(now));
      }
    }
    return feeds;
  };
  hooks.feeding_changed = [this](bool is_feeding) {
    for (ObjectWatcher* watcher : Watchers()) {
      watcher->SetFeeding(is_feeding);
    }
  };
  hooks.versions = [this] {
    std::vector<FeedRequest::KindVersion> versions;
    for (ObjectWatcher* watcher : Watchers()) {
      versions.push_back(watcher->MakeVersion());
    }
    return versions;
  };
  hooks.changes_since = [this](const FeedRequest::KindVersion& known,
                               TimePoint now) {
    ObjectWatcher* watcher = WatcherOf(known.kind);
    return watcher == nullptr ? std::vector<KindFeed>()
                              : watcher->ChangesSince(known.version, now);
  };
  hooks.peer_version = [this](const FeedRequest::KindVersion& known,
                              TimePoint now) {
    if (ObjectWatcher* watcher = WatcherOf(known.kind)) {
      watcher->OnPeerVersion(known.version, now);
    }
  };
  hooks.has_lost_store = [this](TimePoint now) {
    return config_watcher_.TimeSinceOwnResponse(now) >=
           StoreFeed::kReaderStaleLimit;
  };
  hooks.reading_changed = [this](bool is_reading) {
    Log(EventId::kStoreReading, {{"reading", is_reading ? "true" : "false"}});
    for (ObjectWatcher* watcher : Watchers()) {
      watcher->SetReading(is_reading);
    }
  };
  return hooks;
}

ZoneControl::Hooks Gateway::Impl::MakeZoneHooks() {
  ZoneControl::Hooks hooks;
  hooks.changed = [this] { have_upstreams_changed_ = true; };
  // Upstreams without requests may have become cold unnoticed.
  hooks.lifted = [this](const AvailabilityZoneId& zone) {
    for (const UpstreamRecord& record : directory_.Records()) {
      if (record.zone == zone) {
        dispatcher_.warmup().PresumeCold(record.id, SteadyNow());
      }
    }
  };
  hooks.read = [this](const KindFeed& feed) { feed_.OnRead(feed); };
  hooks.now = &SteadyNow;
  hooks.wall_time = &WallNow;
  hooks.event = logger_->hook();
  return hooks;
}

void Gateway::Impl::OnFeedUpdate(const RouterId& from,
                                 const FeedUpdate& update) {
  const TimePoint now = SteadyNow();
  feed_.OnUpdate(from, update, now);
  if (!feed_.IsFed()) {
    return;
  }
  for (const KindFeed& feed : update.kinds) {
    if (ObjectWatcher* watcher = WatcherOf(feed.kind)) {
      watcher->OnFeed(feed, now);
    }
  }
}

ObjectWatcher* Gateway::Impl::WatcherOf(const std::string& kind) {
  for (ObjectWatcher* watcher : Watchers()) {
    if (watcher->kind() == kind) {
      return watcher;
    }
  }
  return nullptr;
}

CountedStore::Hooks Gateway::Impl::MakeStoreHooks() {
  CountedStore::Hooks hooks;
  hooks.ended = [this](const std::string& kind, const std::string& call,
                       bool is_ok) {
    metrics_.CountStoreCall(kind, call, is_ok);
  };
  hooks.event = logger_->hook();
  return hooks;
}

VersionMoves::Hooks Gateway::Impl::MakeMoveHooks() {
  VersionMoves::Hooks hooks;
  hooks.write_state = [this](const MoveOrder& order, MoveState state) {
    PlatformObject object;
    object.name = order.object;
    object.version = order.version;
    object.status = binding_.encode_move(order, state);
    store_->PutStatus(
        binding_.move_kind, object,
        [logger = logger_,
         order](const absl::StatusOr<PlatformObject>& written) {
          if (!written.ok()) {
            logger->Log({EventId::kMoveWriteFailed,
                         {{"service", order.service.value()},
                          {"error", std::string(written.status().message())}}});
          }
        });
  };
  hooks.send = [this](const RouterId& router, const StatsReport& report) {
    mesh_.Send(router, report);
  };
  hooks.approve = [this](const RouterId& router, const MoveApproval& approval) {
    mesh_.Send(router, approval);
  };
  hooks.changed = [this] { dispatcher_.OnMovesChanged(); };
  hooks.event = logger_->hook();
  return hooks;
}

QuarantineArchive::Hooks Gateway::Impl::MakeArchiveHooks() {
  QuarantineArchive::Hooks hooks;
  hooks.restore = [this](const CrashNews& news) {
    dispatcher_.OnCrashNews(news);
  };
  hooks.current = [this] { return dispatcher_.Quarantines(); };
  hooks.wall_time = &WallNow;
  if (HasOtherSeeds(settings_)) {
    hooks.is_fed = [this] { return feed_.IsLarge() && !feed_.IsReading(); };
  }
  hooks.event = [this](const Event& event) { LogBounded(event); };
  return hooks;
}

void Gateway::Impl::OnUpstream(const PlatformObject& object) {
  directory_.Apply(object, SteadyNow());
}

void Gateway::Impl::OnMove(const PlatformObject& object) {
  const absl::StatusOr<MoveOrder> order = binding_.decode_move(object);
  if (!order.ok()) {
    Log(EventId::kEntryRefused,
        {{"entry", object.name},
         {"error", std::string(order.status().message())}});
    return;
  }
  if (object.is_deleted) {
    moves_.OnOrderRemoved(order->service);
  } else {
    moves_.OnOrder(*order, SteadyNow());
  }
}

void Gateway::Impl::OnConfig(const PlatformObject& object) {
  if (object.name != binding_.config_name || object.is_deleted) {
    return;
  }
  absl::StatusOr<GatewayConfig> config = binding_.decode_config(object);
  if (!config.ok()) {
    Log(EventId::kManifestRefused,
        {{"error", std::string(config.status().message())}});
    return;
  }
  if (config_ != nullptr && config->version <= config_->version) {
    return;
  }
  config_ = std::make_shared<const GatewayConfig>(*std::move(config));
  caller_listener_.SetLimits(config_->limits);
  dispatcher_.SetTable(std::make_shared<const RouteTable>(config_));
  Log(EventId::kManifestInForce,
      {{"version", absl::StrCat(config_->version.value())},
       {"routes", absl::StrCat(config_->routes.size())},
       {"silent_ms", absl::StrCat(config_watcher_.SilenceBeforeLastResponse() /
                                  std::chrono::milliseconds(1))}});
}

void Gateway::Impl::PublishUpstreams() {
  const LoopMonitor::Scope work(&monitor_, LoopWork::kSnapshots);
  have_upstreams_changed_ = false;
  dispatcher_.SetUpstreams(zones_.Mark(directory_.Records()), mesh_.Routers());
}

void Gateway::Impl::PublishRouters() {
  have_routers_changed_ = false;
  const std::vector<RouterLocation> places = mesh_.Routers();
  moves_.SetRouters(IdsOf(places));
  feed_.SetRouters(places);
  for (ObjectWatcher* watcher : Watchers()) {
    watcher->SetLead(feed_.IsLarge() ? &config_watcher_ : nullptr);
    watcher->SetAlone(places.size() > 1 && !feed_.IsLarge());
  }
  dispatcher_.SetNeighbours(mesh_.Neighbours());
  have_upstreams_changed_ = true;
}

void Gateway::Impl::OnReport(const RelayReport& report) {
  metrics_.Count(report);
  const TimePoint now = SteadyNow();
  zones_.OnRejected(report.service, report.reason, now);
  if (!budget_.Take(EventOf(report), now)) {
    return;
  }
  Event event = MakeReportEvent(report);
  if (!report.reason.empty()) {
    AddServiceFields(report, dispatcher_.LoadOf(report.service),
                     upstream_watcher_.TimeSinceLastResponse(now), &event);
  }
  logger_->Log(event);
}

void Gateway::Impl::LogBounded(const Event& event) {
  metrics_.CountEvent(event.id);
  if (budget_.Take(event.id, SteadyNow())) {
    logger_->Log(event);
  }
}

bool Gateway::Impl::IsReady() const {
  return config_ != nullptr && upstream_watcher_.IsListed() &&
         zones_.IsListed() && !drain_start_.has_value();
}

void Gateway::Impl::OnProbe(const std::shared_ptr<CallerConnection>& caller,
                            const HttpRequest& request) {
  HttpResponse response;
  if (PathOfTarget(request.target) != binding_.ready_path) {
    response.status = 404;
  } else if (!IsReady()) {
    response.status = 503;
  }
  caller->Respond(response);
}

void Gateway::Impl::OnMetricsRequest(
    const std::shared_ptr<CallerConnection>& caller,
    const HttpRequest& request) {
  HttpResponse response;
  if (PathOfTarget(request.target) != "/metrics") {
    response.status = 404;
  } else {
    metrics_.SetState(dispatcher_.in_flight(), caller_listener_.connections(),
                      dispatcher_.upstream_connections(),
                      dispatcher_.quarantined_parts());
    metrics_.SetPeers(mesh_.counts().renewed);
    metrics_.SetLimited(dispatcher_.limited_upstreams());
    metrics_.SetWarmup(dispatcher_.warmup().cold_upstreams(),
                       dispatcher_.warmup().cold_requests());
    zones_.Export(dispatcher_.RunningByZone(), &metrics_);
    metrics_.SetMemory(*memory_);
    response.headers.Set("Content-Type", "text/plain; version=0.0.4");
    response.body = metrics_.Export();
  }
  caller->Respond(response);
}

absl::Status Gateway::Impl::Start() {
  Log(EventId::kRouterStarting, {{"router", settings_.router.value()}});
  if (!settings_.memory_limit_error.empty()) {
    Log(EventId::kMemoryLimitRefused,
        {{"error", settings_.memory_limit_error}});
  }
  absl::Status status = mesh_.Start();
  if (status.ok()) {
    status = caller_listener_.Start(settings_.caller_address);
  }
  if (status.ok()) {
    status = probe_listener_.Start(settings_.ready_address);
  }
  if (status.ok() && !settings_.metrics_address.empty()) {
    status = metrics_listener_.Start(settings_.metrics_address);
  }
  if (status.ok()) {
    Tick();
  }
  return status;
}

void Gateway::Impl::ScheduleTick() {
  const TimePoint due = SteadyNow() + kTick;
  monitor_.SetNextTimer(due);
  timer_.expires_after(kTick);
  timer_.async_wait([this, due](const boost::system::error_code& error) {
    if (!error && !has_stopped_) {
      monitor_.OnTimer(due);
      Tick();
    }
  });
}

void Gateway::Impl::Tick() {
  // First, so that an exception in the work below does not end the ticks.
  ScheduleTick();
  const LoopMonitor::Scope work(&monitor_, LoopWork::kTicks);
  metrics_.RecordLoopDelay(monitor_.Delay());
  const TimePoint now = SteadyNow();
  config_watcher_.OnTick(now);
  upstream_watcher_.OnTick(now);
  move_watcher_.OnTick(now);
  zones_.OnTick(now);
  directory_.OnTick(now);
  // Without the evacuations, requests might be sent to evacuated upstreams.
  if (have_upstreams_changed_ && zones_.IsListed() &&
      dispatcher_.MayBuildSnapshot(now)) {
    PublishUpstreams();
  }
  dispatcher_.OnTick(now);
  if (now >= next_slow_tick_) {
    next_slow_tick_ = now + kSlowTick;
    SlowTick(now);
  }
}

void Gateway::Impl::SlowTick(TimePoint now) {
  if (const std::optional<Event> loss = budget_.TakeLoss(now)) {
    logger_->Log(*loss);
  }
  if (const std::optional<Event> delay = monitor_.TakeReport()) {
    logger_->Log(*delay);
  }
  mesh_.OnTick(now);
  if (have_routers_changed_ && now >= next_router_update_) {
    next_router_update_ = now + kRouterUpdateInterval;
    PublishRouters();
  }
  feed_.OnTick(now);
  store_probe_.OnTick(now, feed_.IsFeeding() && feed_.IsReading() &&
                               !config_watcher_.IsStoreUnavailable());
  store_->OnTick(now);
  archive_.OnTick(now);
  moves_.OnTick(now);
  memory_->OnTick(now);
  caller_listener_.OnTick(now);
  probe_listener_.OnTick(now);
  metrics_listener_.OnTick(now);
  if (IsReady() && !was_ready_) {
    was_ready_ = true;
    Log(EventId::kRouterReady,
        {{"revision", absl::StrCat(config_->version.value())}});
  }
  if (drain_start_.has_value()) {
    ContinueDrain(now);
  }
}

void Gateway::Impl::Drain(std::function<void()> ended) {
  if (drain_start_.has_value()) {
    return;
  }
  Log(EventId::kRouterDraining, {});
  drain_start_ = SteadyNow();
  drain_ended_ = std::move(ended);
  caller_listener_.AnnounceClose();
  mesh_.SetDraining(*drain_start_);
}

void Gateway::Impl::ContinueDrain(TimePoint now) {
  const Duration age = now - *drain_start_;
  // The last connections get one slow tick to send their requests before those
  // that are idle are closed.
  const bool has_stopped_accepting =
      age >= kBalancerDetectionTime && !caller_listener_.StopAccepting();
  const TimePoint answer_at =
      *drain_start_ + settings_.bounds.grace - kAnswerMargin;
  if (has_stopped_accepting) {
    dispatcher_.SetShutdown(answer_at);
    caller_listener_.CloseIdle();
  }
  if (now >= answer_at) {
    dispatcher_.EndAll();
  }
  const bool is_done = has_stopped_accepting && age >= kBalancerDetectionTime &&
                       dispatcher_.in_flight() == 0 &&
                       caller_listener_.connections() == 0;
  if (!is_done && age < settings_.bounds.grace - kGraceMargin) {
    return;
  }
  has_stopped_ = true;
  mesh_.Leave(now);
  Log(EventId::kRouterStopped,
      {{"cut", absl::StrCat(dispatcher_.in_flight())}});
  drain_ended_();
}

Gateway::Gateway(boost::asio::io_context& context,
                 const GatewaySettings& settings,
                 PlatformBinding binding,
                 Logger* logger)
    : impl_(std::make_unique<Impl>(context,
                                   settings,
                                   std::move(binding),
                                   logger)) {}

Gateway::~Gateway() = default;

absl::Status Gateway::Start() {
  return impl_->Start();
}

void Gateway::Drain(std::function<void()> ended) {
  impl_->Drain(std::move(ended));
}

void Gateway::SetBounds(const GatewayBounds& bounds) {
  impl_->SetBounds(bounds);
}

void Gateway::SetSeeds(const std::vector<std::string>& seeds) {
  impl_->SetSeeds(seeds);
}

}  // namespace papaya
