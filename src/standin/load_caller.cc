#include "src/standin/load_caller.h"

#include <boost/json.hpp>
#include <memory>
#include <utility>

#include "absl/strings/str_cat.h"
#include "include/standin/service_model.h"
#include "include/wire/sse_reader.h"
#include "include/wire/steady_time.h"
#include "src/standin/standin_handler.h"

namespace papaya {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr int kMaxAttempts = 8;
constexpr Duration kRetryDelay = std::chrono::milliseconds(200);
constexpr Bytes kMaxEventBytes{64 * 1024};
constexpr int kTicketBatchSize = 16;

std::string ChatBody(const PlannedCall& call, const std::string& model) {
  const json::object message = {{"role", "user"}, {"content", call.prompt}};
  return json::serialize(json::object{{"model", model},
                                      {"messages", json::array{message}},
                                      {"max_tokens", call.max_tokens.value()},
                                      {"stream", call.streamed}});
}

bool IsRetryableStatus(int status) {
  return status == 429 || status == 503;
}

}  // namespace

asio::awaitable<CallResult> LoadCaller::Call(PlannedCall call) {
  Progress progress;
  progress.call = std::move(call);
  progress.sent = SteadyNow();
  progress.deadline = progress.sent + options_.call_timeout;
  progress.result.kind = progress.call.kind;
  progress.result.at = progress.call.at;
  progress.result.key = progress.call.key;
  ResponseChecker check(progress.call.prompt, progress.call.max_tokens);
  const bool is_booking = progress.call.kind == LoadKind::kBooking;
  for (; progress.attempt < kMaxAttempts; ++progress.attempt) {
    if (progress.attempt > 0) {
      co_await SleepFor(kRetryDelay);
    }
    bool is_over = false;
    if (is_booking) {
      is_over = co_await TryBooking(progress);
    } else {
      is_over = co_await TryChat(progress, check);
    }
    if (is_over || SteadyNow() >= progress.deadline) {
      break;
    }
  }
  progress.result.retries = std::min(progress.attempt, kMaxAttempts - 1);
  co_return std::move(progress.result);
}

const std::string& LoadCaller::RouterOf(const Progress& progress) const {
  const size_t index =
      progress.call.router + static_cast<size_t>(progress.attempt);
  return options_.routers[index % options_.routers.size()];
}

HttpRequest LoadCaller::MakeChatRequest(const Progress& progress,
                                        const ResponseChecker& check) const {
  const bool is_report = progress.call.kind == LoadKind::kReport;
  HttpRequest request;
  request.headers.Set("Authorization", "Bearer " + options_.token);
  if (!progress.stream_id.empty()) {
    request.target = absl::StrCat("/v1/streams/", progress.stream_id,
                                  "?offset=", check.next());
    return request;
  }
  request.method = "POST";
  request.target = "/v1/chat/completions";
  request.headers.Set("Content-Type", "application/json");
  if (is_report) {
    request.headers.Set("papaya-route", options_.report_route);
  }
  request.body = ChatBody(
      progress.call, is_report ? options_.report_model : options_.chat_model);
  return request;
}

bool LoadCaller::SetOutcomeFromStatus(const HttpResponse& response,
                                      Progress& progress) {
  const std::string outcome = response.headers.Get("papaya-outcome");
  if (outcome == "not-run") {
    progress.result.end = CallOutcome::kNotRun;
    // Another router, or the same one later, may accept the request.
    return !IsRetryableStatus(response.status);
  }
  progress.result.end =
      outcome == "unknown" ? CallOutcome::kUnknown : CallOutcome::kFailed;
  return true;
}

asio::awaitable<bool> LoadCaller::TryChat(Progress& progress,
                                          ResponseChecker& check) {
  const HttpRequest request = MakeChatRequest(progress, check);
  absl::StatusOr<std::unique_ptr<HttpClient>> client =
      co_await HttpClient::Connect(RouterOf(progress), progress.deadline);
  if (!client.ok()) {
    co_return false;
  }
  const absl::Status sent =
      co_await (*client)->Send(request, progress.deadline);
  if (!sent.ok()) {
    co_return false;
  }
  absl::StatusOr<HttpResponse> head =
      co_await (*client)->ReadHead(progress.deadline);
  if (!head.ok()) {
    co_return false;
  }
  if (head->status != 200) {
    const bool is_final = SetOutcomeFromStatus(*head, progress);
    co_return is_final;
  }
  progress.result.version = head->headers.Get("papaya-version");
  if (progress.call.streamed) {
    progress.stream_id = head->headers.Get("papaya-stream-id");
    co_await ReadStream(**client, progress, check);
    if (check.is_invalid()) {
      progress.result.end = CallOutcome::kWrong;
    } else {
      progress.result.end =
          check.is_complete() ? CallOutcome::kWhole : CallOutcome::kCut;
    }
    co_return check.is_invalid() || check.is_complete() ||
        progress.stream_id.empty();
  }
  std::string body;
  while (true) {
    const absl::StatusOr<std::string> piece =
        co_await (*client)->ReadPiece(progress.deadline);
    if (!piece.ok()) {
      progress.result.end = CallOutcome::kCut;
      co_return false;
    }
    if (piece->empty()) {
      break;
    }
    body += *piece;
  }
  const bool is_complete = ResponseChecker::IsCompleteResponse(
      body, progress.call.prompt, progress.call.max_tokens);
  progress.result.end = is_complete ? CallOutcome::kWhole : CallOutcome::kWrong;
  co_return true;
}

asio::awaitable<void> LoadCaller::ReadStream(HttpClient& client,
                                             Progress& progress,
                                             ResponseChecker& check) {
  SseReader reader(kMaxEventBytes);
  while (!check.is_invalid() && !check.is_complete()) {
    const absl::StatusOr<std::string> piece =
        co_await client.ReadPiece(progress.deadline);
    if (!piece.ok() || piece->empty()) {
      co_return;
    }
    const TimePoint now = SteadyNow();
    std::vector<SseEvent> events;
    if (!reader.Feed(*piece, &events).ok()) {
      co_return;
    }
    for (const SseEvent& event : events) {
      const int64_t before = check.next();
      check.OnEvent(event);
      if (check.next() == before) {
        continue;
      }
      if (before == 0) {
        progress.result.first_token = now - progress.sent;
      } else {
        progress.result.gaps.push_back(now - progress.last_token);
      }
      progress.last_token = now;
    }
  }
}

HttpRequest LoadCaller::MakeBookingRequest(const Progress& progress) const {
  HttpRequest request;
  request.method = "POST";
  request.target = options_.booking_path;
  request.headers.Set("Authorization", "Bearer " + options_.token);
  request.headers.Set("Content-Type", "application/json");
  if (progress.call.with_ticket) {
    request.headers.Set("papaya-ticket", progress.ticket);
  } else {
    request.headers.Set("Idempotency-Key", progress.call.key);
  }
  request.body = json::serialize(json::object{{"key", progress.call.key}});
  return request;
}

asio::awaitable<absl::StatusOr<std::string>> LoadCaller::TakeTicket(
    std::string router,
    TimePoint deadline) {
  if (tickets_.empty()) {
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/tickets";
    request.headers.Set("Authorization", "Bearer " + options_.token);
    request.body = json::serialize(json::object{{"count", kTicketBatchSize}});
    const absl::StatusOr<HttpResponse> response =
        co_await FetchHttp(std::move(router), std::move(request), deadline);
    if (!response.ok()) {
      co_return response.status();
    }
    boost::system::error_code error;
    const json::value parsed = json::parse(response->body, error);
    const json::value* tickets =
        error ? nullptr : parsed.find_pointer("/tickets", error);
    if (tickets == nullptr || !tickets->is_array()) {
      co_return absl::UnavailableError("no tickets");
    }
    for (const json::value& ticket : tickets->as_array()) {
      if (ticket.is_string()) {
        tickets_.emplace_back(ticket.as_string());
      }
    }
  }
  if (tickets_.empty()) {
    co_return absl::UnavailableError("no tickets");
  }
  std::string ticket = std::move(tickets_.front());
  tickets_.pop_front();
  co_return ticket;
}

asio::awaitable<bool> LoadCaller::TryBooking(Progress& progress) {
  const std::string router = RouterOf(progress);
  if (progress.call.with_ticket && progress.ticket.empty()) {
    absl::StatusOr<std::string> ticket =
        co_await TakeTicket(router, progress.deadline);
    if (!ticket.ok()) {
      co_return false;
    }
    progress.ticket = *std::move(ticket);
  }
  HttpRequest request = MakeBookingRequest(progress);
  const absl::StatusOr<HttpResponse> response =
      co_await FetchHttp(router, std::move(request), progress.deadline);
  if (!response.ok()) {
    // The booking may have run. Only a retry with the same key can determine
    // the outcome.
    progress.result.end = CallOutcome::kUnknown;
    co_return false;
  }
  if (response->status != 200) {
    const bool is_final = SetOutcomeFromStatus(*response, progress);
    co_return is_final;
  }
  progress.result.version = response->headers.Get("papaya-version");
  const bool is_expected =
      response->body == ServiceResponseBody(progress.call.key);
  progress.result.end = is_expected ? CallOutcome::kWhole : CallOutcome::kWrong;
  co_return true;
}

}  // namespace papaya
