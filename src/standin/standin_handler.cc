#include "src/standin/standin_handler.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <utility>

#include "include/wire/http_exchange.h"

namespace papaya {

namespace {

namespace asio = boost::asio;

constexpr uint64_t kPermilleScale = 1000;

}  // namespace

asio::awaitable<void> StandinHandler::Handle(HttpExchange& exchange) {
  if (PathOfTarget(exchange.request().target) == "/faults") {
    co_await HandleFaults(exchange);
    co_return;
  }
  if (faults_.outage) {
    co_await HandleOutage(exchange);
    co_return;
  }
  if (faults_.delay > Duration::zero()) {
    co_await SleepFor(faults_.delay);
  }
  co_await HandleRequest(exchange);
}

asio::awaitable<void> StandinHandler::HandleFaults(HttpExchange& exchange) {
  if (exchange.request().method == "POST") {
    const absl::Status applied =
        ApplyFaultsJson(exchange.request().body, faults_);
    if (!applied.ok()) {
      co_await SendResponse(exchange,
                            ErrorResponse(400, std::string(applied.message())));
      co_return;
    }
    OnFaultsChanged();
  }
  co_await SendResponse(exchange, MakeJsonResponse(200, FaultsToJson(faults_)));
}

asio::awaitable<void> StandinHandler::HandleOutage(HttpExchange& /*exchange*/) {
  co_return;
}

FaultChoice StandinHandler::ChooseFault() {
  int64_t draw = static_cast<int64_t>(random_.Below(kPermilleScale));
  draw -= faults_.failing.value();
  if (draw < 0) {
    return FaultChoice::kFail;
  }
  draw -= faults_.hanging.value();
  if (draw < 0) {
    return FaultChoice::kHang;
  }
  draw -= faults_.cutting.value();
  return draw < 0 ? FaultChoice::kCut : FaultChoice::kNone;
}

asio::awaitable<void> SleepFor(Duration duration) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(
      std::chrono::duration_cast<asio::steady_timer::duration>(duration));
  co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> WaitForDisconnect(HttpExchange& exchange) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_at(asio::steady_timer::time_point::max());
  exchange.OnCallerGone([&timer] { timer.cancel(); });
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  exchange.OnCallerGone(nullptr);
}

asio::awaitable<void> SendResponse(HttpExchange& exchange,
                                   HttpResponse response) {
  const absl::Status sent = co_await exchange.Respond(std::move(response));
  sent.IgnoreError();
}

HttpResponse ErrorResponse(int status, const std::string& message) {
  return MakeJsonResponse(status, boost::json::serialize(boost::json::object{
                                      {"error", {{"message", message}}}}));
}

}  // namespace papaya
