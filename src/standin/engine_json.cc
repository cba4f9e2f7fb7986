#include "src/standin/engine_json.h"

#include <algorithm>
#include <boost/json.hpp>

#include "absl/strings/str_cat.h"
#include "include/base/json_object.h"
#include "include/standin/answer_text.h"

namespace papaya {

namespace {

namespace json = boost::json;

constexpr int64_t kMaxOutputTokens = 100'000;

std::string TextOf(const json::object& object, const char* key) {
  const json::value* value = object.if_contains(key);
  return value != nullptr && value->is_string()
             ? std::string(value->as_string())
             : "";
}

double NumberOf(const json::object& object, const char* key, double absent) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr) {
    return absent;
  }
  boost::system::error_code error;
  const double number = value->to_number<double>(error);
  return error ? absent : number;
}

json::array Names(const auto& ids) {
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
  request.model = TextOf(*object, "model");
  for (const json::value& message : messages->as_array()) {
    if (!message.is_object()) {
      return std::nullopt;
    }
    if (!request.prompt.empty()) {
      request.prompt += "\n";
    }
    request.prompt += TextOf(message.as_object(), "content");
  }
  const double most = NumberOf(*object, "max_tokens", 16);
  request.max_tokens = Tokens(std::clamp<int64_t>(
      static_cast<int64_t>(std::min(most, 1e9)), 1, kMaxOutputTokens));
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
  order.id = OperationId(TextOf(*object, "order_id"));
  order.fencing =
      FencingNumber(static_cast<uint64_t>(NumberOf(*object, "fencing", 0)));
  order.action = TextOf(*object, "action");
  order.argument = TextOf(*object, "argument");
  if (order.id.empty() || order.action.empty()) {
    return std::nullopt;
  }
  return order;
}

std::optional<VersionBadness> ParseVersionBadness(const std::string& body) {
  const std::optional<json::object> object = ParseJsonObject(body);
  if (!object || TextOf(*object, "version").empty()) {
    return std::nullopt;
  }
  VersionBadness badness;
  badness.version = VersionId(TextOf(*object, "version"));
  badness.failing =
      Permille(static_cast<int32_t>(NumberOf(*object, "failing_permille", 0)));
  badness.slow_factor = std::max(0.01, NumberOf(*object, "slow_factor", 1.0));
  badness.after = SecondsToDuration(NumberOf(*object, "after_ms", 0) / 1000);
  badness.min_batch =
      static_cast<size_t>(std::max(0.0, NumberOf(*object, "min_batch", 0)));
  badness.prompt_part = TextOf(*object, "prompt_part");
  return badness;
}

std::string FormatChatAnswer(const EngineStream& stream,
                             const std::string& stream_id,
                             const std::string& model) {
  const json::object message = {
      {"role", "assistant"},
      {"content", AnswerText(stream.prompt, stream.produced)}};
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

std::string FormatEngineState(const VersionShelf& versions) {
  json::array loading;
  for (const auto& [version, due] : versions.loading()) {
    loading.emplace_back(version.value());
  }
  json::array adapters;
  for (const std::string& adapter : versions.adapters()) {
    adapters.emplace_back(adapter);
  }
  return json::serialize(json::object{{"version", versions.active().value()},
                                      {"loaded", Names(versions.loaded())},
                                      {"loading", loading},
                                      {"adapters", adapters},
                                      {"role", versions.role()},
                                      {"fencing", versions.fencing().value()},
                                      {"orders", Names(versions.orders())}});
}

}  // namespace papaya
