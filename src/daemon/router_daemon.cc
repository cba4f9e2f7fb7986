#include "include/daemon/router_daemon.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <future>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "include/chart/chart_machine.h"
#include "include/telemetry/logger.h"
#include "include/telemetry/metrics.h"
#include "include/wire/http_server.h"
#include "include/wire/peer_network.h"
#include "include/wire/steady_time.h"
#include "src/daemon/caller_front.h"
#include "src/daemon/control_plane.h"
#include "src/daemon/forwarded_exchange.h"
#include "src/daemon/note_pages.h"
#include "src/daemon/once_gate.h"
#include "src/daemon/operator_front.h"
#include "src/daemon/scheduler_host.h"
#include "src/daemon/status_pages.h"
#include "src/daemon/traffic_services.h"
#include "src/daemon/worker_thread.h"

namespace papaya {

namespace {

namespace asio = boost::asio;

constexpr int kIdlePerUpstream = 64;
// Time between "not ready" and the closing of the listening socket, in which
// the balancer learns of it.
constexpr std::chrono::milliseconds kDrainGrace{1500};
constexpr std::chrono::milliseconds kDrainPoll{20};
constexpr std::chrono::milliseconds kFarewellTime{100};
// In the order of Impl's parameters.
constexpr const char* kCharts[] = {"request", "router", "release_note"};

// Grows from one start of a router to the next, as long as its VM's clock does.
Incarnation NewIncarnation() {
  return Incarnation(static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count()));
}

std::string ChartPath(const RouterSettings& settings, const std::string& name) {
  return absl::StrCat(settings.chart_directory, "/", name, ".chart");
}

SchedulerOptions MakeSchedulerOptions(const RouterSettings& settings,
                                      Incarnation incarnation) {
  SchedulerOptions options;
  options.router = settings.router;
  options.incarnation = incarnation;
  options.max_queued = static_cast<size_t>(settings.limits.max_queued_requests);
  for (const AccountSettings& account : settings.accounts) {
    options.account_weights[account.id] = account.weight;
  }
  return options;
}

HttpServerOptions MakeCallerOptions(const RouterSettings& settings) {
  HttpServerOptions options;
  options.address = settings.caller_address;
  options.max_connections = settings.limits.max_connections;
  options.max_header_bytes = settings.limits.max_header_bytes;
  options.max_body_bytes = settings.limits.max_body_bytes;
  options.max_buffered_bytes = settings.limits.max_queued_bytes;
  options.read_timeout = settings.limits.request_read_timeout;
  return options;
}

// `address` with `port` in place of its own.
std::string WithPort(const std::string& address, uint16_t port) {
  return absl::StrCat(address.substr(0, address.rfind(':')), ":", port);
}

void ExportPeerCounts(const PeerNetwork::Counts& counts,
                      MetricsRegistry* registry) {
  const auto set = [registry](const char* name, const char* help,
                              uint64_t value) {
    registry->GetGauge(name, help).Set(static_cast<int64_t>(value));
  };
  set("papaya_peer_sent_messages", "Messages sent to other routers.",
      counts.sent_messages);
  set("papaya_peer_sent_bytes", "Bytes sent to other routers.",
      counts.sent_bytes);
  set("papaya_peer_received_bytes", "Bytes received from other routers.",
      counts.received_bytes);
  set("papaya_peer_dropped_messages",
      "Messages to other routers that were not sent.", counts.dropped_messages);
  set("papaya_peer_refused", "Connections of other routers refused.",
      counts.refused);
}

HttpResponse MakeProbeResponse(bool good) {
  return MakeJsonResponse(good ? 200 : 503,
                          good ? "{\"ok\":true}" : "{\"ok\":false}");
}

}  // namespace

class RouterDaemon::Impl {
 public:
  Impl(const RouterSettings& settings,
       Logger* logger,
       std::shared_ptr<const StateChart> request_chart,
       std::shared_ptr<const StateChart> router_chart,
       std::shared_ptr<const StateChart> note_chart)
      : settings_(settings),
        logger_(logger),
        life_(std::move(router_chart)),
        metrics_(&registry_),
        spans_(settings.router.value()),
        operator_front_(settings.operator_token_sha256) {
    services_.settings = settings;
    services_.incarnation = NewIncarnation();
    services_.request_chart = std::move(request_chart);
    services_.metrics = &metrics_;
    services_.spans = &spans_;
    services_.event = logger->hook();
    MakeThreads();
    MakeScheduler();
    MakePeers();
    MakeControl(std::move(note_chart));
    MakeServers();
  }

  ~Impl() {
    for (const std::unique_ptr<WorkerThread>& thread : traffic_) {
      thread->Stop();
    }
    control_.Stop();
    for (auto& [context, pool] : services_.pools) {
      pool->Shutdown();
    }
  }

  absl::Status Start() {
    Log(EventId::kRouterStarting, {{"router", settings_.router.value()}});
    absl::Status status = spans_.Open(settings_.span_file);
    if (status.ok()) {
      status = operator_server_->Start();
    }
    if (status.ok()) {
      status = caller_server_->Start();
    }
    if (status.ok()) {
      status = peers_->Start();
    }
    if (!status.ok()) {
      return status;
    }
    Log(EventId::kListening,
        {{"role", "callers"}, {"port", absl::StrCat(caller_port())}});
    Log(EventId::kListening,
        {{"role", "operators"}, {"port", absl::StrCat(operator_port())}});
    Log(EventId::kListening,
        {{"role", "routers"}, {"port", absl::StrCat(peer_port())}});
    scheduler_->Start();
    asio::post(control_.context(), [this] {
      plane_->Start(WithPort(settings_.peer_address, peer_port()));
    });
    for (const std::unique_ptr<WorkerThread>& thread : traffic_) {
      thread->Start();
    }
    control_.Start();
    return absl::OkStatus();
  }

  void Drain() {
    if (draining_.exchange(true)) {
      return;
    }
    asio::post(control_.context(), [this] { BeginDrain(); });
  }

  void Wait() {
    drained_.get_future().wait();
    scheduler_->Stop();
    for (const std::unique_ptr<WorkerThread>& thread : traffic_) {
      thread->Stop();
    }
    control_.Stop();
    Log(EventId::kRouterStopped, {});
  }

  bool IsReady() const { return ready_ && !draining_; }
  uint16_t caller_port() const { return caller_server_->port(); }
  uint16_t operator_port() const { return operator_server_->port(); }
  uint16_t peer_port() const { return peers_->port(); }

 private:
  using Fields = std::vector<std::pair<std::string, std::string>>;

  void Log(EventId id, Fields fields) {
    Event event{.id = id};
    event.fields = std::move(fields);
    logger_->Log(event);
  }

  void MakeThreads() {
    for (int i = 0; i < std::max(settings_.traffic_threads, 1); ++i) {
      traffic_.push_back(std::make_unique<WorkerThread>());
      services_.pools.emplace_back(
          &traffic_.back()->context(),
          std::make_unique<HttpClientPool>(kIdlePerUpstream));
    }
  }

  void MakeScheduler() {
    SchedulerHost::Hooks hooks;
    hooks.send_demand = [this](const DemandReport& report) {
      asio::post(control_.context(),
                 [this, report] { plane_->SendDemand(report); });
    };
    hooks.event = logger_->hook();
    scheduler_ = std::make_unique<SchedulerHost>(
        traffic_.front()->context(),
        MakeSchedulerOptions(settings_, services_.incarnation),
        std::move(hooks));
    services_.scheduler = scheduler_.get();
  }

  void MakeServers() {
    caller_front_ = std::make_unique<CallerFront>(&services_);
    std::vector<asio::io_context*> contexts;
    for (const std::unique_ptr<WorkerThread>& thread : traffic_) {
      contexts.push_back(&thread->context());
    }
    caller_server_ = std::make_unique<HttpServer>(
        contexts, MakeCallerOptions(settings_),
        [this](HttpExchange& exchange) {
          return caller_front_->Serve(exchange);
        },
        &MakeFaultResponse);
    HttpServerOptions options;
    options.address = settings_.operator_address;
    operator_server_ = std::make_unique<HttpServer>(
        std::vector<asio::io_context*>{&control_.context()}, options,
        [this](HttpExchange& exchange) {
          return operator_front_.Serve(exchange);
        },
        &MakeFaultResponse);
    AddOperatorPages();
  }

  void AddOperatorPages() {
    operator_front_.AddOpen(
        "GET", "/healthz",
        [](const HttpRequest&) -> asio::awaitable<HttpResponse> {
          co_return MakeProbeResponse(true);
        });
    operator_front_.AddOpen(
        "GET", "/readyz",
        [this](const HttpRequest&) -> asio::awaitable<HttpResponse> {
          co_return MakeProbeResponse(IsReady());
        });
    operator_front_.Add(
        "GET", "/metrics",
        [this](const HttpRequest&) -> asio::awaitable<HttpResponse> {
          HttpResponse response;
          response.headers.Set("Content-Type", "text/plain; version=0.0.4");
          response.body = ExportMetrics();
          co_return response;
        });
    AddPage("/v1/status", [this] { return pages_->MakeStatus(life_.state()); });
    AddPage("/v1/routers", [this] { return pages_->MakeRouters(); });
    AddPage("/v1/upstreams", [this] { return pages_->MakeUpstreams(); });
    for (const char* method : {"GET", "PUT", "POST", "DELETE"}) {
      for (const char* path : {"/v1/notes", "/v1/notes/"}) {
        operator_front_.Add(method, path, [this](const HttpRequest& request) {
          return note_pages_->Handle(request);
        });
      }
    }
  }

  void AddPage(const std::string& path, std::function<std::string()> make) {
    operator_front_.Add("GET", path,
                        [make = std::move(make)](const HttpRequest&)
                            -> asio::awaitable<HttpResponse> {
                          co_return MakeJsonResponse(200, make());
                        });
  }

  void MakePeers() {
    PeerNetwork::Options options;
    options.fleet = settings_.fleet;
    options.self = settings_.router;
    options.fleet_secret = settings_.fleet_secret;
    options.listen_address = settings_.peer_address;
    PeerNetwork::Hooks hooks;
    hooks.receive = [this](const RouterId& from, const PeerMessage& message) {
      plane_->OnMessage(from, message);
    };
    hooks.event = logger_->hook();
    peers_ = std::make_unique<PeerNetwork>(
        control_.context(), std::move(options), std::move(hooks));
  }

  void MakeControl(std::shared_ptr<const StateChart> note_chart) {
    ControlPlane::Hooks hooks;
    hooks.send = [this](const PeerAddress& to, const PeerMessage& message) {
      peers_->Send(to, message);
    };
    hooks.publish = [this](std::shared_ptr<const RoutingSnapshot> snapshot) {
      services_.snapshot.Set(snapshot);
      scheduler_->SetSnapshot(std::move(snapshot));
    };
    hooks.in_force = [this](Revision revision) { OnRevision(revision); };
    hooks.load = [this](const UpstreamId& upstream, const LoadReport& report) {
      scheduler_->AddLoadReport(upstream, report);
    };
    hooks.cache = [this](const UpstreamId& upstream, const CacheEvent& event) {
      scheduler_->AddCacheEvent(upstream, event);
    };
    hooks.demand = [this](const DemandReport& report) {
      scheduler_->AddDemandReport(report);
    };
    hooks.forwarded = [this](const ForwardRequest& request,
                             std::function<void(HttpResponse)> reply) {
      ServeForwarded(request, std::move(reply));
    };
    hooks.event = logger_->hook();
    plane_ = std::make_unique<ControlPlane>(
        control_.context(), settings_, services_.incarnation,
        std::move(note_chart), std::move(hooks));
    once_gate_ = std::make_unique<OnceGate>(
        control_.context(), &plane_->once(),
        [this](const RouterId& issuer, const ForwardRequest& request,
               TimePoint deadline, OnceGate::ReplyHook done) {
          plane_->forwards().Forward(issuer, request, deadline,
                                     std::move(done));
        });
    services_.once = once_gate_.get();
    services_.count_reply = [this](const ReplySample& sample) {
      plane_->CountReply(sample);
    };
    pages_ = std::make_unique<StatusPages>(&settings_, plane_.get(),
                                           scheduler_.get());
    note_pages_ = std::make_unique<NotePages>(
        &plane_->rollout().book(),
        [this] { return plane_->fleet()->config(); });
  }

  // Serves, on a traffic thread, what another router handed over.
  void ServeForwarded(const ForwardRequest& forward,
                      std::function<void(HttpResponse)> reply) {
    asio::io_context& context = traffic_.front()->context();
    asio::co_spawn(
        context,
        [this, forward, reply = std::move(reply),
         executor = context.get_executor()]() -> asio::awaitable<void> {
          ForwardedExchange exchange(executor, forward.request, reply);
          co_await caller_front_->ServeForwarded(exchange, forward.account,
                                                 forward.ticket);
        },
        asio::detached);
  }

  void OnRevision(Revision revision) {
    const std::string text = absl::StrCat(revision.value());
    revision_ = revision;
    Log(EventId::kRevisionInForce, {{"revision", text}});
    if (life_.Fire("configured")) {
      ready_ = true;
      Log(EventId::kRouterReady, {{"revision", text}});
    }
  }

  void BeginDrain() {
    Log(EventId::kRouterDraining,
        {{"open_requests", absl::StrCat(services_.open_requests.load())}});
    if (!life_.Fire("drain")) {
      life_.Fire("stop");
    }
    plane_->SetDraining();
    caller_server_->AnnounceClose();
    drain_timer_.expires_after(kDrainGrace);
    drain_timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        caller_server_->StopAccepting();
        AwaitDrained();
      }
    });
  }

  void AwaitDrained() {
    // Other routers may still hand over requests with tickets of this one.
    const bool tickets_out = SteadyNow() < plane_->once().last_ticket_expiry();
    if (services_.open_requests == 0 && caller_server_->connections() == 0 &&
        !tickets_out) {
      plane_->Stop();
      operator_server_->StopAccepting();
      EndAfterFarewell();
      return;
    }
    drain_timer_.expires_after(kDrainPoll);
    drain_timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        AwaitDrained();
      }
    });
  }

  // Gives the last messages to other routers time to go out.
  void EndAfterFarewell() {
    drain_timer_.expires_after(kFarewellTime);
    drain_timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        peers_->Stop();
        drained_.set_value();
      }
    });
  }

  std::string ExportMetrics() {
    registry_.GetGauge("papaya_queued_requests", "Requests that wait here.")
        .Set(static_cast<int64_t>(scheduler_->queued()));
    registry_
        .GetGauge("papaya_running_requests", "Attempts under way at upstreams.")
        .Set(static_cast<int64_t>(scheduler_->running()));
    registry_.GetGauge("papaya_caller_connections", "Callers connected.")
        .Set(caller_server_->connections());
    registry_
        .GetGauge("papaya_revision_in_force",
                  "Revision of the configuration that this router follows.")
        .Set(static_cast<int64_t>(revision_.value()));
    ExportPeerCounts(peers_->counts(), &registry_);
    return registry_.Export();
  }

  RouterSettings settings_;
  Logger* logger_;
  // Control thread only.
  ChartMachine life_;
  Revision revision_;

  MetricsRegistry registry_;
  RequestMetrics metrics_;
  SpanWriter spans_;
  TrafficServices services_;
  OperatorFront operator_front_;
  std::atomic<bool> ready_ = false;
  std::atomic<bool> draining_ = false;
  std::promise<void> drained_;

  WorkerThread control_;
  asio::steady_timer drain_timer_{control_.context()};
  std::vector<std::unique_ptr<WorkerThread>> traffic_;
  std::unique_ptr<SchedulerHost> scheduler_;
  std::unique_ptr<CallerFront> caller_front_;
  std::unique_ptr<HttpServer> caller_server_;
  std::unique_ptr<HttpServer> operator_server_;
  std::unique_ptr<PeerNetwork> peers_;
  std::unique_ptr<ControlPlane> plane_;
  std::unique_ptr<OnceGate> once_gate_;
  std::unique_ptr<StatusPages> pages_;
  std::unique_ptr<NotePages> note_pages_;
};

absl::StatusOr<std::unique_ptr<RouterDaemon>> RouterDaemon::Create(
    const RouterSettings& settings,
    Logger* logger) {
  std::vector<std::shared_ptr<const StateChart>> charts;
  for (const char* name : kCharts) {
    absl::StatusOr<StateChart> chart =
        StateChart::Load(ChartPath(settings, name));
    if (!chart.ok()) {
      return chart.status();
    }
    charts.push_back(std::make_shared<const StateChart>(*std::move(chart)));
  }
  auto impl =
      std::make_unique<Impl>(settings, logger, charts[0], charts[1], charts[2]);
  return std::unique_ptr<RouterDaemon>(new RouterDaemon(std::move(impl)));
}

RouterDaemon::RouterDaemon(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}

RouterDaemon::~RouterDaemon() = default;

absl::Status RouterDaemon::Start() {
  return impl_->Start();
}

void RouterDaemon::Drain() {
  impl_->Drain();
}

void RouterDaemon::Wait() {
  impl_->Wait();
}

bool RouterDaemon::IsReady() const {
  return impl_->IsReady();
}

uint16_t RouterDaemon::caller_port() const {
  return impl_->caller_port();
}

uint16_t RouterDaemon::operator_port() const {
  return impl_->operator_port();
}

uint16_t RouterDaemon::peer_port() const {
  return impl_->peer_port();
}

}  // namespace papaya
