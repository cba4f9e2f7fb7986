#include "src/standin/engine_handler.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <cstdlib>
#include <utility>

#include "absl/strings/str_cat.h"
#include "include/standin/response_text.h"
#include "include/standin/standin_server.h"
#include "include/wire/http_exchange.h"
#include "include/wire/sse_reader.h"
#include "include/wire/steady_time.h"
#include "src/standin/engine_json.h"

namespace papaya {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr const char* kStreamsPath = "/v1/streams/";
constexpr int64_t kNsPerMs = 1'000'000;

uint64_t QueryNumber(const std::string& target, const char* name) {
  return std::strtoull(QueryValue(target, name).c_str(), nullptr, 10);
}

HttpResponse WithVersion(HttpResponse response, const VersionId& version) {
  response.headers.Set("papaya-version", version.value());
  return response;
}

HttpResponse LeavingResponse() {
  HttpResponse response = ErrorResponse(503, "leaving");
  response.headers.Set("papaya-leaving", "1");
  response.headers.Set("papaya-not-run", "1");
  return response;
}

int HttpStatusOfOrder(OrderResult result) {
  switch (result) {
    case OrderResult::kDone:
      return 200;
    case OrderResult::kStaleFencing:
      return 409;
    case OrderResult::kWeightStoreBusy:
      return 429;
    case OrderResult::kRejected:
      return 400;
  }
  return 500;
}

json::array HexStrings(const std::vector<uint64_t>& hashes) {
  json::array names;
  for (const uint64_t hash : hashes) {
    names.emplace_back(absl::StrCat(absl::Hex(hash)));
  }
  return names;
}

}  // namespace

EngineHandler::EngineHandler(const asio::any_io_executor& executor,
                             const StandinOptions& options)
    : StandinHandler(options.faults, options.seed),
      model_(options.engine, options.seed),
      step_timer_(executor),
      progress_(executor) {
  progress_.expires_at(asio::steady_timer::time_point::max());
  for (const VersionFault& version_fault : options.version_faults) {
    model_.SetVersionFault(version_fault);
  }
  OnFaultsChanged();
}

void EngineHandler::OnFaultsChanged() {
  model_.set_slow_factor(faults().slow_factor);
  if (faults().ignore_fencing) {
    model_.versions().set_checks_fencing(false);
  }
}

asio::awaitable<void> EngineHandler::HandleRequest(HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  const std::string path = PathOfTarget(request.target);
  if (path == "/v1/chat/completions") {
    co_await HandleChat(exchange);
  } else if (path.starts_with(kStreamsPath)) {
    const std::string stream_id = path.substr(std::string(kStreamsPath).size());
    if (request.method == "DELETE") {
      co_await HandleCancel(exchange, stream_id);
    } else {
      co_await HandleResume(exchange, stream_id);
    }
  } else if (path == "/v1/load") {
    co_await SendResponse(exchange, MakeJsonResponse(200, LoadJson()));
  } else if (path == "/v1/state") {
    co_await SendResponse(exchange, MakeJsonResponse(200, StateJson()));
  } else if (path == "/v1/cache_events") {
    co_await SendResponse(exchange,
                          MakeJsonResponse(200, CacheEventsJson(QueryNumber(
                                                    request.target, "after"))));
  } else if (path == "/v1/orders") {
    co_await HandleOrder(exchange);
  } else if (path == "/badness") {
    co_await HandleVersionFault(exchange);
  } else if (path == "/healthz") {
    co_await SendResponse(exchange,
                          MakeJsonResponse(faults().leaving ? 503 : 200, "{}"));
  } else {
    co_await SendResponse(exchange, ErrorResponse(404, "unknown path"));
  }
}

asio::awaitable<void> EngineHandler::HandleChat(HttpExchange& exchange) {
  const std::optional<ChatRequest> chat =
      ParseChatRequest(exchange.request().body);
  if (!chat) {
    co_await SendResponse(exchange,
                          ErrorResponse(400, "the body is not a chat request"));
    co_return;
  }
  if (faults().leaving) {
    co_await SendResponse(exchange, LeavingResponse());
    co_return;
  }
  std::string stream_id = exchange.request().headers.Get("papaya-stream-id");
  if (stream_id.empty()) {
    stream_id = absl::StrCat("local-", ++next_local_stream_);
  }
  if (!model_.Submit({.stream_id = stream_id,
                      .prompt = chat->prompt,
                      .max_tokens = chat->max_tokens},
                     SteadyNow())) {
    co_await SendResponse(exchange,
                          ErrorResponse(409, "the stream id is in use"));
    co_return;
  }
  ScheduleStep();
  const FaultChoice fault = ChooseFault();
  if (fault == FaultChoice::kHang) {
    co_await WaitForDisconnect(exchange);
  } else if (fault == FaultChoice::kFail) {
    co_await WaitForProgress(stream_id, Tokens(0));
    co_await SendResponse(exchange, WithVersion(ErrorResponse(500, "failed"),
                                                model_.versions().active()));
  } else if (chat->stream) {
    co_await SendStream(exchange, stream_id, Tokens(0),
                        fault == FaultChoice::kCut);
  } else if (fault == FaultChoice::kNone) {
    co_await SendWholeResponse(exchange, stream_id, chat->model);
  }
}

asio::awaitable<const EngineStream*> EngineHandler::WaitForProgress(
    std::string stream_id,
    Tokens produced) {
  while (true) {
    const EngineStream* stream = model_.Find(stream_id);
    if (stream == nullptr || stream->HasEnded() ||
        stream->produced > produced) {
      co_return stream;
    }
    boost::system::error_code ignored;
    co_await progress_.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
}

asio::awaitable<void> EngineHandler::SendWholeResponse(HttpExchange& exchange,
                                                       std::string stream_id,
                                                       std::string model) {
  const EngineStream* stream = model_.Find(stream_id);
  while (stream != nullptr && !stream->HasEnded()) {
    stream = co_await WaitForProgress(stream_id, stream->produced);
  }
  if (stream == nullptr || stream->state == StreamState::kCancelled) {
    co_return;
  }
  const VersionId version = stream->version;
  HttpResponse response =
      stream->state == StreamState::kDone
          ? MakeJsonResponse(200, FormatChatResponse(*stream, stream_id, model))
          : ErrorResponse(500, "the version failed");
  co_await SendResponse(exchange, WithVersion(std::move(response), version));
}

asio::awaitable<void> EngineHandler::SendStream(HttpExchange& exchange,
                                                std::string stream_id,
                                                Tokens offset,
                                                bool cut) {
  const EngineStream* stream = co_await WaitForProgress(stream_id, offset);
  if (stream == nullptr || stream->state == StreamState::kCancelled) {
    co_return;
  }
  if (stream->state == StreamState::kFailed && offset == Tokens(0)) {
    co_await SendResponse(
        exchange,
        WithVersion(ErrorResponse(500, "the version failed"), stream->version));
    co_return;
  }
  HttpResponse head;
  head.headers.Set("Content-Type", "text/event-stream");
  const Tokens cut_at(cut ? stream->max_tokens.value() / 2
                          : stream->max_tokens.value());
  absl::Status sent =
      co_await exchange.StartStream(WithVersion(head, stream->version));
  Tokens next = offset;
  while (sent.ok()) {
    stream = co_await WaitForProgress(stream_id, next);
    if (stream == nullptr) {
      co_return;
    }
    std::string events;
    for (; next < std::min(stream->produced, cut_at); next += Tokens(1)) {
      const std::string token = ResponseToken(stream->prompt, next.value());
      events += FormatSseEvent(
          {.index = next.value(), .data = FormatStreamDelta(token)});
    }
    const bool is_done =
        stream->state == StreamState::kDone && next >= stream->produced;
    const bool is_cut = stream->HasEnded() || (cut && next >= cut_at);
    if (is_done) {
      events += FormatSseEvent({.data = "[DONE]"});
    }
    sent = co_await exchange.Write(std::move(events));
    if (is_done && sent.ok()) {
      sent = co_await exchange.EndStream();
    }
    if (is_done || is_cut) {
      co_return;
    }
  }
}

asio::awaitable<void> EngineHandler::HandleResume(HttpExchange& exchange,
                                                  std::string stream_id) {
  const EngineStream* stream = model_.Find(stream_id);
  if (stream == nullptr) {
    co_await SendResponse(exchange, ErrorResponse(404, "unknown stream"));
    co_return;
  }
  const int64_t offset =
      static_cast<int64_t>(QueryNumber(exchange.request().target, "offset"));
  if (offset > stream->max_tokens.value()) {
    co_await SendResponse(exchange,
                          ErrorResponse(400, "the offset is past the end"));
    co_return;
  }
  co_await SendStream(exchange, std::move(stream_id), Tokens(offset), false);
}

asio::awaitable<void> EngineHandler::HandleCancel(
    HttpExchange& exchange,
    const std::string& stream_id) {
  model_.Cancel(stream_id, SteadyNow());
  progress_.cancel();
  co_await SendResponse(exchange, MakeJsonResponse(200, "{}"));
}

asio::awaitable<void> EngineHandler::HandleOrder(HttpExchange& exchange) {
  const std::optional<StandinOrder> order =
      ParseStandinOrder(exchange.request().body);
  if (!order) {
    co_await SendResponse(exchange,
                          ErrorResponse(400, "the body is not an order"));
    co_return;
  }
  const OrderResult result = model_.Order(*order, SteadyNow());
  co_await SendResponse(
      exchange, MakeJsonResponse(HttpStatusOfOrder(result), StateJson()));
}

asio::awaitable<void> EngineHandler::HandleVersionFault(
    HttpExchange& exchange) {
  const std::optional<VersionFault> version_fault =
      ParseVersionFault(exchange.request().body);
  if (!version_fault) {
    co_await SendResponse(
        exchange, ErrorResponse(400, "the body is not a version fault"));
    co_return;
  }
  model_.SetVersionFault(*version_fault);
  co_await SendResponse(exchange, MakeJsonResponse(200, "{}"));
}

void EngineHandler::ScheduleStep() {
  const std::optional<TimePoint> next = model_.NextStep();
  if (!next || step_timer_.expiry() == ToSteadyClock(*next)) {
    return;
  }
  step_timer_.expires_at(ToSteadyClock(*next));
  step_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      OnStep();
    }
  });
}

void EngineHandler::OnStep() {
  model_.Advance(SteadyNow());
  progress_.cancel();
  ScheduleStep();
}

std::string EngineHandler::LoadJson() {
  const TimePoint now = SteadyNow();
  model_.Advance(now);
  const EngineLoad load = model_.ReportedLoad(now, faults().report_lag);
  json::array versions;
  for (const VersionId& version : model_.versions().loaded()) {
    versions.emplace_back(version.value());
  }
  return json::serialize(
      json::object{{"running", load.running},
                   {"waiting", load.waiting},
                   {"age_ms", faults().report_lag.count() / kNsPerMs},
                   {"kv_used_permille", load.kv_used_permille},
                   {"state", faults().leaving ? "leaving" : "live"},
                   {"versions", versions},
                   {"version", model_.versions().active().value()},
                   {"role", model_.versions().role()}});
}

std::string EngineHandler::StateJson() {
  model_.Advance(SteadyNow());
  return FormatEngineState(model_.versions());
}

std::string EngineHandler::CacheEventsJson(uint64_t after) {
  uint64_t next = 0;
  json::array events;
  const TimePoint until = SteadyNow() - faults().report_lag;
  for (const CacheChange& event :
       model_.cache().EventsAfter(after, until, next)) {
    const bool is_stored = event.kind == CacheChange::Kind::kStored;
    events.push_back(json::object{
        {is_stored ? "stored" : "evicted", HexStrings(event.hashes)}});
  }
  return json::serialize(json::object{{"next", next}, {"events", events}});
}

}  // namespace papaya
