#include "src/gateway/request_dispatcher.h"

#include <algorithm>
#include <array>
#include <utility>

#include "absl/strings/str_cat.h"
#include "include/base/stable_hash.h"
#include "include/gateway/allowed_regions.h"
#include "include/wire/steady_time.h"
#include "src/gateway/caller_connection.h"
#include "src/gateway/prompt_prefix.h"
#include "src/gateway/request_format.h"
#include "src/gateway/warmup_rates.h"

namespace papaya {

namespace {

// The fraction of a request's time limit within which it must be dispatched.
constexpr double kMaxQueueFraction = 0.35;
// The same as a fraction of the time after which callers abandon a silent
// stream.
constexpr double kMaxSilenceFraction = 0.5;
// A request that is dispatched after this fraction of its latency objective is
// expected to miss it; the rest is for reading the prompt, or for the work.
constexpr double kOnTimeStartFraction = 0.7;
// Rejected callers are told to retry within this fraction of their remaining
// time, about its first third.
constexpr double kMaxRetryAfterFraction = 0.3;
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
// Jitter of the retry times, as a fraction, so that callers don't return all at
// once.
constexpr double kRetryAfterJitter = 0.5;
// PlacementWeights for the choice of an upstream. Prompts share little, so the
// time until a prompt is read and the speed of the engine matter most.
constexpr double kPrefillWeight = 2.0;
constexpr double kDecodeWeight = 0.15;
constexpr double kCrowdingSeconds = 0.5;
constexpr double kCrowdingSlots = 1.5;
// The retry time for callers while the router has no manifest yet.
constexpr Duration kStartupRetryAfter = std::chrono::milliseconds(300);
// The same for callers that should go to another router.
constexpr Duration kShutdownRetryAfter = std::chrono::milliseconds(50);
// The fraction of the fleet's retry budget that the routers use. The rest
// covers retries that reach an upstream later than they were counted.
constexpr double kRetryBudgetFraction = 0.7;
// The retry slack is divided among at least this number of routers.
constexpr double kMinBudgetRouters = 7.0;
// How long a request waits for an answer about its account's quota.
constexpr Duration kQuotaAnswerTimeout = std::chrono::milliseconds(250);
// How long a body waits for memory at most. Longer than large bodies take on a
// link of 10 Mbit/s, shorter than callers that retry elsewhere wait.
constexpr Duration kMaxMemoryWait = std::chrono::seconds(4);
constexpr int kNotFound = 404;
constexpr int kUnauthorized = 401;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;

Duration FractionOf(double part, Duration whole) {
  return SecondsToDuration(part * ToSeconds(whole));
}

// Returns one router's part of the retries that the platform allows all
// `routers` together.
RetryBudgetOptions MakeRetryBudget(const GatewayBounds& bounds,
                                   size_t routers) {
  RetryBudgetOptions options;
  options.retries_per_request = bounds.retry_share * kRetryBudgetFraction;
  // A router that starts does not know the number of routers yet.
  options.initial_retries = 1.0;
  options.max_retries = std::max(
      1.0, bounds.retry_slack * kRetryBudgetFraction /
               std::max(kMinBudgetRouters, static_cast<double>(routers)));
  return options;
}

SchedulerOptions MakeOptions(const GatewaySettings& settings,
                             Incarnation incarnation,
                             WarmupLimiter* warmup,
                             UpstreamLimiter* limiter) {
  SchedulerOptions options;
  options.warmup = warmup;
  options.limiter = limiter;
  options.router = settings.router;
  options.incarnation = incarnation;
  options.retries = MakeRetryBudget(settings.bounds, 1);
  // Straggler detection is off because the speed of engines differs by machine
  // and they do not report which one they run on. Preemption is off because
  // preempted work is lost.
  options.placement = {.prefill = kPrefillWeight,
                       .prefill_token_seconds = 0.0,
                       .decode = kDecodeWeight,
                       .crowding_seconds = kCrowdingSeconds,
                       .crowding_slots = kCrowdingSlots};
  options.parts.straggler_detection = false;
  options.parts.preemption = false;
  // The engines queue what exceeds their slots, so a slot that two routers take
  // costs less than one that stays free while requests wait.
  options.divides_scarce_slots = false;
  return options;
}

// Where a router's share of an engine is less than one slot, a zone with more
// demand than the others has no spare slots of its own, so its routers also use
// the engines of other zones.
ZonePreference ChooseZonePreference(const std::vector<UpstreamSpec>& upstreams,
                                    size_t routers) {
  constexpr int kUsers = RoutingSnapshot::kRoutersPerUpstream;
  const bool is_scarce =
      routers > kUsers &&
      std::any_of(upstreams.begin(), upstreams.end(),
                  [](const UpstreamSpec& upstream) {
                    return upstream.kind == UpstreamKind::kModelEngine &&
                           upstream.slots < kUsers;
                  });
  return is_scarce ? ZonePreference::kNone : ZonePreference::kOwnZone;
}

HttpResponse MakeRejection(int status,
                           const std::string& reason,
                           std::optional<Duration> retry_after) {
  HttpResponse response =
      MakeJsonResponse(status, absl::StrCat("{\"error\":\"", reason, "\"}"));
  if (retry_after.has_value()) {
    response.headers.Set("Retry-After", FormatSeconds(*retry_after));
  }
  return response;
}

}  // namespace

RequestDispatcher::RequestDispatcher(boost::asio::io_context& context,
                                     const GatewaySettings& settings,
                                     Incarnation incarnation,
                                     const HeaderCodec* header_codec,
                                     Hooks hooks)
    : settings_(settings),
      hooks_(std::move(hooks)),
      header_codec_(header_codec),
      memory_(hooks_.memory != nullptr
                  ? hooks_.memory
                  : std::make_shared<MemoryBudget>(Bytes(0))),
      pool_(context, header_codec, memory_),
      warmup_(MakeWarmupOptions(settings),
              [this](const Event& event) { hooks_.event(event); }),
      limiter_(settings.router,
               &warmup_.known_routers(),
               [this](const Event& event) { hooks_.event(event); }),
      scheduler_(MakeOptions(settings, incarnation, &warmup_, &limiter_),
                 MakeHooks()),
      quotas_({.self = settings.router,
               .incarnation = incarnation,
               .window = settings.bounds.quotas.window,
               .is_first_start = settings.is_first_start},
              {.report = hooks_.send_usage,
               .answer = hooks_.send_totals,
               .share_changed =
                   [this](double share) {
                     hooks_.event({.id = EventId::kQuotaShareChanged,
                                   .fields = {{"share", absl::StrCat(share)}}});
                   }},
              SteadyNow()),
      quarantine_(
          settings.router,
          {.send = hooks_.send_crashes,
           .begun = hooks_.quarantine_begun,
           .event = [this](const Event& event) { hooks_.event(event); }}),
      random_(StableHash(settings.router.value(), incarnation.value())),
      context_(MakeContext()) {}

RequestDispatcher::~RequestDispatcher() = default;

SchedulerHooks RequestDispatcher::MakeHooks() {
  SchedulerHooks hooks;
  hooks.dispatch = [this](RequestId id, const UpstreamId& upstream) {
    decisions_.push_back({.id = id, .upstream = upstream, .rejection = {}});
  };
  hooks.reject = [this](RequestId id, const Rejection& rejection) {
    decisions_.push_back({.id = id, .upstream = {}, .rejection = rejection});
  };
  hooks.preempt = [](RequestId) {};
  hooks.send_demand = [this](const DemandReport& /*whole*/,
                             const DemandParts& parts) {
    hooks_.send_demand(parts);
  };
  hooks.event = [this](const Event& event) { hooks_.event(event); };
  return hooks;
}

RelayedRequest::Context RequestDispatcher::MakeContext() {
  RelayedRequest::Context context;
  context.header_codec = header_codec_;
  context.pool = &pool_;
  context.memory = memory_;
  context.now = &SteadyNow;
  context.read_delay = hooks_.read_delay;
  context.observed = [this](const UpstreamId& id,
                            const ResponseMetadata& metadata) {
    OnObserved(id, metadata);
  };
  context.cut = [this](const RelayedRequest& relay, const std::string& error) {
    hooks_.event({EventId::kResponseCut,
                  {{"request", relay.input().metadata.attempt_id},
                   {"upstream", relay.upstream().value()},
                   {"error", error}}});
  };
  AddCrashHooks(&context);
  context.finish_attempt = [this](RequestId id, const AttemptResult& result) {
    scheduler_.OnFinished(id, result, SteadyNow());
    RunDecisions();
  };
  context.first_token = [this](RequestId id) {
    scheduler_.OnFirstToken(id, SteadyNow());
  };
  context.tokens = [this](RequestId id, Tokens total) {
    scheduler_.OnTokens(id, total, SteadyNow());
  };
  context.cancel = [this](RequestId id) {
    scheduler_.OnCancelled(id, SteadyNow());
    RunDecisions();
  };
  context.measured = [this](const RelayedRequest& relay, bool failed,
                            Duration latency) {
    const auto upstream = upstreams_.find(relay.upstream());
    if (upstream != upstreams_.end()) {
      hooks_.measured(upstream->second, relay.input().route->id, failed,
                      latency);
    }
  };
  context.done = [this](const RelayReport& report) {
    relays_.erase(report.id);
    if (report.unused_quota > 0.0) {
      quotas_.Refund(report.account, report.unused_quota, SteadyNow());
    }
    hooks_.report(report);
  };
  return context;
}

void RequestDispatcher::AddCrashHooks(RelayedRequest::Context* context) {
  context->broken = [this](const RelayedRequest& relay,
                           const std::string& error) {
    const RelayedRequest::Input& input = relay.input();
    hooks_.event({EventId::kAttemptBroken,
                  {{"request", input.metadata.attempt_id},
                   {"route", input.route->id.value()},
                   {"account", input.account.value()},
                   {"upstream", relay.upstream().value()},
                   {"events", absl::StrCat(relay.attempt_events())},
                   {"parts", FormatSharedParts(input.metadata.prompt_parts)},
                   {"error", error}}});
    warmup_.OnUnreachable(relay.upstream(), SteadyNow());
    if (!relay.has_survived()) {
      quarantine_.OnBroken(relay.upstream(), input.shared_parts, SteadyNow(),
                           input.own_part);
    }
  };
  context->alive = [this](const UpstreamId& id) {
    const TimePoint now = SteadyNow();
    quarantine_.OnAlive(id, now);
    warmup_.OnAnswer(id, now);
  };
  context->survived = [this](const RelayedRequest& relay) {
    quarantine_.OnSurvived(relay.input().shared_parts, SteadyNow(),
                           relay.input().own_part);
  };
  context->may_repeat = [this](const RelayedRequest& relay) {
    return relay.has_survived() ||
           quarantine_.MayRepeat(relay.upstream(), relay.input().shared_parts,
                                 SteadyNow(), relay.input().own_part);
  };
}

void RequestDispatcher::OnObserved(const UpstreamId& id,
                                   const ResponseMetadata& metadata) {
  const TimePoint now = SteadyNow();
  if (metadata.retry_after.has_value()) {
    scheduler_.OnRetryAfter(id, *metadata.retry_after, now);
    hooks_.event({EventId::kUpstreamClosed,
                  {{"upstream", id.value()},
                   {"delay_ms", absl::StrCat(*metadata.retry_after /
                                             std::chrono::milliseconds(1))}}});
  }
  if (metadata.warmup_left.has_value() && !metadata.is_other_instance) {
    warmup_.OnReport(id, *metadata.warmup_left,
                     WarmupLimiter::Source::kResponse, now);
  }
  if (!metadata.warmup_error.empty()) {
    hooks_.event(
        {EventId::kWarmupRefused,
         {{"upstream", id.value()}, {"error", metadata.warmup_error}}});
  }
  if (!metadata.limit_error.empty()) {
    hooks_.event({EventId::kLimitRefused,
                  {{"upstream", id.value()}, {"error", metadata.limit_error}}});
  } else if (!metadata.is_other_instance) {
    limiter_.OnResponse(id, metadata.limit_per_second, now);
  }
  if (!metadata.is_leaving) {
    return;
  }
  scheduler_.OnLoadReport(id, {.leaving = true}, now);
  pool_.CloseIdle(id);
  const auto upstream = upstreams_.find(id);
  if (upstream != upstreams_.end()) {
    const UpstreamRecord record = upstream->second;
    hooks_.upstream_leaving(record);
  }
}

ServiceLoad RequestDispatcher::LoadOf(const PoolId& service) const {
  ServiceLoad load;
  for (const auto& [id, relay] : relays_) {
    load.queued +=
        relay->input().service == service && !relay->IsAtUpstream() ? 1 : 0;
  }
  for (const auto& [id, upstream] : upstreams_) {
    load.upstreams +=
        upstream.service == service && upstream.MayGetWork() ? 1 : 0;
  }
  return load;
}

std::map<AvailabilityZoneId, size_t> RequestDispatcher::RunningByZone() const {
  std::map<AvailabilityZoneId, size_t> running;
  for (const auto& [id, relay] : relays_) {
    if (relay->IsAtUpstream()) {
      ++running[relay->upstream_zone()];
    }
  }
  return running;
}

void RequestDispatcher::SetBounds(const GatewayBounds& bounds) {
  settings_.bounds = bounds;
  if (table_ != nullptr) {
    SetTable(table_);
  }
}

void RequestDispatcher::SetTable(std::shared_ptr<const RouteTable> table) {
  table_ = std::move(table);
  std::vector<AccountLimit> limits;
  limits.reserve(table_->config().accounts.size());
  for (const ClientAccount& account : table_->config().accounts) {
    const AccountLimit limit{
        .account = account.id, .rate = account.rate, .burst = account.burst};
    limits.push_back(
        limit.rate > 0.0 ? MakeBucket(limit, settings_.bounds.quotas) : limit);
  }
  quotas_.SetLimits(limits, SteadyNow());
  warmup_.SetLimits(MakeWarmupBounds(settings_.bounds),
                    MakeWarmupRates(table_->config()), SteadyNow());
  PublishSnapshot();
}

void RequestDispatcher::OnMovesChanged() {
  pacer_.OnChange();
  PublishIfDue(SteadyNow());
}

void RequestDispatcher::SetUpstreams(
    const std::vector<UpstreamRecord>& records,
    const std::vector<RouterLocation>& routers) {
  records_ = records;
  routers_ = routers;
  std::vector<RouterId> names;
  names.reserve(routers.size());
  for (const RouterLocation& router : routers) {
    names.push_back(router.id);
  }
  quotas_.SetRouters(names, SteadyNow());
  warmup_.SetRouters(routers, SteadyNow());
  scheduler_.SetRetryBudget(MakeRetryBudget(settings_.bounds, routers.size()));
  pacer_.OnChange();
  PublishIfDue(SteadyNow());
}

void RequestDispatcher::OnWarmup(const UpstreamId& id, Duration left) {
  warmup_.OnReport(id, left, WarmupLimiter::Source::kRegistration, SteadyNow());
}

bool RequestDispatcher::MayBuildSnapshot(TimePoint now) const {
  // Without upstreams, all requests are rejected until the next snapshot.
  return pacer_.IsReady(now) || upstreams_.empty();
}

void RequestDispatcher::PublishIfDue(TimePoint now) {
  if (pacer_.has_change() && MayBuildSnapshot(now)) {
    PublishSnapshot();
  }
}

void RequestDispatcher::PublishSnapshot() {
  if (table_ == nullptr) {
    return;
  }
  const TimePoint start = SteadyNow();
  FleetConfig config;
  RoutingInput input;
  upstreams_.clear();
  for (const UpstreamRecord& record : records_) {
    const ServiceInfo* service = table_->FindService(record.service);
    UpstreamSpec spec;
    spec.id = record.id;
    spec.address = record.address;
    spec.zone = record.zone;
    spec.region = record.region;
    spec.kind = service != nullptr && service->is_engine
                    ? UpstreamKind::kModelEngine
                    : UpstreamKind::kPlainService;
    spec.pool = record.service;
    spec.version = record.version;
    spec.slots = record.slots;
    if (!record.MayGetWork()) {
      input.leaving.push_back(record.id);
    }
    if (record.is_evacuated && !record.is_draining) {
      input.returning.push_back(record.id);
    }
    config.upstreams.push_back(std::move(spec));
    upstreams_[record.id] = record;
  }
  std::sort(
      config.upstreams.begin(), config.upstreams.end(),
      [](const UpstreamSpec& a, const UpstreamSpec& b) { return a.id < b.id; });
  input.config = std::make_shared<const FleetConfig>(
      hooks_.apply_moves(std::move(config)));
  input.self = {.id = settings_.router, .zone = settings_.zone};
  input.routers = routers_;
  input.zone_preference =
      ChooseZonePreference(input.config->upstreams, routers_.size());
  input.has_region_limits = HasRegionLimits(table_->config());
  const std::shared_ptr<const RoutingSnapshot> snapshot =
      RoutingSnapshot::Build(input);
  demand_names_ = DemandNameResolver(*snapshot);
  scheduler_.OnSnapshot(snapshot, SteadyNow());
  pacer_.OnBuilt(start, SteadyNow());
  RunDecisions();
}

void RequestDispatcher::RecordRejected(int status,
                                       const std::string& reason,
                                       const CallerMetadata& metadata,
                                       const AccountId& account) {
  hooks_.rejected(reason);
  hooks_.event(
      {EventId::kRequestRejected,
       {{"request", metadata.attempt_id},
        {"status", absl::StrCat(status)},
        {"reason", reason},
        {"account", account.value()},
        {"manifest", table_ == nullptr
                         ? "none"
                         : absl::StrCat(table_->config().version.value())}}});
}

void RequestDispatcher::Reject(CallerConnection* caller,
                               int status,
                               const std::string& reason,
                               const CallerMetadata& metadata,
                               const AccountId& account,
                               std::optional<Duration> retry_after) {
  RecordRejected(status, reason, metadata, account);
  caller->Respond(MakeRejection(status, reason, retry_after));
}

CallerMemory RequestDispatcher::MakeCallerMemory() {
  return {
      .budget = memory_,
      .classify =
          [this](const HttpRequest& head) { return ClassifyHead(head); },
      .reject =
          [this](const HttpRequest* head) { return RejectForMemory(head); }};
}

CallerMemory::HeadClass RequestDispatcher::ClassifyHead(
    const HttpRequest& head) const {
  const CallerMetadata metadata = header_codec_->read_caller(head.headers);
  const ServiceRoute* route =
      table_ == nullptr
          ? nullptr
          : table_->FindRoute(head.headers.Get("Host"), head.target);
  if (route == nullptr) {
    // Will be rejected once it was read, so it must not wait.
    return {.tier = Tier::kBatch, .max_wait = Duration()};
  }
  const Duration time =
      std::min(route->timeout, metadata.time_limit.value_or(route->timeout));
  return {.tier = table_->TierOf(*route, table_->FindAccount(metadata.api_key)),
          .max_wait =
              std::min(kMaxMemoryWait, FractionOf(kMaxQueueFraction, time))};
}

HttpResponse RequestDispatcher::RejectForMemory(const HttpRequest* head) {
  CallerMetadata metadata;
  Tier tier = Tier::kCritical;
  if (head != nullptr) {
    metadata = header_codec_->read_caller(head->headers);
    tier = ClassifyHead(*head).tier;
  }
  memory_->CountRejected(tier);
  RecordRejected(kServiceUnavailable, kMemoryReason, metadata, {});
  return MakeRejection(kServiceUnavailable, kMemoryReason,
                       random_.Jitter(kMemoryRetryAfter, kRetryAfterJitter));
}

void RequestDispatcher::OnRequest(
    const std::shared_ptr<CallerConnection>& caller,
    HttpRequest request) {
  const CallerMetadata metadata = header_codec_->read_caller(request.headers);
  if (table_ == nullptr) {
    Reject(caller.get(), kServiceUnavailable, "no_manifest", metadata, {},
           kStartupRetryAfter);
    return;
  }
  RelayedRequest::Input input;
  input.route = table_->FindRoute(request.headers.Get("Host"), request.target);
  if (input.route == nullptr) {
    Reject(caller.get(), kNotFound, "no_route", metadata, {}, std::nullopt);
    return;
  }
  const ClientAccount* account = table_->FindAccount(metadata.api_key);
  const bool needs_key =
      !input.route->is_anonymous && table_->config().NeedsKeys();
  if (account == nullptr && needs_key) {
    Reject(caller.get(), kUnauthorized, "unknown_key", metadata, {},
           std::nullopt);
    return;
  }
  input.shared_parts = SharedParts(metadata.prompt_parts);
  input.own_part = OwnPart(metadata.prompt_parts);
  const std::optional<Duration> quarantined =
      quarantine_.TimeLeft(input.shared_parts, SteadyNow(), input.own_part);
  if (quarantined.has_value()) {
    Reject(caller.get(), kServiceUnavailable, kQuarantinedReason, metadata,
           account == nullptr ? AccountId() : account->id, *quarantined);
    return;
  }
  const Tier tier = table_->TierOf(*input.route, account);
  if (!memory_->Admits(tier)) {
    caller->Respond(RejectForMemory(&request));
    return;
  }
  input.id = RequestId(++last_id_);
  input.caller = caller;
  input.request_charge =
      MemoryCharge(memory_, MemoryKind::kRequests,
                   static_cast<int64_t>(RequestMemory(request, metadata)));
  input.response_charge = MemoryCharge(memory_, MemoryKind::kResponses);
  input.body = caller->HoldBody(std::exchange(request.body, std::string()));
  input.request = std::move(request);
  input.metadata = metadata;
  input.table = table_;
  if (account != nullptr) {
    input.account = account->id;
  }
  input.tier = tier;
  input.allowed_regions = AllowedRegions(table_, *input.route, account);
  input.share_hash = StableHash(metadata.attempt_id);
  input.service = ChooseService(*input.route, input.share_hash);
  const ServiceInfo* service = table_->FindService(input.service);
  if (service != nullptr) {
    input.tokens_per_event = service->tokens_per_event;
  }
  input.received = caller->request_received();
  input.arrival = SteadyNow();
  Duration time = input.route->timeout;
  if (metadata.time_limit.has_value()) {
    time = std::min(time, *metadata.time_limit);
  }
  input.response_deadline = input.received + time;
  if (shutdown_.has_value() && input.response_deadline > *shutdown_) {
    Reject(caller.get(), kServiceUnavailable, kShutdownReason, metadata,
           input.account, kShutdownRetryAfter);
    return;
  }
  if (account != nullptr) {
    input.quota_cost = QuotaCost(*account, metadata);
    if (quotas_.AskOwner(account->id, input.quota_cost, input.arrival)) {
      Park(std::move(input));
      return;
    }
  }
  Admit(std::move(input));
}

void RequestDispatcher::Park(RelayedRequest::Input input) {
  ParkedRequest parked;
  parked.admit_at = input.arrival + kQuotaAnswerTimeout;
  parked.is_abandoned = std::make_shared<bool>(false);
  input.caller->SetDisconnectHook(
      [is_abandoned = parked.is_abandoned] { *is_abandoned = true; });
  parked.input = std::move(input);
  parked_.push_back(std::move(parked));
}

void RequestDispatcher::AdmitParked(TimePoint now) {
  std::deque<ParkedRequest> parked = std::exchange(parked_, {});
  for (ParkedRequest& request : parked) {
    const RelayedRequest::Input& input = request.input;
    if (!*request.is_abandoned && now < request.admit_at &&
        quotas_.MustWait(input.account, input.quota_cost, now)) {
      parked_.push_back(std::move(request));
      continue;
    }
    quotas_.EndWait(input.account, input.quota_cost);
    if (*request.is_abandoned) {
      continue;
    }
    Admit(std::move(request.input));
  }
}

void RequestDispatcher::Admit(RelayedRequest::Input input) {
  if (input.quota_cost > 0.0 && !SpendQuota(input)) {
    return;
  }
  const RequestSpec spec = MakeSpec(input);
  auto relay = std::make_shared<RelayedRequest>(&context_, std::move(input));
  relays_[spec.id] = relay;
  relay->Start();
  scheduler_.OnRequest(spec, SteadyNow());
  RunDecisions();
}

double RequestDispatcher::QuotaCost(const ClientAccount& account,
                                    const CallerMetadata& metadata) {
  if (!account.counts_tokens) {
    return 1.0;
  }
  const Tokens tokens =
      metadata.prompt_tokens.has_value()
          ? *metadata.prompt_tokens + *metadata.max_output_tokens
          : account.plain_tokens;
  return static_cast<double>(tokens.value());
}

bool RequestDispatcher::SpendQuota(const RelayedRequest::Input& input) {
  const std::optional<Duration> wait =
      quotas_.Spend(input.account, input.tier, input.quota_cost, SteadyNow());
  if (!wait.has_value()) {
    return true;
  }
  Reject(input.caller.get(), kTooManyRequests, "over_quota", input.metadata,
         input.account, *wait);
  return false;
}

RequestSpec RequestDispatcher::MakeSpec(const RelayedRequest::Input& input) {
  RequestSpec spec;
  spec.id = input.id;
  spec.account = input.account;
  spec.route = input.route->id;
  spec.pool = input.service;
  spec.tier = input.tier;
  spec.prompt_tokens = input.metadata.prompt_tokens.value_or(Tokens());
  spec.max_output_tokens = input.metadata.max_output_tokens.value_or(Tokens());
  SetPrefix(input.metadata.prompt_parts, &spec);
  spec.expected_output = input.metadata.expected_output;
  spec.share_hash = input.share_hash;
  spec.arrival = input.arrival;
  // Of the time that is left, so that a request that was read late can still be
  // served.
  Duration wait =
      FractionOf(kMaxQueueFraction, input.response_deadline - input.arrival);
  if (input.route->caller_silence_timeout > Duration()) {
    wait = std::min(wait, FractionOf(kMaxSilenceFraction,
                                     input.route->caller_silence_timeout));
  }
  spec.deadline = input.arrival + wait;
  spec.late_after = input.received + FractionOf(kOnTimeStartFraction,
                                                input.route->latency_objective);
  spec.allowed_regions = input.allowed_regions;
  spec.idempotent = input.route->MayRepeat();
  spec.max_runs = input.route->max_attempts;
  return spec;
}

void RequestDispatcher::OnDemand(const RouterId& from,
                                 const DemandNotice& notice) {
  scheduler_.OnDemandReport(demand_names_.Resolve(from, notice), SteadyNow());
}

void RequestDispatcher::OnUsage(const RouterId& from,
                                const UsageReport& report) {
  quotas_.OnReport(from, report, SteadyNow());
}

void RequestDispatcher::OnUsage(const RouterId& from,
                                const UsageTotals& totals) {
  const TimePoint now = SteadyNow();
  quotas_.OnTotals(from, totals, now);
  AdmitParked(now);
}

void RequestDispatcher::SetNeighbours(const std::vector<RouterId>& neighbours) {
  quarantine_.SetNeighbours(neighbours, SteadyNow());
}

std::vector<PartNews> RequestDispatcher::Quarantines() const {
  return quarantine_.Quarantines(SteadyNow());
}

void RequestDispatcher::OnCrashNews(const CrashNews& news) {
  quarantine_.OnNews(news, SteadyNow());
}

void RequestDispatcher::OnTick(TimePoint now) {
  quarantine_.OnTick(now);
  RejectQuarantined();
  PublishIfDue(now);
  std::vector<std::shared_ptr<RelayedRequest>> relays;
  relays.reserve(relays_.size());
  for (const auto& [id, relay] : relays_) {
    relays.push_back(relay);
  }
  for (const std::shared_ptr<RelayedRequest>& relay : relays) {
    relay->OnTick(now);
  }
  AdmitParked(now);
  scheduler_.OnTick(now);
  RunDecisions();
  quotas_.OnTick(now);
  pool_.OnTick(now);
}

void RequestDispatcher::EndAll() {
  for (ParkedRequest& parked : std::exchange(parked_, {})) {
    Reject(parked.input.caller.get(), kServiceUnavailable, kShutdownReason,
           parked.input.metadata, parked.input.account, kShutdownRetryAfter);
  }
  std::vector<std::shared_ptr<RelayedRequest>> relays;
  for (const auto& [id, relay] : relays_) {
    relays.push_back(relay);
  }
  // Those that wait go first, because a slot that becomes free must not start
  // them.
  std::stable_partition(relays.begin(), relays.end(), [](const auto& relay) {
    return !relay->IsAtUpstream();
  });
  for (const std::shared_ptr<RelayedRequest>& relay : relays) {
    relay->OnShutdown(kShutdownRetryAfter);
  }
}

void RequestDispatcher::RejectQuarantined() {
  if (quarantine_.begun() == known_quarantines_) {
    return;
  }
  known_quarantines_ = quarantine_.begun();
  const TimePoint now = SteadyNow();
  std::vector<std::pair<std::shared_ptr<RelayedRequest>, Duration>> rejected;
  for (const auto& [id, relay] : relays_) {
    const std::optional<Duration> time_left = quarantine_.TimeLeft(
        relay->input().shared_parts, now, relay->input().own_part);
    if (time_left.has_value() && !relay->IsAtUpstream()) {
      rejected.emplace_back(relay, *time_left);
    }
  }
  for (const auto& [relay, time_left] : rejected) {
    relay->OnQuarantined(time_left);
  }
}

void RequestDispatcher::RunDecisions() {
  // Carrying out a decision may queue others, which the outermost call runs.
  if (is_running_decisions_) {
    return;
  }
  is_running_decisions_ = true;
  while (!decisions_.empty()) {
    const Decision decision = std::move(decisions_.front());
    decisions_.pop_front();
    Run(decision);
  }
  is_running_decisions_ = false;
}

void RequestDispatcher::Run(const Decision& decision) {
  const auto found = relays_.find(decision.id);
  if (found == relays_.end()) {
    return;
  }
  const std::shared_ptr<RelayedRequest> relay = found->second;
  if (decision.rejection.has_value()) {
    Rejection rejection = *decision.rejection;
    rejection.retry_after = RetryAfter(*relay, rejection);
    relay->OnRejected(rejection);
    return;
  }
  // The quarantine may have begun while the request waited.
  const std::optional<Duration> quarantined = quarantine_.TimeLeft(
      relay->input().shared_parts, SteadyNow(), relay->input().own_part);
  if (quarantined.has_value()) {
    relay->OnQuarantined(*quarantined);
    return;
  }
  const auto upstream = upstreams_.find(decision.upstream);
  if (upstream == upstreams_.end()) {
    relay->Dispatch(nullptr);
    return;
  }
  hooks_.sent(upstream->second);
  relay->Dispatch(&upstream->second);
}

Duration RequestDispatcher::RetryAfter(const RelayedRequest& relay,
                                       const Rejection& rejection) {
  if (rejection.is_delay_known) {
    return rejection.retry_after;
  }
  const Duration left = relay.input().response_deadline - SteadyNow();
  const Duration latest = SecondsToDuration(kMaxRetryAfterFraction *
                                            std::max(0.0, ToSeconds(left)));
  return std::clamp(random_.Jitter(rejection.retry_after, kRetryAfterJitter),
                    std::min(kMinRetryAfter, latest), latest);
}

}  // namespace papaya
