#ifndef SRC_DAEMON_TRAFFIC_SERVICES_H_
#define SRC_DAEMON_TRAFFIC_SERVICES_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "include/base/ids.h"
#include "include/chart/state_chart.h"
#include "include/routing/routing_snapshot.h"
#include "include/settings/router_settings.h"
#include "include/telemetry/event.h"
#include "include/telemetry/span_writer.h"
#include "include/wire/http_client.h"
#include "src/daemon/request_metrics.h"
#include "src/daemon/rollout_controller.h"

namespace papaya {

class OnceClient;
class SchedulerHost;

// The latest RoutingSnapshot, handed from the control thread to the traffic
// threads.
class SharedSnapshot {
 public:
  void Set(std::shared_ptr<const RoutingSnapshot> snapshot) {
    const std::lock_guard<std::mutex> lock(mutex_);
    snapshot_ = std::move(snapshot);
  }

  // Null until there is one.
  std::shared_ptr<const RoutingSnapshot> Get() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return snapshot_;
  }

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const RoutingSnapshot> snapshot_;
};

// What all requests of a router share. Outlives them.
struct TrafficServices {
  RouterSettings settings;
  Incarnation incarnation;
  std::shared_ptr<const StateChart> request_chart;
  SharedSnapshot snapshot;
  SchedulerHost* scheduler = nullptr;
  OnceClient* once = nullptr;
  // Takes the end of an attempt at an upstream. Any thread.
  std::function<void(const ReplySample&)> count_reply;
  RequestMetrics* metrics = nullptr;
  SpanWriter* spans = nullptr;
  EventHook event;
  std::atomic<uint64_t> last_request = 0;
  // Requests that have arrived and not been answered.
  std::atomic<int> open_requests = 0;
  // One pool for each traffic thread's context; filled before traffic starts.
  std::vector<std::pair<boost::asio::execution_context*,
                        std::unique_ptr<HttpClientPool>>>
      pools;

  // The pool of the thread that `context` belongs to.
  HttpClientPool* PoolOf(const boost::asio::execution_context& context) {
    for (auto& [owner, pool] : pools) {
      if (owner == &context) {
        return pool.get();
      }
    }
    return pools.front().second.get();
  }
};

}  // namespace papaya

#endif  // SRC_DAEMON_TRAFFIC_SERVICES_H_
