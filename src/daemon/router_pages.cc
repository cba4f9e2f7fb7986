#include <functional>
#include <string>
#include <utility>

#include "src/daemon/router_error.h"
#include "src/daemon/router_impl.h"

namespace papaya {

namespace {

namespace asio = boost::asio;

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
  set("papaya_peer_renewed",
      "Connections to other routers that went silent and were replaced.",
      counts.renewed);
}

HttpResponse MakeProbeResponse(bool good) {
  return MakeJsonResponse(good ? 200 : 503,
                          good ? "{\"ok\":true}" : "{\"ok\":false}");
}

}  // namespace

void RouterDaemon::Impl::AddOperatorPages() {
  operator_handler_.AddOpen(
      "GET", "/healthz",
      [](const HttpRequest&) -> asio::awaitable<HttpResponse> {
        co_return MakeProbeResponse(true);
      });
  operator_handler_.AddOpen(
      "GET", "/readyz",
      [this](const HttpRequest&) -> asio::awaitable<HttpResponse> {
        co_return MakeProbeResponse(IsReady());
      });
  operator_handler_.Add(
      "GET", "/metrics",
      [this](const HttpRequest&) -> asio::awaitable<HttpResponse> {
        HttpResponse response;
        response.headers.Set("Content-Type", "text/plain; version=0.0.4");
        response.body = ExportMetrics();
        co_return response;
      });
  AddPage("/v1/status",
          [this] { return status_pages_->MakeStatus(state_machine_.state()); });
  AddPage("/v1/routers", [this] { return status_pages_->MakeRouters(); });
  AddPage("/v1/upstreams", [this] { return status_pages_->MakeUpstreams(); });
  for (const char* method : {"GET", "PUT", "POST", "DELETE"}) {
    for (const char* path : {"/v1/notes", "/v1/notes/"}) {
      operator_handler_.Add(method, path, [this](const HttpRequest& request) {
        return note_pages_->Handle(request);
      });
    }
  }
}

void RouterDaemon::Impl::AddPage(const std::string& path,
                                 std::function<std::string()> make) {
  operator_handler_.Add("GET", path,
                        [make = std::move(make)](const HttpRequest&)
                            -> asio::awaitable<HttpResponse> {
                          co_return MakeJsonResponse(200, make());
                        });
}

std::string RouterDaemon::Impl::ExportMetrics() {
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

}  // namespace papaya
