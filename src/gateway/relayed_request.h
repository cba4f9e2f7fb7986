#ifndef SRC_GATEWAY_RELAYED_REQUEST_H_
#define SRC_GATEWAY_RELAYED_REQUEST_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "include/admission/attempt_result.h"
#include "include/admission/memory_budget.h"
#include "include/base/ids.h"
#include "include/base/tier.h"
#include "include/base/units.h"
#include "include/gateway/header_codec.h"
#include "include/gateway/route_table.h"
#include "include/gateway/upstream_record.h"
#include "include/wire/http_message.h"
#include "src/gateway/event_splitter.h"
#include "src/gateway/upstream_connection.h"

namespace papaya {

class CallerConnection;
class UpstreamPool;

// Formats `duration` for a Retry-After header: in seconds, with two decimals.
std::string FormatSeconds(Duration duration);

// The reason given for requests with a quarantined part in their prompts.
inline constexpr char kQuarantinedReason[] = "part_quarantined";

// The reason given for requests that end because the router stops.
inline constexpr char kShutdownReason[] = "shutting_down";

// The reason given for requests that are rejected because memory is short, and
// when their callers should retry: most requests end within a second or two.
inline constexpr char kMemoryReason[] = "memory_short";
inline constexpr Duration kMemoryRetryAfter = std::chrono::seconds(1);

// The outcome of a request, for logs and metrics.
struct RelayReport {
  RequestId id;
  // The caller's id of the request.
  std::string attempt_id;
  RouteId route;
  AccountId account;
  PoolId service;
  // The version of the manifest in force when the request arrived.
  Revision manifest;
  // The upstream of the last attempt; empty if there was none.
  UpstreamId upstream;
  int attempts = 0;
  // The quota to refund to the account because the request did not run.
  double unused_quota = 0.0;
  // The status of the response; 0 if there was none or it was cut off.
  int status = 0;
  // Why no upstream's response was delivered; empty if one was.
  std::string reason;
  // The error of the last failed attempt; empty if there was none.
  std::string error;
  // Time from when the system received the request until it was read.
  Duration unread{};
  Duration waited{};
  // Time from the arrival to the first event of a stream; as `took` without
  // one.
  Duration first{};
  Duration took{};
  int64_t events = 0;
  // FormatSharedParts of the request.
  std::string parts;
};

// One request of a caller, from its arrival to the end of its response. Sends
// it to the upstreams that the scheduler chooses and relays the response while
// it is received. Single-threaded.
class RelayedRequest : public std::enable_shared_from_this<RelayedRequest> {
 public:
  // State and hooks shared by all requests of a router.
  struct Context {
    const HeaderCodec* header_codec = nullptr;
    UpstreamPool* pool = nullptr;
    // Decides how much of a response may be held for its caller.
    std::shared_ptr<MemoryBudget> memory;
    std::function<TimePoint()> now;
    // Returns how long received bytes may have waited to be read.
    std::function<Duration()> read_delay;
    // An upstream has sent the header of a response, which may state that it is
    // leaving, that it wants no request for a time, how long it stays cold, or
    // a limit. The response may belong to another request.
    std::function<void(const UpstreamId&, const ResponseMetadata&)> observed;
    // A response was abandoned because it exceeded a limit.
    std::function<void(const RelayedRequest&, const std::string& error)> cut;
    // The upstream ended the connection of the current attempt before its
    // response was complete.
    std::function<void(const RelayedRequest&, const std::string& error)> broken;
    // An upstream has sent something for an attempt.
    std::function<void(const UpstreamId&)> alive;
    // The upstream has survived writing a response to the prompt. Called at
    // most once per attempt.
    std::function<void(const RelayedRequest&)> survived;
    // Returns false if a repeat of the request, whose attempt failed, may crash
    // the next upstream.
    std::function<bool(const RelayedRequest&)> may_repeat;
    // An attempt has ended. The scheduler decides whether another one follows.
    std::function<void(RequestId, const AttemptResult&)> finish_attempt;
    std::function<void(RequestId)> first_token;
    std::function<void(RequestId, Tokens)> tokens;
    // The request has ended without a decision of the scheduler.
    std::function<void(RequestId)> cancel;
    // Reports how an upstream served an attempt. Called once per attempt, and
    // again if an attempt fails after it was reported as good. `latency` is the
    // ComparableLatency.
    std::function<void(const RelayedRequest&, bool failed, Duration latency)>
        measured;
    // The request has ended; no other hook is called after this.
    std::function<void(const RelayReport&)> done;
  };

  struct Input {
    RequestId id;
    std::shared_ptr<CallerConnection> caller;
    // Without its body.
    HttpRequest request;
    // Held once: shared with the connection that sends it.
    std::shared_ptr<const std::string> body;
    CallerMetadata metadata;
    // Owns `route`.
    std::shared_ptr<const RouteTable> table;
    const ServiceRoute* route = nullptr;
    AccountId account;
    PoolId service;
    Tier tier = Tier::kStandard;
    // See RequestSpec.
    std::shared_ptr<const std::vector<RegionId>> allowed_regions;
    // Selects the service and version. All routers make the same choice.
    uint64_t share_hash = 0;
    // The parts of the prompt that other requests may share, outermost first.
    std::vector<PromptPartId> shared_parts;
    // The last part of the prompt; empty if it has none.
    std::optional<PromptPartId> own_part;
    // Output tokens per event of a stream.
    Tokens tokens_per_event{1};
    // The amount that was charged to the account's quota.
    double quota_cost = 0.0;
    // When the system received the first bytes of the request.
    TimePoint received;
    // When the request was read completely.
    TimePoint arrival;
    // The response must be complete by this time. The caller's time limit
    // began when it sent the request.
    TimePoint response_deadline;
    // The memory of the head, and of the response.
    MemoryCharge request_charge;
    MemoryCharge response_charge;
  };

  // `context` must outlive the request.
  RelayedRequest(const Context* context, Input input);
  ~RelayedRequest();

  // Registers the hooks of the caller's connection.
  void Start();

  // Starts an attempt at the upstream that the scheduler chose. `upstream` is
  // null if it has been removed in the meantime.
  void Dispatch(const UpstreamRecord* upstream);

  // Ends the request because the scheduler rejected it.
  void OnRejected(const Rejection& rejection);

  // Ends the request, which has no attempt in progress, because a part of its
  // prompt is quarantined for `time_left`.
  void OnQuarantined(Duration time_left);

  // Ends the request because the router stops. `retry_after` is for a caller
  // whose request has not run.
  void OnShutdown(Duration retry_after);

  // Enforces the timeouts of the request and of its attempt.
  void OnTick(TimePoint now);

  // The upstream of the last attempt; empty if there was none.
  const UpstreamId& upstream() const { return upstream_; }
  const AvailabilityZoneId& upstream_zone() const { return upstream_zone_; }

  // True while an attempt is in progress.
  bool IsAtUpstream() const { return connection_ != nullptr; }

  // True if the current or last attempt was reported as survived.
  bool has_survived() const { return has_survived_; }

  // Events that the current attempt, or the last one, has delivered.
  int64_t attempt_events() const { return events_.events() - earlier_events_; }

  const Input& input() const { return input_; }

 private:
  enum class ResponseKind : uint8_t {
    kNone,      // the current attempt has no response yet
    kNotRun,    // the upstream states that it did not run the request
    kFailure,   // a failure that another attempt may replace
    kBuffered,  // forwarded once complete or over kMaxBufferedBytes
    kStream,    // forwarded event by event
  };

  // Ends the request if its caller has left or its time is over. Returns true
  // if it has ended. What was received from the caller, or of its close, since
  // the event loop last looked is known only to the system, so this asks it.
  bool EndIfUnwanted();
  // Returns the bytes to send to `upstream`; nothing if the request has ended.
  std::optional<UpstreamConnection::RequestBytes> TakeRequestBytes(
      const UpstreamRecord& upstream);
  UpstreamConnection::RequestBytes FormatRequest(
      const UpstreamRecord& upstream) const;
  void OnHead(const ResponseReader& reader, const ResponseMetadata& metadata);
  void OnBody(const std::string& bytes);
  void OnResponseEnd();
  void OnFailed(CallFailure failure, const std::string& error);
  // True if the response can go on with the one whose header the caller has.
  // Any other one, such as an error, must not appear within that.
  bool ResumesResponse(const ResponseReader& reader) const;
  ResponseKind Classify(const ResponseReader& reader,
                        const ResponseMetadata& metadata) const;
  // False for statuses that promise that the request did not run.
  static bool MayForwardStatus(int status);
  void ForwardEvents(const std::string& events);
  void StartResponse();
  void ApplyBackpressure();
  // Reserves the memory for the response to the first attempt. Without it, ends
  // the request, which has not run, and returns false.
  bool ReserveResponse();
  // How much may be queued for the caller, and buffered of a response.
  size_t MaxPendingBytes() const;
  size_t MaxBufferedBytes() const;
  // Charges what is held of the response in this object.
  void ChargeResponse();
  void FinishAttempt(AttemptEnd end);
  Tokens OutputTokens() const;
  void ReportSurvival();
  // Reports the current attempt as good unless it was reported before.
  void ReportMeasurement();
  // Reports an attempt that is abandoned, if it took longer than the latency
  // objective. A shorter one is no evidence about its upstream.
  void MeasureAbandoned();
  Duration Latency() const;
  void DropConnection();
  // Ends the current attempt because its response exceeds a limit.
  void CutResponse(const std::string& error);
  // True if a stream has sent no complete event for so long that its caller
  // gives up, even if it sends other bytes. `read_until` is the time up to
  // which everything received has been read.
  bool IsStalled(TimePoint read_until) const;
  // Time within which the response header must arrive before another attempt
  // is made. Empty if there may be no other attempt.
  std::optional<Duration> AttemptTimeout() const;
  void TimeOut();
  void OnCallerDisconnected();
  // Ends the request with an error response of this router, or with the failure
  // of an earlier attempt if there is one.
  void Fail(int status,
            const std::string& reason,
            std::optional<Duration> retry_after);
  void Report(int status, const std::string& reason);

  const Context* const context_;
  Input input_;
  std::shared_ptr<UpstreamConnection> connection_;
  UpstreamId upstream_;
  AvailabilityZoneId upstream_zone_;
  int attempts_ = 0;
  TimePoint dispatched_;
  TimePoint first_dispatched_;
  // Of the current attempt; the epoch before the first event.
  TimePoint first_event_;
  // Time of the last complete event, or of the dispatch before the first one.
  TimePoint last_event_;
  // The current attempt was reported.
  bool has_measurement_ = false;
  // The current attempt was reported as survived.
  bool has_survived_ = false;
  ResponseKind response_kind_ = ResponseKind::kNone;
  // The response of the current attempt, or of the last one that failed.
  HttpResponse response_;
  std::optional<uint64_t> response_length_;
  // The memory of the response's header.
  size_t head_bytes_ = 0;
  // The error of the last failed attempt.
  std::string error_;
  // An upstream's error response, sent to the caller if no other attempt
  // succeeds.
  std::optional<HttpResponse> fallback_response_;
  // An attempt may have run the request.
  bool may_have_run_ = false;
  // The response header was sent to the caller.
  bool has_started_ = false;
  bool is_reading_ = true;
  // True inside Dispatch.
  bool is_dispatching_ = false;
  bool has_ended_ = false;
  EventSplitter events_;
  // Events of the attempts before the current one.
  int64_t earlier_events_ = 0;
};

}  // namespace papaya

#endif  // SRC_GATEWAY_RELAYED_REQUEST_H_
