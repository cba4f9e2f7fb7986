#include "include/wire/chat_body.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include "include/base/error.h"
#include "include/base/json_object.h"

namespace papaya {

namespace {

namespace json = boost::json;

absl::Status Fault(const std::string& message) {
  return MakeError(absl::StatusCode::kInvalidArgument, {.step = "chat.parse"},
                   message);
}

std::string GetText(const json::object& object, const char* key) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr || !value->is_string()) {
    return "";
  }
  return std::string(value->get_string());
}

// Content is a text, or a list of parts of which some have a `text`.
std::string ExtractContent(const json::object& message) {
  const json::value* content = message.if_contains("content");
  if (content == nullptr || !content->is_array()) {
    return GetText(message, "content");
  }
  std::string text;
  for (const json::value& part : content->get_array()) {
    if (part.is_object()) {
      text += GetText(part.get_object(), "text");
    }
  }
  return text;
}

int64_t GetCount(const json::object& object, const char* key) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr || !value->is_int64() || value->get_int64() < 0) {
    return 0;
  }
  return value->get_int64();
}

}  // namespace

absl::StatusOr<ChatBody> ParseChatBody(const std::string& body) {
  const std::optional<json::object> parsed = ParseJsonObject(body);
  if (!parsed.has_value()) {
    return Fault("the body is not a JSON object");
  }
  const json::object& object = *parsed;
  ChatBody request;
  request.model = PoolId(GetText(object, "model"));
  if (request.model.empty()) {
    return Fault("`model` is missing");
  }
  const json::value* messages = object.if_contains("messages");
  if (messages == nullptr || !messages->is_array() ||
      messages->get_array().empty()) {
    return Fault("`messages` is missing");
  }
  for (const json::value& message : messages->get_array()) {
    if (!message.is_object()) {
      return Fault("a message is not an object");
    }
    const json::object& fields = message.get_object();
    if (!request.prompt.empty()) {
      request.prompt += "\n";
    }
    request.prompt += ExtractContent(fields);
  }
  request.max_tokens = Tokens(GetCount(object, "max_tokens"));
  const json::value* stream = object.if_contains("stream");
  request.stream = stream != nullptr && stream->is_bool() && stream->get_bool();
  return request;
}

}  // namespace papaya
