#ifndef SRC_DAEMON_UPSTREAM_POLLER_H_
#define SRC_DAEMON_UPSTREAM_POLLER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>

#include "include/base/ids.h"
#include "include/base/units.h"
#include "include/routing/routing_snapshot.h"
#include "include/routing/upstream_reports.h"

namespace papaya {

// Polls the model engines of the routing snapshot for their load and for
// changes of their prefix caches. Runs on the control thread.
class UpstreamPoller {
 public:
  struct Hooks {
    std::function<void(const UpstreamId&, const LoadReport&)> load;
    std::function<void(const UpstreamId&, const CacheEvent&)> cache;
    // The engine reported that it is leaving.
    std::function<void(const UpstreamId&)> leaving;
  };

  UpstreamPoller(boost::asio::io_context& context, Hooks hooks);
  ~UpstreamPoller();

  // Polls exactly the engines of `snapshot` from now on.
  void OnSnapshot(const std::shared_ptr<const RoutingSnapshot>& snapshot);

  // Starts the polls that are due. Must be called every 100 ms.
  void OnTick(TimePoint now);

 private:
  struct Engine {
    std::string address;
    TimePoint next_poll;
    bool is_polling = false;
    // The `after` parameter of the next request for cache events.
    uint64_t cache_cursor = 0;
  };

  boost::asio::awaitable<void> Poll(UpstreamId id, std::string address);
  boost::asio::awaitable<bool> PollLoad(UpstreamId id, std::string address);
  boost::asio::awaitable<void> PollCache(UpstreamId id, std::string address);

  boost::asio::io_context& context_;
  const Hooks hooks_;
  std::map<UpstreamId, Engine> engines_;
  // Polls in flight hold a weak_ptr to this to detect that the poller was
  // destroyed.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace papaya

#endif  // SRC_DAEMON_UPSTREAM_POLLER_H_
