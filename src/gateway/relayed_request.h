#ifndef SRC_GATEWAY_RELAYED_REQUEST_H_
#define SRC_GATEWAY_RELAYED_REQUEST_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "include/admission/attempt_result.h"
#include "include/base/ids.h"
#include "include/base/tier.h"
#include "include/base/units.h"
#include "include/gateway/header_codec.h"
#include "include/gateway/route_table.h"
#include "include/gateway/upstream_record.h"
#include "include/wire/http_message.h"
#include "src/gateway/event_splitter.h"

namespace papaya {

class ResponseReader;
class CallerConnection;
class UpstreamConnection;
class UpstreamPool;

// `duration` as a Retry-After header has it.
std::string FormatSeconds(Duration duration);

// How a request ended, for logs and metrics.
struct RelayReport {
  RequestId id;
  // As the caller knows it.
  std::string attempt_id;
  RouteId route;
  AccountId account;
  PoolId service;
  // The version of the manifest that it arrived under.
  Revision manifest;
  // Where it was sent last; empty if nowhere.
  UpstreamId upstream;
  int attempts = 0;
  // What of the account's quota was not used, as nothing ran.
  double unused_quota = 0.0;
  // Of the answer; 0 if there was none or it was cut.
  int status = 0;
  // Why there was no answer of an upstream; empty if there was.
  std::string reason;
  // What went wrong at the last upstream, in its connection's words; empty if
  // nothing did.
  std::string error;
  Duration waited{};
  Duration took{};
  int64_t events = 0;
};

// One request of a caller from its arrival to the end of its answer: sends it
// to the upstreams that the scheduler names and passes the answer on as it
// comes. One thread.
class RelayedRequest : public std::enable_shared_from_this<RelayedRequest> {
 public:
  // What all requests of a router share.
  struct Context {
    const HeaderCodec* header_codec = nullptr;
    UpstreamPool* pool = nullptr;
    std::function<TimePoint()> now;
    // An attempt has ended; the scheduler decides what follows.
    std::function<void(RequestId, const AttemptResult&)> finish_attempt;
    std::function<void(RequestId)> first_token;
    std::function<void(RequestId, Tokens)> tokens;
    // The request has ended without the scheduler.
    std::function<void(RequestId)> cancel;
    // How an upstream served an attempt; once an attempt, and again if one that
    // went well so far fails. `latency` is ComparableLatency.
    std::function<void(const RelayedRequest&, bool failed, Duration latency)>
        measured;
    // Last of all.
    std::function<void(const RelayReport&)> done;
  };

  struct Input {
    RequestId id;
    std::shared_ptr<CallerConnection> caller;
    HttpRequest request;
    CallerMetadata metadata;
    // Keeps `route` alive.
    std::shared_ptr<const RouteTable> table;
    const ServiceRoute* route = nullptr;
    AccountId account;
    PoolId service;
    Tier tier = Tier::kStandard;
    // Decides which service and version it goes to; all routers choose alike.
    uint64_t share_hash = 0;
    // Output tokens in one event of a stream.
    Tokens tokens_per_event{1};
    // What was taken of the account's quota.
    double quota_cost = 0.0;
    TimePoint arrival;
    // The answer must be whole by then.
    TimePoint deadline;
  };

  // `context` must outlive this.
  RelayedRequest(const Context* context, Input input);
  ~RelayedRequest();

  // Watches the caller from now on.
  void Start();

  // The scheduler sends it there. `upstream` is null if it is gone by now.
  void Dispatch(const UpstreamRecord* upstream);

  // The scheduler ends it.
  void OnRejected(const Refusal& refusal);

  // Ends it, or its attempt, if that takes too long.
  void OnTick(TimePoint now);

  // Where it was sent last; empty if nowhere.
  const UpstreamId& upstream() const { return upstream_; }

  // False while it waits to be sent.
  bool IsAtUpstream() const { return connection_ != nullptr; }

  const Input& input() const { return input_; }

 private:
  enum class ResponseKind : uint8_t {
    kNone,      // nothing has come of the attempt under way
    kNotRun,    // the upstream states that it did not run it
    kFailure,   // a failure that another attempt may make good
    kBuffered,  // passed on once it is whole, or long
    kStream,    // passed on event by event
  };

  std::string FormatRequest(const UpstreamRecord& upstream) const;
  void OnHead(const ResponseReader& reader, const ResponseMetadata& metadata);
  void OnBody(const std::string& bytes);
  void OnResponseEnd();
  void OnFailed(bool was_sent, const std::string& error);
  ResponseKind Classify(int status, const ResponseMetadata& metadata) const;
  // False if an answer of the upstream promises more than is known.
  static bool MayForwardStatus(int status);
  void ForwardEvents(const std::string& events);
  void StartResponse();
  void ApplyBackpressure();
  void FinishAttempt(AttemptEnd end);
  Tokens OutputTokens() const;
  // Tells how the attempt under way goes, unless that is told.
  void ReportMeasurement();
  // The same of an attempt that is given up: one that has had less time than
  // requests are to take says nothing of its upstream.
  void MeasureAbandoned();
  Duration Latency() const;
  void DropConnection();
  // The time that an attempt may take before another one is tried.
  std::optional<Duration> AttemptTimeout() const;
  void TimeOut();
  void OnCallerDisconnected();
  // Ends the request with a failure of this router's own.
  void Fail(int status,
            const std::string& reason,
            std::optional<Duration> retry_after);
  void Report(int status, const std::string& reason);

  const Context* const context_;
  Input input_;
  std::shared_ptr<UpstreamConnection> connection_;
  UpstreamId upstream_;
  int attempts_ = 0;
  TimePoint dispatched_;
  TimePoint first_dispatched_;
  // Of the attempt under way; the epoch before it.
  TimePoint first_event_;
  // The attempt under way has told how it goes.
  bool has_measurement_ = false;
  ResponseKind response_kind_ = ResponseKind::kNone;
  // Of the attempt under way, or the last one that failed.
  HttpResponse response_;
  std::optional<uint64_t> response_length_;
  // What ended the last attempt that failed.
  std::string error_;
  // An upstream's failure to answer with if no attempt does better.
  std::optional<HttpResponse> fallback_response_;
  // The attempts so far may have run the request.
  bool may_have_run_ = false;
  // The header has gone to the caller.
  bool has_started_ = false;
  bool is_reading_ = true;
  bool has_ended_ = false;
  EventSplitter events_;
};

}  // namespace papaya

#endif  // SRC_GATEWAY_RELAYED_REQUEST_H_
