#include "src/daemon/caller_handler.h"

#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "include/base/stable_hash.h"
#include "include/wire/chat_body.h"
#include "include/wire/http_exchange.h"
#include "include/wire/prompt_blocks.h"
#include "include/wire/steady_time.h"
#include "src/daemon/once_client.h"
#include "src/daemon/once_controller.h"
#include "src/daemon/request_deadline.h"
#include "src/daemon/route_table.h"
#include "src/daemon/stream_id.h"
#include "src/daemon/stream_relay.h"
#include "src/daemon/ticket_json.h"
#include "src/daemon/token_digest.h"
#include "src/daemon/traffic_services.h"

namespace papaya {

namespace {

namespace asio = boost::asio;

constexpr char kChatPath[] = "/v1/chat/completions";
constexpr char kStreamsPath[] = "/v1/streams/";
constexpr char kServicePath[] = "/svc/";
constexpr char kTicketsPath[] = "/v1/tickets";
constexpr size_t kMaxKeyBytes = 128;
// Limit on the total duration of a resumed stream.
constexpr std::chrono::minutes kResumedStreamTimeout{30};

constexpr const char* kStrippedHeaders[] = {
    kAuthorizationHeader, "Host",          kRouteHeader,
    kTicketHeader,        kAttemptHeader,  kDeadlineHeader,
    kOutcomeHeader,       kStreamIdHeader, "Expect",
};

// Strips `/svc/<service>` from a target of the form `/svc/<service>/<path>`;
// the service receives `/<path>`.
std::string ServiceTarget(const std::string& target) {
  const size_t path = target.find('/', sizeof(kServicePath) - 1);
  return path == std::string::npos ? "/" : target.substr(path);
}

RouterError MalformedRequest(const std::string& message) {
  return {.status = 400,
          .code = "malformed_request",
          .message = message,
          .step = "caller.check"};
}

HttpRequest MakeUpstreamRequest(HttpRequest request) {
  for (const char* name : kStrippedHeaders) {
    request.headers.Remove(name);
  }
  if (absl::StartsWith(request.target, kServicePath)) {
    request.target = ServiceTarget(request.target);
  }
  return request;
}

}  // namespace

CallerHandler::CallerHandler(TrafficServices* services)
    : services_(services), accounts_(services->settings.accounts) {}

asio::awaitable<void> CallerHandler::Serve(HttpExchange& exchange) {
  ++services_->open_requests;
  co_await ServeCounted(exchange);
  --services_->open_requests;
}

asio::awaitable<void> CallerHandler::ServeCounted(HttpExchange& exchange) {
  const AccountSettings* account =
      accounts_.Find(BearerToken(exchange.request().headers));
  RouterError error{
      .status = 401,
      .code = "unknown_token",
      .message = "the bearer token does not belong to any client account",
      .step = "caller.token"};
  if (account != nullptr) {
    if (absl::StartsWith(exchange.request().target, kStreamsPath)) {
      co_await ResumeStream(exchange, *account);
      co_return;
    }
    if (PathOfTarget(exchange.request().target) == kTicketsPath) {
      co_await ServeTickets(exchange, *account);
      co_return;
    }
    co_await ServeAccepted(exchange, Check(exchange.TakeRequest(), *account));
    co_return;
  }
  services_->metrics->rejected.Add();
  (co_await exchange.Respond(MakeErrorResponse(error))).IgnoreError();
}

asio::awaitable<void> CallerHandler::ServeForwarded(HttpExchange& exchange,
                                                    AccountId account,
                                                    std::string ticket,
                                                    Duration time_left) {
  ++services_->open_requests;
  const AccountSettings* found = accounts_.FindById(account);
  HttpRequest request = exchange.TakeRequest();
  request.headers.Set(kTicketHeader, ticket);
  SetTimeLeft(time_left, &request.headers);
  if (found != nullptr) {
    co_await ServeAccepted(exchange, Check(std::move(request), *found));
  } else {
    const RouterError error{
        .status = 401,
        .code = "unknown_account",
        .message = "the client account is not in the settings of this router",
        .step = "caller.forwarded"};
    (co_await exchange.Respond(MakeErrorResponse(error))).IgnoreError();
  }
  --services_->open_requests;
}

asio::awaitable<void> CallerHandler::ServeAccepted(HttpExchange& exchange,
                                                   Checked checked) {
  if (std::holds_alternative<AcceptedRequest>(checked)) {
    RequestSession session(services_, &exchange,
                           std::get<AcceptedRequest>(std::move(checked)));
    co_await session.Run();
    co_return;
  }
  services_->metrics->rejected.Add();
  (co_await exchange.Respond(MakeErrorResponse(std::get<RouterError>(checked))))
      .IgnoreError();
}

asio::awaitable<void> CallerHandler::ServeTickets(
    HttpExchange& exchange,
    const AccountSettings& account) {
  const int count = ParseTicketCount(exchange.request().body);
  if (exchange.request().method != "POST" || count < 1 ||
      count > OnceController::kMaxTicketsPerCall) {
    const RouterError error = MalformedRequest(
        absl::StrCat("expected POST with {\"count\":N}, N from 1 to ",
                     OnceController::kMaxTicketsPerCall));
    (co_await exchange.Respond(MakeErrorResponse(error))).IgnoreError();
    co_return;
  }
  const std::vector<std::string> tickets =
      co_await services_->once->IssueTickets(account.id, count);
  if (tickets.empty()) {
    const RouterError error{.status = 429,
                            .code = "tickets_full",
                            .message = "the limit on issued tickets is reached",
                            .step = "ticket.issue",
                            .retry_after = std::chrono::seconds(5)};
    (co_await exchange.Respond(MakeErrorResponse(error))).IgnoreError();
    co_return;
  }
  (co_await exchange.Respond(MakeJsonResponse(
       200, FormatTickets(tickets, OnceController::kTicketLifetime))))
      .IgnoreError();
}

CallerHandler::Checked CallerHandler::Check(HttpRequest request,
                                            const AccountSettings& account) {
  const RouteSettings* route = FindRoute(services_->settings.routes, request);
  if (route == nullptr) {
    return RouterError{
        .status = 404,
        .code = "unknown_path",
        .message = "no route matches the method and path of the request",
        .step = "caller.route"};
  }
  if (!MayUseRoute(account, route->id)) {
    return RouterError{
        .status = 403,
        .code = "route_not_allowed",
        .message = "the client account is not allowed to use this route",
        .step = "caller.route"};
  }
  AcceptedRequest accepted;
  accepted.route = route;
  accepted.spec = MakeSpec(*route, account, request);
  if (PathOfTarget(request.target) == kChatPath) {
    absl::StatusOr<ChatBody> chat = ParseChatBody(request.body);
    if (!chat.ok()) {
      return MalformedRequest(std::string(chat.status().message()));
    }
    accepted.stream = chat->stream;
    accepted.spec.prompt_tokens = EstimateTokens(chat->prompt);
    accepted.spec.max_output_tokens = chat->max_tokens;
    accepted.spec.prefix_hashes = HashPromptBlocks(chat->prompt);
    if (route->pool.empty()) {
      accepted.spec.pool = chat->model;
    }
  }
  if (!route->idempotent) {
    std::optional<RouterError> no_key = CheckOnce(request, accepted);
    if (no_key.has_value()) {
      return *std::move(no_key);
    }
  }
  std::optional<RouterError> no_pool = CheckPool(accepted.spec.pool);
  if (no_pool.has_value()) {
    return *std::move(no_pool);
  }
  accepted.name = absl::StrCat(services_->settings.router.value(), "-",
                               absl::Hex(services_->incarnation.value()), "-",
                               accepted.spec.id.value());
  const std::optional<TraceContext> from_caller =
      ParseTraceparent(request.headers.Get(kTraceparentHeader));
  accepted.trace = from_caller.has_value() ? from_caller->NewChild()
                                           : TraceContext::NewTrace();
  accepted.parent_span = from_caller.has_value() ? from_caller->span_id : "";
  accepted.forward = MakeUpstreamRequest(std::move(request));
  return accepted;
}

std::optional<RouterError> CallerHandler::CheckOnce(
    const HttpRequest& request,
    AcceptedRequest& accepted) const {
  const std::string key = request.headers.Get(kIdempotencyKeyHeader);
  const std::string ticket = request.headers.Get(kTicketHeader);
  if (key.empty() && ticket.empty()) {
    return RouterError{.status = 400,
                       .code = "key_required",
                       .message =
                           "this route requires an Idempotency-Key or a "
                           "papaya-ticket header",
                       .step = "caller.check"};
  }
  if (key.size() > kMaxKeyBytes) {
    return MalformedRequest("the Idempotency-Key is longer than 128 bytes");
  }
  accepted.once = {.id = accepted.spec.id,
                   .account = accepted.spec.account,
                   .ticket = ticket,
                   .key = IdempotencyKey(key),
                   .is_first = request.headers.Get(kAttemptHeader) == "1",
                   .deadline = accepted.spec.deadline};
  if (!ticket.empty()) {
    accepted.original = request;
    accepted.original.headers.Remove(kAuthorizationHeader);
  }
  return std::nullopt;
}

std::optional<RouterError> CallerHandler::CheckPool(const PoolId& pool) const {
  const std::shared_ptr<const RoutingSnapshot> snapshot =
      services_->snapshot.Get();
  if (snapshot == nullptr) {
    return RouterError{.status = 503,
                       .code = "not_ready",
                       .message = "this router has no configuration yet",
                       .step = "caller.route",
                       .retry_after = std::chrono::seconds(1)};
  }
  if (!snapshot->FindPool(pool).has_value()) {
    return RouterError{.status = 404,
                       .code = "unknown_pool",
                       .message = absl::StrCat("there is no model or service `",
                                               pool.value(), "`"),
                       .step = "caller.route"};
  }
  return std::nullopt;
}

RequestSpec CallerHandler::MakeSpec(const RouteSettings& route,
                                    const AccountSettings& account,
                                    const HttpRequest& request) {
  RequestSpec spec;
  spec.id = RequestId(++services_->last_request);
  spec.account = account.id;
  spec.route = route.id;
  spec.pool = route.pool;
  spec.tier = route.tier;
  spec.arrival = SteadyNow();
  spec.deadline = DeadlineOf(route, request.headers, spec.arrival);
  spec.idempotent = route.idempotent;
  const std::string key = request.headers.Get(kIdempotencyKeyHeader);
  const std::string share_name =
      key.empty()
          ? absl::StrCat(services_->settings.router.value(), "/",
                         services_->incarnation.value(), "/", spec.id.value())
          : absl::StrCat(account.id.value(), "/", key);
  spec.share_hash = StableHash(share_name);
  return spec;
}

asio::awaitable<void> CallerHandler::ResumeStream(
    HttpExchange& exchange,
    const AccountSettings& account) {
  const std::string target = exchange.request().target;
  const std::string stream_id =
      PathOfTarget(target).substr(sizeof(kStreamsPath) - 1);
  RouterError error{
      .status = 404,
      .code = "unknown_stream",
      .message = "the stream id is invalid or the stream no longer exists",
      .step = "stream.resume",
      .outcome = Outcome::kUnknown};
  const std::string offset_text = QueryValue(target, "offset");
  int64_t offset = 0;
  if (!offset_text.empty() &&
      (!absl::SimpleAtoi(offset_text, &offset) || offset < 0)) {
    (co_await exchange.Respond(MakeErrorResponse(
         MalformedRequest("`offset` must be a non-negative integer"))))
        .IgnoreError();
    co_return;
  }
  const std::optional<UpstreamId> upstream =
      UpstreamOfStream(stream_id, account.id, services_->settings.fleet_secret);
  const std::shared_ptr<const RoutingSnapshot> snapshot =
      services_->snapshot.Get();
  std::optional<UpstreamSpec> spec;
  if (upstream.has_value() && snapshot != nullptr) {
    for (const UpstreamSpec& candidate : snapshot->config()->upstreams) {
      if (candidate.id == *upstream) {
        spec = candidate;
      }
    }
  }
  if (!spec.has_value()) {
    (co_await exchange.Respond(MakeErrorResponse(error))).IgnoreError();
    co_return;
  }
  UpstreamAttempt::Options options;
  options.upstream = *spec;
  options.deadline = SteadyNow() + Duration(kResumedStreamTimeout);
  UpstreamAttempt attempt(options,
                          services_->PoolOf(exchange.executor().context()));
  const absl::Status resumed = co_await attempt.Resume(stream_id, offset);
  if (!resumed.ok()) {
    if (!absl::IsNotFound(resumed)) {
      error.status = 502;
      error.code = "upstream_failed";
      error.message = std::string(resumed.message());
    }
    (co_await exchange.Respond(MakeErrorResponse(error))).IgnoreError();
    co_return;
  }
  exchange.OnCallerGone([&attempt] { attempt.Close(); });
  StreamRelay::Options relay_options;
  relay_options.stream_id = stream_id;
  relay_options.offset = offset;
  StreamRelay::Hooks hooks;
  hooks.before_first_event = [] { return true; };
  hooks.resuming = [this](bool begins) {
    if (begins) {
      services_->metrics->resumed.Add();
    }
  };
  hooks.tokens = [](int64_t) {};
  hooks.is_cancelled = [] { return false; };
  HttpResponse head;
  head.headers.Set("Content-Type", "text/event-stream");
  head.headers.Set(kOutcomeHeader, OutcomeName(Outcome::kRan));
  head.headers.Set(kStreamIdHeader, stream_id);
  head.headers.Set(kUpstreamHeader, upstream->value());
  StreamRelay relay(relay_options, hooks, &attempt, &exchange);
  co_await relay.Run(std::move(head));
  exchange.OnCallerGone(nullptr);
}

}  // namespace papaya
