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

// Passes the latest RoutingSnapshot from the control thread to the traffic
// threads. Thread-safe.
class SharedSnapshot {
 public:
  void Set(std::shared_ptr<const RoutingSnapshot> snapshot) {
    const std::lock_guard<std::mutex> lock(mutex_);
    snapshot_ = std::move(snapshot);
  }

  // Null until the first Set.
  std::shared_ptr<const RoutingSnapshot> Get() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return snapshot_;
  }

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const RoutingSnapshot> snapshot_;
};

// Objects and settings shared by all requests of a router. Outlives the
// requests.
struct TrafficServices {
  RouterSettings settings;
  Incarnation incarnation;
  std::shared_ptr<const StateChart> request_chart;
  SharedSnapshot snapshot;
  SchedulerHost* scheduler = nullptr;
  OnceClient* once = nullptr;
  // Records the result of an attempt. May be called on any thread.
  std::function<void(const ReplySample&)> count_reply;
  RequestMetrics* metrics = nullptr;
  SpanWriter* spans = nullptr;
  EventHook event;
  std::atomic<uint64_t> last_request = 0;
  // Number of requests received and not answered yet.
  std::atomic<int> open_requests = 0;
  // One pool per traffic thread, by its context; immutable once traffic starts.
  std::vector<std::pair<boost::asio::execution_context*,
                        std::unique_ptr<HttpClientPool>>>
      pools;

  // Returns the pool of the thread that runs `context`.
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
