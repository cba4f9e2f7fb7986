#include "src/daemon/upstream_json.h"

#include <boost/json.hpp>
#include <optional>
#include <vector>

#include "absl/strings/numbers.h"
#include "include/base/error.h"
#include "include/base/json_object.h"

namespace papaya {

namespace {

namespace json = boost::json;

absl::Status MalformedResponse(const std::string& step) {
  return MakeError(absl::StatusCode::kInvalidArgument, {.step = step},
                   "the response is malformed or lacks a required field");
}

// Returns the number at `key`; `default_value` if it is missing or not an
// integer.
int64_t ReadNumber(const json::object& object,
                   const char* key,
                   int64_t default_value) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr) {
    return default_value;
  }
  json::error_code error;
  const int64_t number = value->to_number<int64_t>(error);
  return error ? default_value : number;
}

std::string ReadString(const json::object& object, const char* key) {
  const json::value* value = object.if_contains(key);
  return value != nullptr && value->is_string()
             ? std::string(value->get_string())
             : "";
}

// Returns the strings of the array at `key`; other elements are ignored.
std::vector<std::string> ReadStrings(const json::object& object,
                                     const char* key) {
  std::vector<std::string> texts;
  const json::value* value = object.if_contains(key);
  if (value == nullptr || !value->is_array()) {
    return texts;
  }
  for (const json::value& member : value->get_array()) {
    if (member.is_string()) {
      texts.emplace_back(member.get_string());
    }
  }
  return texts;
}

std::vector<VersionId> ReadVersions(const json::object& object,
                                    const char* key) {
  std::vector<VersionId> versions;
  for (std::string& text : ReadStrings(object, key)) {
    versions.emplace_back(std::move(text));
  }
  return versions;
}

void AppendHashes(const json::object& object,
                  const char* key,
                  std::vector<uint64_t>& hashes) {
  for (const std::string& text : ReadStrings(object, key)) {
    uint64_t hash = 0;
    if (absl::SimpleHexAtoi(text, &hash)) {
      hashes.push_back(hash);
    }
  }
}

}  // namespace

absl::StatusOr<LoadReport> ParseLoadReport(const std::string& text) {
  const std::optional<json::object> object = ParseJsonObject(text);
  if (!object.has_value() || !object->contains("running")) {
    return MalformedResponse("upstream.load");
  }
  LoadReport report;
  report.running = static_cast<int>(ReadNumber(*object, "running", 0));
  report.waiting = static_cast<int>(ReadNumber(*object, "waiting", 0));
  report.age = std::chrono::milliseconds(ReadNumber(*object, "age_ms", 0));
  report.leaving = ReadString(*object, "state") == "leaving";
  return report;
}

absl::StatusOr<CacheEventPage> ParseCacheEventPage(const std::string& text) {
  const std::optional<json::object> object = ParseJsonObject(text);
  const json::value* events =
      object.has_value() ? object->if_contains("events") : nullptr;
  if (events == nullptr || !events->is_array()) {
    return MalformedResponse("upstream.cache_events");
  }
  CacheEventPage page;
  page.next = static_cast<uint64_t>(ReadNumber(*object, "next", 0));
  for (const json::value& event : events->get_array()) {
    if (event.is_object()) {
      AppendHashes(event.get_object(), "stored", page.event.stored);
      AppendHashes(event.get_object(), "evicted", page.event.evicted);
    }
  }
  return page;
}

absl::StatusOr<EngineState> ParseEngineState(const std::string& text) {
  const std::optional<json::object> object = ParseJsonObject(text);
  if (!object.has_value() || !object->contains("loaded")) {
    return MalformedResponse("upstream.state");
  }
  EngineState state;
  state.active = VersionId(ReadString(*object, "version"));
  state.loaded = ReadVersions(*object, "loaded");
  state.loading = ReadVersions(*object, "loading");
  state.adapters = ReadStrings(*object, "adapters");
  state.role = ReadString(*object, "role");
  state.fencing =
      FencingNumber(static_cast<uint64_t>(ReadNumber(*object, "fencing", 0)));
  return state;
}

std::string FormatEngineOrder(const EngineOrder& order) {
  return json::serialize(json::object{{"order_id", order.id.value()},
                                      {"fencing", order.fencing.value()},
                                      {"action", OrderActionName(order.action)},
                                      {"argument", order.argument}});
}

}  // namespace papaya
