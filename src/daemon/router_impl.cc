#include "src/daemon/router_impl.h"

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
#include "src/daemon/caller_handler.h"
#include "src/daemon/control_plane.h"
#include "src/daemon/forwarded_exchange.h"
#include "src/daemon/note_pages.h"
#include "src/daemon/once_client.h"
#include "src/daemon/operator_handler.h"
#include "src/daemon/scheduler_host.h"
#include "src/daemon/status_pages.h"
#include "src/daemon/traffic_services.h"
#include "src/daemon/worker_thread.h"

namespace papaya {

namespace {

namespace asio = boost::asio;

constexpr int kMaxIdlePerUpstream = 64;

// Start time in microseconds: greater at each restart, provided that the VM's
// clock does not go back.
Incarnation NewIncarnation() {
  return Incarnation(static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count()));
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

// Replaces the port of `address`.
std::string WithPort(const std::string& address, uint16_t port) {
  return absl::StrCat(address.substr(0, address.rfind(':')), ":", port);
}

}  // namespace

RouterDaemon::Impl::Impl(const RouterSettings& settings,
                         Logger* logger,
                         std::shared_ptr<const StateChart> request_chart,
                         std::shared_ptr<const StateChart> router_chart,
                         const std::shared_ptr<const StateChart>& note_chart)
    : settings_(settings),
      logger_(logger),
      state_machine_(std::move(router_chart)),
      metrics_(&registry_),
      spans_(settings.router.value()),
      operator_handler_(settings.operator_token_sha256) {
  services_.settings = settings;
  services_.incarnation = NewIncarnation();
  services_.request_chart = std::move(request_chart);
  services_.metrics = &metrics_;
  services_.spans = &spans_;
  services_.event = logger->hook();
  MakeThreads();
  MakeScheduler();
  MakePeers();
  MakeControl(note_chart);
  MakeServers();
}

RouterDaemon::Impl::~Impl() {
  for (const std::unique_ptr<WorkerThread>& thread : traffic_threads_) {
    thread->Stop();
  }
  control_thread_.Stop();
  for (auto& [context, pool] : services_.pools) {
    pool->Shutdown();
  }
}

absl::Status RouterDaemon::Impl::Start() {
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
  asio::post(control_thread_.context(), [this] {
    control_plane_->Start(WithPort(settings_.peer_address, peer_port()));
  });
  for (const std::unique_ptr<WorkerThread>& thread : traffic_threads_) {
    thread->Start();
  }
  control_thread_.Start();
  return absl::OkStatus();
}

void RouterDaemon::Impl::Log(EventId id, Fields fields) {
  Event event{.id = id};
  event.fields = std::move(fields);
  logger_->Log(event);
}

void RouterDaemon::Impl::MakeThreads() {
  for (int i = 0; i < std::max(settings_.traffic_threads, 1); ++i) {
    traffic_threads_.push_back(std::make_unique<WorkerThread>());
    services_.pools.emplace_back(
        &traffic_threads_.back()->context(),
        std::make_unique<HttpClientPool>(kMaxIdlePerUpstream));
  }
}

void RouterDaemon::Impl::MakeScheduler() {
  SchedulerHost::Hooks hooks;
  hooks.send_demand = [this](const DemandParts& parts) {
    asio::post(control_thread_.context(),
               [this, parts] { control_plane_->SendDemand(parts); });
  };
  hooks.event = logger_->hook();
  scheduler_ = std::make_unique<SchedulerHost>(
      traffic_threads_.front()->context(),
      MakeSchedulerOptions(settings_, services_.incarnation), std::move(hooks));
  services_.scheduler = scheduler_.get();
}

void RouterDaemon::Impl::MakeServers() {
  caller_handler_ = std::make_unique<CallerHandler>(&services_);
  std::vector<asio::io_context*> contexts;
  for (const std::unique_ptr<WorkerThread>& thread : traffic_threads_) {
    contexts.push_back(&thread->context());
  }
  caller_server_ = std::make_unique<HttpServer>(
      contexts, MakeCallerOptions(settings_),
      [this](HttpExchange& exchange) {
        return caller_handler_->Serve(exchange);
      },
      &MakeHttpErrorResponse);
  HttpServerOptions options;
  options.address = settings_.operator_address;
  operator_server_ = std::make_unique<HttpServer>(
      std::vector<asio::io_context*>{&control_thread_.context()}, options,
      [this](HttpExchange& exchange) {
        return operator_handler_.Serve(exchange);
      },
      &MakeHttpErrorResponse);
  AddOperatorPages();
}

void RouterDaemon::Impl::MakePeers() {
  PeerNetwork::Options options;
  options.fleet = settings_.fleet;
  options.self = settings_.router;
  options.fleet_secret = settings_.fleet_secret;
  options.listen_address = settings_.peer_address;
  PeerNetwork::Hooks hooks;
  hooks.receive = [this](const RouterId& from, const PeerMessage& message) {
    control_plane_->OnMessage(from, message);
  };
  hooks.event = logger_->hook();
  peers_ = std::make_unique<PeerNetwork>(control_thread_.context(),
                                         std::move(options), std::move(hooks));
}

void RouterDaemon::Impl::MakeControl(
    const std::shared_ptr<const StateChart>& note_chart) {
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
  control_plane_ = std::make_unique<ControlPlane>(
      control_thread_.context(), settings_, services_.incarnation, note_chart,
      std::move(hooks));
  once_client_ = std::make_unique<OnceClient>(
      control_thread_.context(), &control_plane_->once(),
      [this](const RouterId& issuer, Incarnation incarnation,
             const ForwardRequest& request, TimePoint deadline,
             OnceClient::ReplyHook done) {
        control_plane_->forwards().Forward(issuer, incarnation, request,
                                           deadline, std::move(done));
      });
  services_.once = once_client_.get();
  services_.count_reply = [this](const ReplySample& sample) {
    control_plane_->CountReply(sample);
  };
  status_pages_ = std::make_unique<StatusPages>(
      &settings_, control_plane_.get(), scheduler_.get());
  note_pages_ = std::make_unique<NotePages>(
      &control_plane_->rollout().note_store(),
      [this] { return control_plane_->fleet()->config(); });
}

void RouterDaemon::Impl::ServeForwarded(
    const ForwardRequest& forward,
    std::function<void(HttpResponse)> reply) {
  asio::io_context& context = traffic_threads_.front()->context();
  asio::co_spawn(
      context,
      [this, forward, reply = std::move(reply),
       executor = context.get_executor()]() -> asio::awaitable<void> {
        ForwardedExchange exchange(executor, forward.request, reply);
        co_await caller_handler_->ServeForwarded(
            exchange, forward.account, forward.ticket, forward.time_left);
      },
      asio::detached);
}

void RouterDaemon::Impl::OnRevision(Revision revision) {
  const std::string text = absl::StrCat(revision.value());
  revision_ = revision;
  Log(EventId::kRevisionInForce, {{"revision", text}});
  if (state_machine_.Fire("configured")) {
    ready_ = true;
    Log(EventId::kRouterReady, {{"revision", text}});
  }
}

}  // namespace papaya
