#include "src/standin/service_handler.h"

#include <boost/json.hpp>

#include "include/standin/standin_server.h"
#include "include/wire/http_exchange.h"

namespace papaya {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

HttpResponse LeavingResponse() {
  HttpResponse response = ErrorResponse(503, "leaving");
  response.headers.Set("papaya-leaving", "1");
  response.headers.Set("papaya-not-run", "1");
  return response;
}

}  // namespace

ServiceHandler::ServiceHandler(const StandinOptions& options)
    : StandinHandler(options.faults, options.seed),
      service_time_(options.service_time) {}

asio::awaitable<void> ServiceHandler::HandleRequest(HttpExchange& exchange) {
  const std::string path = PathOfTarget(exchange.request().target);
  if (path == "/healthz") {
    co_await SendResponse(exchange,
                          MakeJsonResponse(faults().leaving ? 503 : 200, "{}"));
  } else if (path == "/v1/load") {
    co_await SendResponse(exchange, MakeJsonResponse(200, LoadJson()));
  } else if (path == "/ledger") {
    co_await SendResponse(exchange, MakeJsonResponse(200, LedgerJson()));
  } else {
    co_await HandleCall(exchange);
  }
}

asio::awaitable<void> ServiceHandler::HandleCall(HttpExchange& exchange) {
  if (faults().leaving) {
    co_await SendResponse(exchange, LeavingResponse());
    co_return;
  }
  const HttpRequest& request = exchange.request();
  const std::string key =
      ServiceKey(request.body, request.headers.Get("Idempotency-Key"));
  model_.Run({.key = key,
              .method = request.method,
              .path = PathOfTarget(request.target)});
  const FaultChoice fault = ChooseFault();
  if (fault == FaultChoice::kCut) {
    co_return;
  }
  ++running_;
  if (fault == FaultChoice::kHang) {
    co_await WaitForDisconnect(exchange);
    --running_;
    co_return;
  }
  co_await SleepFor(
      SecondsToDuration(ToSeconds(service_time_) * faults().slow_factor));
  --running_;
  HttpResponse response = MakeJsonResponse(200, ServiceResponseBody(key));
  if (fault == FaultChoice::kFail) {
    response = ErrorResponse(500, "failed");
  }
  co_await SendResponse(exchange, std::move(response));
}

std::string ServiceHandler::LoadJson() const {
  return json::serialize(
      json::object{{"running", running_},
                   {"waiting", 0},
                   {"age_ms", 0},
                   {"state", faults().leaving ? "leaving" : "live"}});
}

std::string ServiceHandler::LedgerJson() const {
  json::object runs;
  for (const auto& [key, count] : model_.ledger()) {
    runs[key] = count;
  }
  return json::serialize(
      json::object{{"runs", runs}, {"repeated_runs", model_.repeated_runs()}});
}

}  // namespace papaya
