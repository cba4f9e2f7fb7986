#ifndef SRC_GATEWAY_REQUEST_DISPATCHER_H_
#define SRC_GATEWAY_REQUEST_DISPATCHER_H_

#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "include/admission/account_quota.h"
#include "include/admission/demand_name_resolver.h"
#include "include/admission/prompt_quarantine.h"
#include "include/admission/scheduler.h"
#include "include/admission/upstream_limiter.h"
#include "include/admission/warmup_limiter.h"
#include "include/base/random.h"
#include "include/gateway/gateway_settings.h"
#include "include/gateway/header_codec.h"
#include "include/gateway/route_table.h"
#include "include/gateway/upstream_record.h"
#include "include/telemetry/event.h"
#include "include/wire/http_message.h"
#include "src/gateway/caller_connection.h"
#include "src/gateway/relayed_request.h"
#include "src/gateway/snapshot_pacer.h"
#include "src/gateway/upstream_pool.h"

namespace papaya {

// The load of a service as seen by one router.
struct ServiceLoad {
  // Requests that wait for an upstream.
  size_t queued = 0;
  // Upstreams that get new requests.
  size_t upstreams = 0;
};

// Owns all requests in flight on a router. Admits them by the manifest and the
// quotas, lets the scheduler decide when and where each one is sent, and relays
// them. Single-threaded.
class RequestDispatcher {
 public:
  struct Hooks {
    // Sends each part to its router.
    std::function<void(const DemandParts&)> send_demand;
    std::function<void(const RouterId&, const UsageReport&)> send_usage;
    std::function<void(const RouterId&, const UsageTotals&)> send_totals;
    std::function<void(const RouterId&, const CrashNews&)> send_crashes;
    // A part of prompts was quarantined on this router.
    std::function<void(PromptPartId)> quarantine_begun;
    std::function<void(const RelayReport&)> report;
    // Returns the config with the version shares of the current moves.
    std::function<FleetConfig(FleetConfig)> apply_moves;
    // See RelayedRequest::Context.
    std::function<void(const UpstreamRecord&,
                       const RouteId&,
                       bool failed,
                       Duration latency)>
        measured;
    // A request is sent to the upstream.
    std::function<void(const UpstreamRecord&)> sent;
    // The upstream said in a response that it is leaving.
    std::function<void(const UpstreamRecord&)> upstream_leaving;
    // A request was rejected before it was admitted.
    std::function<void(const std::string& reason)> rejected;
    // Returns how long received bytes may have waited to be read.
    std::function<Duration()> read_delay;
    EventHook event;
    // What the requests hold is charged to this budget. May be null.
    std::shared_ptr<MemoryBudget> memory;
  };

  // `context` and `header_codec` must outlive the dispatcher.
  RequestDispatcher(boost::asio::io_context& context,
                    const GatewaySettings& settings,
                    Incarnation incarnation,
                    const HeaderCodec* header_codec,
                    Hooks hooks);
  ~RequestDispatcher();

  void SetBounds(const GatewayBounds& bounds);

  // Requests that arrive from now on use `table`.
  void SetTable(std::shared_ptr<const RouteTable> table);

  // Call when the result of the hook apply_moves has changed.
  void OnMovesChanged();

  // Sets the registered upstreams and the routers that share them. They are in
  // force with the next routing snapshot, half a second later at most.
  void SetUpstreams(const std::vector<UpstreamRecord>& records,
                    const std::vector<RouterLocation>& routers);

  // The registration of an upstream says how much longer it stays cold.
  void OnWarmup(const UpstreamId& id, Duration left);

  // For the other sources from which an upstream may be known to be cold.
  WarmupLimiter& warmup() { return warmup_; }
  // Number of upstreams that have named a limit.
  size_t limited_upstreams() const { return limiter_.limited_upstreams(); }

  // Sets the routers with which this one exchanges news of crashes.
  void SetNeighbours(const std::vector<RouterId>& neighbours);

  void OnRequest(const std::shared_ptr<CallerConnection>& caller,
                 HttpRequest request);

  // Returns the budget with the hooks that a listener needs to decide about
  // requests whose bodies it has not read. Must not be used after the
  // dispatcher's end.
  CallerMemory MakeCallerMemory();

  // The router stops at `end`. From now on, requests that may take longer are
  // rejected, so that their callers can try another router.
  void SetShutdown(TimePoint end) { shutdown_ = end; }

  // Answers all requests, because the router stops: those that have not run can
  // be tried elsewhere, the others have an unknown outcome.
  void EndAll();

  void OnDemand(const RouterId& from, const DemandNotice& notice);
  void OnUsage(const RouterId& from, const UsageReport& report);
  void OnUsage(const RouterId& from, const UsageTotals& totals);
  void OnCrashNews(const CrashNews& news);

  // True if a change of the upstreams or routers would be in force at once.
  bool MayBuildSnapshot(TimePoint now) const;

  // Call every 25 ms.
  void OnTick(TimePoint now);

  ServiceLoad LoadOf(const PoolId& service) const;

  // Returns the number of requests at the upstreams of each zone.
  std::map<AvailabilityZoneId, size_t> RunningByZone() const;

  // Returns the quarantines in force.
  std::vector<PartNews> Quarantines() const;
  // Number of prompt parts whose requests are rejected.
  size_t quarantined_parts() const { return quarantine_.size(); }

  size_t in_flight() const { return relays_.size() + parked_.size(); }
  int64_t upstream_connections() const { return pool_.opened(); }

 private:
  // A request that waits for an answer about its account's quota.
  struct ParkedRequest {
    RelayedRequest::Input input;
    TimePoint admit_at;
    // Set when the caller disconnects.
    std::shared_ptr<bool> is_abandoned;
  };

  // A decision of the scheduler. Decisions are queued because they must not be
  // carried out inside a call to the scheduler.
  struct Decision {
    RequestId id;
    UpstreamId upstream;
    std::optional<Rejection> rejection;
  };

  SchedulerHooks MakeHooks();
  RelayedRequest::Context MakeContext();
  // Adds the hooks that report what crashed upstreams, and what did not.
  void AddCrashHooks(RelayedRequest::Context* context);
  // Acts on what an upstream says about itself in a response header.
  void OnObserved(const UpstreamId& id, const ResponseMetadata& metadata);
  // Rejects a request before admission. `account` is empty if the request's key
  // is unknown or was not checked.
  void Reject(CallerConnection* caller,
              int status,
              const std::string& reason,
              const CallerMetadata& metadata,
              const AccountId& account,
              std::optional<Duration> retry_after);
  // Counts a request that is rejected before admission and logs it.
  void RecordRejected(int status,
                      const std::string& reason,
                      const CallerMetadata& metadata,
                      const AccountId& account);
  CallerMemory::HeadClass ClassifyHead(const HttpRequest& head) const;
  // Returns the response to a request that is rejected because memory is short.
  HttpResponse RejectForMemory(const HttpRequest* head);
  // The amount that the request takes from the account's quota.
  static double QuotaCost(const ClientAccount& account,
                          const CallerMetadata& metadata);
  // Holds the request back until the owner of its account's quota has answered.
  void Park(RelayedRequest::Input input);
  // Admits the requests that have been held back long enough, or whose quota
  // need not be asked for any more.
  void AdmitParked(TimePoint now);
  // Charges the request to its account's quota and passes it to the scheduler,
  // or rejects it.
  void Admit(RelayedRequest::Input input);
  // Charges the request to the account's quota. If the quota is exceeded,
  // rejects the request and returns false.
  bool SpendQuota(const RelayedRequest::Input& input);
  static RequestSpec MakeSpec(const RelayedRequest::Input& input);
  // Ends the waiting requests whose parts were quarantined since the last call.
  void RejectQuarantined();
  void RunDecisions();
  void Run(const Decision& decision);
  Duration RetryAfter(const RelayedRequest& relay, const Rejection& rejection);
  void PublishIfDue(TimePoint now);
  void PublishSnapshot();

  GatewaySettings settings_;
  const Hooks hooks_;
  const HeaderCodec* const header_codec_;
  const std::shared_ptr<MemoryBudget> memory_;
  UpstreamPool pool_;
  WarmupLimiter warmup_;
  UpstreamLimiter limiter_;
  Scheduler scheduler_;
  AccountQuotas quotas_;
  PromptQuarantine quarantine_;
  // Value of quarantine_.begun() at the last call of RejectQuarantined.
  uint64_t known_quarantines_ = 0;
  Random random_;
  RelayedRequest::Context context_;
  std::shared_ptr<const RouteTable> table_;
  // Resolves the names that demand notices use, by the scheduler's snapshot.
  DemandNameResolver demand_names_;
  std::vector<UpstreamRecord> records_;
  std::vector<RouterLocation> routers_;
  SnapshotPacer pacer_;
  absl::flat_hash_map<UpstreamId, UpstreamRecord> upstreams_;
  absl::flat_hash_map<RequestId, std::shared_ptr<RelayedRequest>> relays_;
  std::deque<ParkedRequest> parked_;
  std::deque<Decision> decisions_;
  bool is_running_decisions_ = false;
  uint64_t last_id_ = 0;
  std::optional<TimePoint> shutdown_;
};

}  // namespace papaya

#endif  // SRC_GATEWAY_REQUEST_DISPATCHER_H_
