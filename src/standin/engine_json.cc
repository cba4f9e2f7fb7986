#include "src/standin/engine_json.h"

#include <algorithm>
#include <boost/json.hpp>

#include "absl/strings/str_cat.h"
#include "include/base/json_object.h"
#include "include/standin/response_text.h"

namespace papaya {

namespace {

namespace json = boost::json;

constexpr int64_t kMaxOutputTokens = 100'000;

std::string StringField(const json::object& object, const char* key) {
  const json::value* value = object.if_contains(key);
  return value != nullptr && value->is_string()
             ? std::string(value->as_string())
             : "";
}

double NumberField(const json::object& object,
                   const char* key,
                   double default_value) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr) {
    return default_value;
  }
  boost::system::error_code error;
  const double number = value->to_number<double>(error);
  return error ? default_value : number;
}

json::array IdStrings(const auto& ids) {
  json::array names;
  for (const auto& id : ids) {
    names.emplace_back(id.value());
  }
  return names;
}

}  // namespace

std::optional<ChatRequest> ParseChatRequest(const std::string& body) {
  const std::optional<json::object> object = ParseJsonObject(body);
  if (!object) {
    return std::nullopt;
  }
  const json::value* messages = object->if_contains("messages");
  if (messages == nullptr || !messages->is_array()) {
    return std::nullopt;
  }
  ChatRequest request;
  request.model = StringField(*object, "model");
  for (const json::value& message : messages->as_array()) {
    if (!message.is_object()) {
      return std::nullopt;
    }
    if (!request.prompt.empty()) {
      request.prompt += "\n";
    }
    request.prompt += StringField(message.as_object(), "content");
  }
  const double requested_tokens = NumberField(*object, "max_tokens", 16);
  request.max_tokens = Tokens(
      std::clamp<int64_t>(static_cast<int64_t>(std::min(requested_tokens, 1e9)),
                          1, kMaxOutputTokens));
  const json::value* stream = object->if_contains("stream");
  request.stream = stream != nullptr && stream->is_bool() && stream->as_bool();
  return request;
}

std::optional<StandinOrder> ParseStandinOrder(const std::string& body) {
  const std::optional<json::object> object = ParseJsonObject(body);
  if (!object) {
    return std::nullopt;
  }
  StandinOrder order;
  order.id = OperationId(StringField(*object, "order_id"));
  order.fencing =
      FencingNumber(static_cast<uint64_t>(NumberField(*object, "fencing", 0)));
  order.action = StringField(*object, "action");
  order.argument = StringField(*object, "argument");
  if (order.id.empty() || order.action.empty()) {
    return std::nullopt;
  }
  return order;
}

std::optional<VersionFault> ParseVersionFault(const std::string& body) {
  const std::optional<json::object> object = ParseJsonObject(body);
  if (!object || StringField(*object, "version").empty()) {
    return std::nullopt;
  }
  VersionFault version_fault;
  version_fault.version = VersionId(StringField(*object, "version"));
  version_fault.failing = Permille(
      static_cast<int32_t>(NumberField(*object, "failing_permille", 0)));
  version_fault.slow_factor =
      std::max(0.01, NumberField(*object, "slow_factor", 1.0));
  version_fault.after =
      SecondsToDuration(NumberField(*object, "after_ms", 0) / 1000);
  version_fault.min_batch =
      static_cast<size_t>(std::max(0.0, NumberField(*object, "min_batch", 0)));
  version_fault.prompt_part = StringField(*object, "prompt_part");
  return version_fault;
}

std::string FormatChatResponse(const EngineStream& stream,
                               const std::string& stream_id,
                               const std::string& model) {
  const json::object message = {
      {"role", "assistant"},
      {"content", ResponseText(stream.prompt, stream.produced)}};
  const json::object usage = {
      {"prompt_tokens", CountPromptTokens(stream.prompt).value()},
      {"completion_tokens", stream.produced.value()}};
  return json::serialize(json::object{
      {"id", stream_id},
      {"model", model},
      {"choices", json::array{json::object{{"message", message},
                                           {"finish_reason", "stop"}}}},
      {"usage", usage}});
}

std::string FormatStreamDelta(const std::string& token) {
  const json::object delta = {{"content", token}};
  return json::serialize(
      json::object{{"choices", json::array{json::object{{"delta", delta}}}}});
}

std::string FormatEngineState(const VersionManager& versions) {
  json::array loading;
  for (const auto& [version, due] : versions.loading()) {
    loading.emplace_back(version.value());
  }
  json::array adapters;
  for (const std::string& adapter : versions.adapters()) {
    adapters.emplace_back(adapter);
  }
  return json::serialize(
      json::object{{"version", versions.active().value()},
                   {"loaded", IdStrings(versions.loaded())},
                   {"loading", loading},
                   {"adapters", adapters},
                   {"role", versions.role()},
                   {"fencing", versions.fencing().value()},
                   {"orders", IdStrings(versions.orders())}});
}

}  // namespace papaya
