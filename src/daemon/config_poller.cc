#include "src/daemon/config_poller.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <utility>

#include "include/base/error.h"
#include "include/config/fleet_config_json.h"
#include "include/wire/http_client.h"
#include "include/wire/steady_time.h"

namespace papaya {

namespace {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds kInterval{500};
constexpr std::chrono::seconds kReadTimeout{2};

absl::StatusOr<std::string> ValueOfObject(const std::string& body,
                                          const std::string& store) {
  boost::json::error_code error;
  const boost::json::value object = boost::json::parse(body, error);
  const boost::json::value* value =
      error || !object.is_object() ? nullptr
                                   : object.get_object().if_contains("value");
  if (value == nullptr || !value->is_string()) {
    return MakeError(absl::StatusCode::kInternal,
                     {.step = "config.read", .peer = store},
                     "the answer holds no object");
  }
  return std::string(value->get_string());
}

}  // namespace

ConfigPoller::ConfigPoller(asio::io_context& context,
                           std::string store_address,
                           std::string key,
                           Hook on_config)
    : context_(context),
      timer_(context),
      store_address_(std::move(store_address)),
      key_(std::move(key)),
      on_config_(std::move(on_config)) {}

void ConfigPoller::Start() {
  asio::co_spawn(context_, Run(), asio::detached);
}

void ConfigPoller::Stop() {
  stopped_ = true;
  timer_.cancel();
}

asio::awaitable<void> ConfigPoller::Run() {
  while (!stopped_) {
    absl::StatusOr<FleetConfig> config = co_await Read();
    if (config.ok() && config->revision > revision_) {
      revision_ = config->revision;
      on_config_(std::make_shared<const FleetConfig>(*std::move(config)));
    }
    timer_.expires_after(kInterval);
    boost::system::error_code cancelled;
    co_await timer_.async_wait(
        asio::redirect_error(asio::use_awaitable, cancelled));
  }
}

asio::awaitable<absl::StatusOr<FleetConfig>> ConfigPoller::Read() {
  HttpRequest request;
  request.target = "/objects/" + key_;
  const TimePoint deadline = SteadyNow() + Duration(kReadTimeout);
  const absl::StatusOr<HttpResponse> response =
      co_await FetchHttp(store_address_, request, deadline);
  if (!response.ok()) {
    co_return response.status();
  }
  if (response->status != 200) {
    co_return MakeError(absl::StatusCode::kUnavailable,
                        {.step = "config.read", .peer = store_address_},
                        std::to_string(response->status));
  }
  const absl::StatusOr<std::string> value =
      ValueOfObject(response->body, store_address_);
  if (!value.ok()) {
    co_return value.status();
  }
  co_return ParseFleetConfigJson(*value);
}

}  // namespace papaya
