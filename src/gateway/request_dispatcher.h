#ifndef SRC_GATEWAY_REQUEST_DISPATCHER_H_
#define SRC_GATEWAY_REQUEST_DISPATCHER_H_

#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "include/admission/account_quota.h"
#include "include/admission/demand_names.h"
#include "include/admission/scheduler.h"
#include "include/base/random.h"
#include "include/gateway/gateway_settings.h"
#include "include/gateway/header_codec.h"
#include "include/gateway/route_table.h"
#include "include/gateway/upstream_record.h"
#include "include/telemetry/event.h"
#include "include/wire/http_message.h"
#include "src/gateway/relayed_request.h"
#include "src/gateway/upstream_pool.h"

namespace papaya {

class CallerConnection;

// What a router knows of a service when it decides about a request to it.
struct ServiceLoad {
  // Requests that wait to be sent.
  size_t queued = 0;
  // Upstreams that take requests.
  size_t upstreams = 0;
};

// All requests that a router has in hand: takes them in by the manifest, has
// the scheduler decide when and where each goes, and relays them. One thread.
class RequestDispatcher {
 public:
  struct Hooks {
    // Pass each part on to its router.
    std::function<void(const DemandParts&)> send_demand;
    std::function<void(const RouterId&, const UsageReport&)> send_usage;
    std::function<void(const RouterId&, const UsageTotals&)> send_totals;
    std::function<void(const RelayReport&)> report;
    // Gives the upstreams' versions their shares.
    std::function<FleetConfig(FleetConfig)> apply_moves;
    // See RelayedRequest::Context.
    std::function<void(const UpstreamRecord&,
                       const RouteId&,
                       bool failed,
                       Duration latency)>
        measured;
    // A request was turned away before it was taken in, for that reason.
    std::function<void(const std::string& reason)> rejected;
    EventHook event;
  };

  // `context` and `dialect` must outlive this.
  RequestDispatcher(boost::asio::io_context& context,
                    const GatewaySettings& settings,
                    Incarnation incarnation,
                    const HeaderCodec* header_codec,
                    Hooks hooks);
  ~RequestDispatcher();

  void SetBounds(const GatewayBounds& bounds);

  // Requests that arrive from now on go by `table`.
  void SetTable(std::shared_ptr<const RouteTable> table);

  // Shares of versions have changed.
  void OnMovesChanged() { PublishSnapshot(); }

  // The upstreams that are registered, and the routers that share them.
  void SetUpstreams(const std::vector<UpstreamRecord>& records,
                    const std::vector<RouterPlace>& routers);

  void OnRequest(const std::shared_ptr<CallerConnection>& caller,
                 HttpRequest request);

  void OnDemand(const RouterId& from, const DemandNotice& notice);
  void OnUsage(const RouterId& from, const UsageReport& report);
  void OnUsage(const RouterId& from, const UsageTotals& totals);

  // Call every 25 ms.
  void OnTick(TimePoint now);

  ServiceLoad LoadOf(const PoolId& service) const;

  size_t in_flight() const { return relays_.size(); }
  int64_t upstream_connections() const { return pool_.opened(); }

 private:
  // A decision of the scheduler that waits until its method has returned.
  struct Decision {
    RequestId id;
    UpstreamId upstream;
    std::optional<Refusal> refusal;
  };

  SchedulerHooks MakeHooks();
  RelayedRequest::Context MakeContext();
  // Answers a request that the manifest does not allow.
  // `account` is empty if the request's key is unknown or not looked at.
  void Reject(CallerConnection* caller,
              int status,
              const std::string& reason,
              const CallerMetadata& metadata,
              const AccountId& account,
              std::optional<Duration> retry_after);
  // False if the account's quota does not allow it, which is then answered.
  bool SpendQuota(const ClientAccount& account, RelayedRequest::Input* input);
  static RequestSpec MakeSpec(const RelayedRequest::Input& input);
  void RunDecisions();
  void Run(const Decision& decision);
  Duration RetryAfter(const RelayedRequest& relay, const Refusal& refusal);
  void PublishSnapshot();

  GatewaySettings settings_;
  const Hooks hooks_;
  const HeaderCodec* const header_codec_;
  UpstreamPool pool_;
  Scheduler scheduler_;
  AccountQuotas quotas_;
  Random random_;
  RelayedRequest::Context context_;
  std::shared_ptr<const RouteTable> table_;
  // The names in the scheduler's snapshot.
  DemandNames demand_names_;
  std::vector<UpstreamRecord> records_;
  std::vector<RouterPlace> routers_;
  absl::flat_hash_map<UpstreamId, UpstreamRecord> upstreams_;
  absl::flat_hash_map<RequestId, std::shared_ptr<RelayedRequest>> relays_;
  std::deque<Decision> decisions_;
  bool is_running_decisions_ = false;
  uint64_t last_id_ = 0;
};

}  // namespace papaya

#endif  // SRC_GATEWAY_REQUEST_DISPATCHER_H_
