#include "src/daemon/engine_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <memory>
#include <utility>

#include "absl/strings/str_cat.h"
#include "include/base/error.h"
#include "include/wire/http_client.h"
#include "include/wire/steady_time.h"
#include "src/daemon/upstream_json.h"

namespace papaya {

namespace {

namespace asio = boost::asio;

constexpr Bytes kMaxStateBytes{1024 * 1024};

struct StatusMapping {
  int http_status;
  absl::StatusCode code;
};

constexpr StatusMapping kOrderStatusMappings[] = {
    {200, absl::StatusCode::kOk},
    {202, absl::StatusCode::kOk},
    {400, absl::StatusCode::kInvalidArgument},
    {409, absl::StatusCode::kAborted},
    {429, absl::StatusCode::kResourceExhausted},
};

absl::Status ToStatus(const HttpResponse& response,
                      const std::string& address) {
  for (const StatusMapping& mapping : kOrderStatusMappings) {
    if (mapping.http_status != response.status) {
      continue;
    }
    if (mapping.code == absl::StatusCode::kOk) {
      return absl::OkStatus();
    }
    return MakeError(mapping.code, {.step = "engine.order", .peer = address},
                     response.body);
  }
  return MakeError(absl::StatusCode::kUnavailable,
                   {.step = "engine.order", .peer = address},
                   absl::StrCat("unexpected HTTP status ", response.status));
}

asio::awaitable<absl::Status> SendOrder(EngineOrder order,
                                        std::string address) {
  absl::StatusOr<std::unique_ptr<HttpClient>> client =
      co_await HttpClient::Connect(address, order.send_before);
  if (!client.ok()) {
    co_return client.status();
  }
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/orders";
  request.headers.Set("Content-Type", "application/json");
  request.body = FormatEngineOrder(order);
  // The lease only covers bytes written before `send_before`.
  if (SteadyNow() >= order.send_before) {
    co_return MakeError(absl::StatusCode::kDeadlineExceeded,
                        {.step = "engine.order", .peer = address},
                        "the order was not sent before its deadline");
  }
  const absl::Status sent =
      co_await (*client)->Send(request, order.answer_before);
  if (!sent.ok()) {
    co_return sent;
  }
  absl::StatusOr<HttpResponse> head =
      co_await (*client)->ReadHead(order.answer_before);
  if (!head.ok()) {
    co_return head.status();
  }
  co_return ToStatus(*head, address);
}

asio::awaitable<absl::StatusOr<EngineState>> FetchState(std::string address,
                                                        Duration timeout) {
  HttpRequest request;
  request.method = "GET";
  request.target = "/v1/state";
  const absl::StatusOr<HttpResponse> response = co_await FetchHttp(
      address, request, SteadyNow() + timeout, kMaxStateBytes);
  if (!response.ok()) {
    co_return response.status();
  }
  if (response->status != 200) {
    co_return MakeError(
        absl::StatusCode::kUnavailable,
        {.step = "engine.state", .peer = address},
        absl::StrCat("unexpected HTTP status ", response->status));
  }
  co_return ParseEngineState(response->body);
}

}  // namespace

void EngineClient::Order(const EngineOrder& order,
                         const std::string& address,
                         NoteRunnerHooks::OrderDone done) {
  asio::co_spawn(
      context_,
      [order, address, done = std::move(done)]() -> asio::awaitable<void> {
        const NoteRunnerHooks::OrderDone on_done = done;
        const absl::Status status = co_await SendOrder(order, address);
        on_done(status);
      },
      asio::detached);
}

void EngineClient::ReadState(const std::string& address,
                             Duration timeout,
                             NoteRunnerHooks::StateDone done) {
  asio::co_spawn(
      context_,
      [address, timeout, done = std::move(done)]() -> asio::awaitable<void> {
        const NoteRunnerHooks::StateDone on_done = done;
        const absl::StatusOr<EngineState> state =
            co_await FetchState(address, timeout);
        on_done(state);
      },
      asio::detached);
}

}  // namespace papaya
