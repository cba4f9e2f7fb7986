#ifndef SRC_DAEMON_ROUTER_IMPL_H_
#define SRC_DAEMON_ROUTER_IMPL_H_

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "include/chart/chart_machine.h"
#include "include/daemon/router_daemon.h"
#include "include/telemetry/event.h"
#include "include/telemetry/metrics.h"
#include "include/wire/http_server.h"
#include "include/wire/peer_network.h"
#include "src/daemon/caller_handler.h"
#include "src/daemon/control_plane.h"
#include "src/daemon/note_pages.h"
#include "src/daemon/once_client.h"
#include "src/daemon/operator_handler.h"
#include "src/daemon/scheduler_host.h"
#include "src/daemon/status_pages.h"
#include "src/daemon/traffic_services.h"
#include "src/daemon/worker_thread.h"

namespace papaya {

// The components of one router. router_impl.cc creates and connects them,
// router_drain.cc shuts them down, and router_pages.cc serves their state to
// operators.
class RouterDaemon::Impl {
 public:
  Impl(const RouterSettings& settings,
       Logger* logger,
       std::shared_ptr<const StateChart> request_chart,
       std::shared_ptr<const StateChart> router_chart,
       const std::shared_ptr<const StateChart>& note_chart);

  ~Impl();

  absl::Status Start();

  void Drain();

  void Wait();

  bool IsReady() const { return ready_ && !draining_; }
  uint16_t caller_port() const { return caller_server_->port(); }
  uint16_t operator_port() const { return operator_server_->port(); }
  uint16_t peer_port() const { return peers_->port(); }

 private:
  using Fields = std::vector<std::pair<std::string, std::string>>;

  void Log(EventId id, Fields fields);

  // Each creates one group of components. The constructor calls them in the
  // order of their dependencies.
  void MakeThreads();
  void MakeScheduler();
  void MakeServers();
  void AddOperatorPages();

  void AddPage(const std::string& path, std::function<std::string()> make);

  void MakePeers();
  void MakeControl(const std::shared_ptr<const StateChart>& note_chart);

  // Serves a request forwarded by another router, on a traffic thread.
  void ServeForwarded(const ForwardRequest& forward,
                      std::function<void(HttpResponse)> reply);

  void OnRevision(Revision revision);

  // The steps of a drain, in order.
  void BeginDrain();
  void AwaitDrained();

  // Ends the drain after a short delay in which the last messages to other
  // routers are sent.
  void EndAfterPeerFlush();

  std::string ExportMetrics();

  RouterSettings settings_;
  Logger* logger_;
  // Used on the control thread only.
  ChartMachine state_machine_;
  Revision revision_;

  MetricsRegistry registry_;
  RequestMetrics metrics_;
  SpanWriter spans_;
  TrafficServices services_;
  OperatorHandler operator_handler_;
  std::atomic<bool> ready_ = false;
  std::atomic<bool> draining_ = false;
  std::promise<void> drained_;

  WorkerThread control_thread_;
  boost::asio::steady_timer drain_timer_{control_thread_.context()};
  std::vector<std::unique_ptr<WorkerThread>> traffic_threads_;
  std::unique_ptr<SchedulerHost> scheduler_;
  std::unique_ptr<CallerHandler> caller_handler_;
  std::unique_ptr<HttpServer> caller_server_;
  std::unique_ptr<HttpServer> operator_server_;
  std::unique_ptr<PeerNetwork> peers_;
  std::unique_ptr<ControlPlane> control_plane_;
  std::unique_ptr<OnceClient> once_client_;
  std::unique_ptr<StatusPages> status_pages_;
  std::unique_ptr<NotePages> note_pages_;
};

}  // namespace papaya

#endif  // SRC_DAEMON_ROUTER_IMPL_H_
