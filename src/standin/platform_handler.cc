#include "src/standin/platform_handler.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <cstdlib>
#include <memory>
#include <utility>

#include "include/standin/standin_server.h"
#include "include/wire/http_exchange.h"
#include "include/wire/steady_time.h"
#include "include/wire/url_text.h"

namespace papaya {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr const char* kObjectsPath = "/objects";
constexpr int64_t kPermilleScale = 1000;

// State of a watch request that waits until its object changes or it times out.
struct WaitingWatch {
  explicit WaitingWatch(const asio::any_io_executor& executor)
      : wake_timer(executor) {
    wake_timer.expires_at(asio::steady_timer::time_point::max());
  }

  bool is_over = false;
  std::optional<StoredObject> object;
  asio::steady_timer wake_timer;
};

json::object ObjectJson(const StoredObject& object) {
  return {{"key", object.key},
          {"version", object.version.value()},
          {"operation", object.operation.value()},
          {"value", object.value}};
}

std::string VersionJson(ObjectVersion version) {
  return json::serialize(json::object{{"version", version.value()}});
}

int HttpStatusOf(const absl::Status& status) {
  switch (status.code()) {
    case absl::StatusCode::kNotFound:
      return 404;
    case absl::StatusCode::kResourceExhausted:
      return 429;
    case absl::StatusCode::kInvalidArgument:
      return 413;
    default:
      return 500;
  }
}

HttpResponse StatusResponse(const absl::Status& status) {
  return ErrorResponse(HttpStatusOf(status), std::string(status.message()));
}

std::string DecodedQueryValue(const std::string& target, const char* name) {
  return DecodeUrlText(QueryValue(target, name)).value_or("");
}

ObjectVersion QueryVersion(const std::string& target, const char* name) {
  return ObjectVersion(
      std::strtoull(QueryValue(target, name).c_str(), nullptr, 10));
}

}  // namespace

PlatformHandler::PlatformHandler(const asio::any_io_executor& executor,
                                 const StandinOptions& options)
    : StandinHandler(options.faults, options.seed),
      model_(options.platform),
      executor_(executor),
      due_timer_(executor) {
  for (const VmId& vm : options.vms) {
    model_.SetVm({.id = vm}, TimePoint());
  }
}

asio::awaitable<void> PlatformHandler::HandleOutage(HttpExchange& exchange) {
  co_await SendResponse(exchange, ErrorResponse(503, "outage"));
}

asio::awaitable<void> PlatformHandler::HandleRequest(HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  const std::string path = PathOfTarget(request.target);
  if (path == "/counts") {
    co_await SendResponse(exchange, Counts());
    co_return;
  }
  if (path == "/vms" && request.method == "POST") {
    co_await SendResponse(exchange, ChangeVm(request.body));
    co_return;
  }
  const FaultChoice fault = ChooseFault();
  if (fault == FaultChoice::kCut) {
    co_return;
  }
  if (fault == FaultChoice::kHang) {
    co_await WaitForDisconnect(exchange);
  } else if (fault == FaultChoice::kFail) {
    co_await HandleOutage(exchange);
  } else if (path == "/vms") {
    co_await SendResponse(exchange, ListVms());
  } else if (path.starts_with(kObjectsPath)) {
    co_await HandleObjects(exchange, path);
  } else {
    co_await SendResponse(exchange, ErrorResponse(404, "unknown path"));
  }
}

asio::awaitable<void> PlatformHandler::HandleObjects(HttpExchange& exchange,
                                                     std::string path) {
  const HttpRequest& request = exchange.request();
  const std::string rest = path.substr(std::string(kObjectsPath).size());
  if (rest.empty()) {
    co_await SendResponse(exchange, List(request.target));
    co_return;
  }
  const std::string key = DecodeUrlText(rest.substr(1)).value_or("");
  if (rest.front() != '/' || key.empty()) {
    co_await SendResponse(exchange,
                          ErrorResponse(400, "the path has no valid key"));
  } else if (request.method == "PUT" || request.method == "DELETE") {
    co_await HandleWrite(exchange, key);
  } else if (!QueryValue(request.target, "watch_after").empty()) {
    co_await HandleWatch(exchange, key);
  } else {
    co_await SendResponse(exchange, Get(key));
  }
}

asio::awaitable<void> PlatformHandler::HandleWrite(HttpExchange& exchange,
                                                   std::string key) {
  const HttpRequest& request = exchange.request();
  ConditionalWrite write;
  write.key = std::move(key);
  write.expected = QueryVersion(request.target, "expected");
  write.operation = OperationId(DecodedQueryValue(request.target, "operation"));
  if (request.method == "PUT") {
    write.value = request.body;
  }
  ObjectVersion current_version;
  const absl::StatusOr<ObjectVersion> written =
      model_.Put(write, SteadyNow(), &current_version);
  const bool is_lost =
      written.ok() && static_cast<int64_t>(random().Below(kPermilleScale)) <
                          faults().lost_answers.value();
  if (is_lost) {
    co_return;
  }
  HttpResponse response;
  if (written.ok()) {
    response = MakeJsonResponse(200, VersionJson(*written));
  } else if (absl::IsAborted(written.status())) {
    response = MakeJsonResponse(412, VersionJson(current_version));
  } else {
    response = StatusResponse(written.status());
  }
  co_await SendResponse(exchange, std::move(response));
}

asio::awaitable<void> PlatformHandler::HandleWatch(HttpExchange& exchange,
                                                   std::string key) {
  const auto watch = std::make_shared<WaitingWatch>(executor_);
  const ObjectVersion after =
      QueryVersion(exchange.request().target, "watch_after");
  const absl::Status started = model_.Watch(
      key, after, SteadyNow(), [watch](std::optional<StoredObject> object) {
        watch->is_over = true;
        watch->object = std::move(object);
        watch->wake_timer.cancel();
      });
  if (!started.ok()) {
    co_await SendResponse(exchange, StatusResponse(started));
    co_return;
  }
  ScheduleAdvance();
  if (!watch->is_over) {
    boost::system::error_code ignored;
    co_await watch->wake_timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
  if (faults().outage) {
    co_return;
  }
  HttpResponse response;
  response.status = 204;
  if (watch->object) {
    response =
        MakeJsonResponse(200, json::serialize(ObjectJson(*watch->object)));
  }
  co_await SendResponse(exchange, std::move(response));
}

HttpResponse PlatformHandler::Get(const std::string& key) {
  const absl::StatusOr<StoredObject> object = model_.Get(key, SteadyNow());
  if (!object.ok()) {
    return StatusResponse(object.status());
  }
  return MakeJsonResponse(200, json::serialize(ObjectJson(*object)));
}

HttpResponse PlatformHandler::List(const std::string& target) {
  const absl::StatusOr<std::vector<StoredObject>> objects =
      model_.List(DecodedQueryValue(target, "prefix"), SteadyNow());
  if (!objects.ok()) {
    return StatusResponse(objects.status());
  }
  json::array listed;
  for (const StoredObject& object : *objects) {
    listed.push_back(ObjectJson(object));
  }
  return MakeJsonResponse(200,
                          json::serialize(json::object{{"objects", listed}}));
}

HttpResponse PlatformHandler::ListVms() {
  const absl::StatusOr<std::vector<ListedVm>> vms =
      model_.ListVms(SteadyNow(), faults().report_lag);
  if (!vms.ok()) {
    return StatusResponse(vms.status());
  }
  json::array listed;
  for (const ListedVm& vm : *vms) {
    listed.push_back(json::object{{"id", vm.id.value()},
                                  {"state", vm.leaving ? "leaving" : "live"}});
  }
  return MakeJsonResponse(200, json::serialize(json::object{{"vms", listed}}));
}

HttpResponse PlatformHandler::ChangeVm(const std::string& body) {
  boost::system::error_code error;
  const json::value parsed = json::parse(body, error);
  const json::object* vm = error ? nullptr : parsed.if_object();
  const json::value* id = vm == nullptr ? nullptr : vm->if_contains("id");
  const json::value* state = vm == nullptr ? nullptr : vm->if_contains("state");
  if (id == nullptr || !id->is_string() || state == nullptr) {
    return ErrorResponse(400, "expected {\"id\",\"state\"}");
  }
  const VmId vm_id{std::string(id->as_string())};
  if (*state == "gone") {
    model_.RemoveVm(vm_id, SteadyNow());
  } else {
    model_.SetVm({.id = vm_id, .leaving = *state == "leaving"}, SteadyNow());
  }
  return MakeJsonResponse(200, "{}");
}

HttpResponse PlatformHandler::Counts() const {
  return MakeJsonResponse(
      200, json::serialize(json::object{{"reads", model_.reads()},
                                        {"writes", model_.writes()},
                                        {"watches", model_.watches()}}));
}

void PlatformHandler::ScheduleAdvance() {
  const std::optional<TimePoint> due = model_.NextDue();
  if (!due || due_timer_.expiry() == ToSteadyClock(*due)) {
    return;
  }
  due_timer_.expires_at(ToSteadyClock(*due));
  due_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      model_.Advance(SteadyNow());
      ScheduleAdvance();
    }
  });
}

}  // namespace papaya
